#!/usr/bin/env bash
# The stand-ins of the scripts are plain JavaScript without dependencies, so there is nothing to compile: this checks that
# they can be loaded, and that the build of the deploy file has made the program that they start.
set -e
cd "$(dirname "$0")/.."
for file in review/lib/*.mjs review/*/case.mjs; do
  node --check "$file"
done
test -f target/platform/main.js || { echo 'run the build of deploy/system.toml first' >&2; exit 1; }
