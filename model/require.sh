#!/usr/bin/env bash
# Brings the tools of the model check, or says which are missing before any test runs.
set -euo pipefail
missing=()
for tool in spin gcc; do
  command -v "$tool" >/dev/null 2>&1 || missing+=("$tool")
done
[ "${#missing[@]}" -eq 0 ] && exit 0
if [ "$(id -u)" -eq 0 ] && command -v apt-get >/dev/null 2>&1; then
  apt-get update -qq && apt-get install -y -qq "${missing[@]}" >/dev/null && exit 0
fi
echo "the model check needs: ${missing[*]} (on Debian: apt-get install ${missing[*]})" >&2
exit 1
