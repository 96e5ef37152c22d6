#!/usr/bin/env bash
# Checks the models exhaustively within their bounds, then removes each guard and verifies that the check fails.
# Needs spin and gcc. Prints for each check the states explored and the result.
set -euo pipefail
cd "$(dirname "$0")"
models=$(pwd)
work=$(mktemp -d)
trap 'rm -rf "$work"' EXIT
parallel=3
count=0

# explore MODEL EXPECTED DIRECTORY MACRO...: explores all states; EXPECTED is `holds` or `fails`.
explore() {
  local model=$1 expected=$2 directory=$3
  shift 3
  cd "$directory"
  local states=0 result=broken verdict=WRONG
  if spin -a "${@/#/-D}" "$models/$model.pml" >log 2>&1 &&
    gcc -O1 -w -DSAFETY -DCOLLAPSE -DMEMLIM=2000 -o pan pan.c >>log 2>&1; then
    # -E: a process that waits for ever is no error here; the models state safety only.
    ./pan -E -m200000 -w23 >>log 2>&1 || true
    states=$(sed -n 's/^ *\([0-9.e+]*\) states, stored.*/\1/p' log)
    result=holds
    grep -q 'assertion violated' log && result=fails
    # An incomplete search proves nothing, nor does an error of the model itself.
    if grep -qE 'invalid array index|VECTORSZ' log; then result=broken; fi
    if [ "$result" = holds ] && grep -qE 'max search depth too small|out of memory|not completed' log; then
      result=incomplete
    fi
  fi
  [ "$result" = "$expected" ] && verdict=ok
  printf '%-11s %-44s states %9s  %-10s %s\n' "$model" "${*:-}" "$states" "$result" "$verdict" >line
}

# check MODEL EXPECTED MACRO...: starts an exploration; a few run at a time.
check() {
  local directory
  directory="$work/$(printf '%02d' "$count")"
  count=$((count + 1))
  mkdir "$directory"
  while [ "$(jobs -rp | wc -l)" -ge "$parallel" ]; do wait -n; done
  explore "$1" "$2" "$directory" "${@:3}" &
}

bounds='ATTEMPTS=3 TAKEOVERS=2 SEGMENTS=5'
check operations holds $bounds
check operations holds ATTEMPTS=2 TAKEOVERS=3 SEGMENTS=6
for guard in START_EARLY NO_FENCE NO_SEAL RESTART_UNKNOWN LATE_START NO_CONFIRM WEAK_CONFIRM TRUST_RESEND; do
  check operations fails $bounds "$guard"
done
check floor holds
check floor fails NO_COMPARE
check revisions holds
check revisions fails ACCEPT_OLDER
check revisions fails NO_COMPARE
wait

cat "$work"/*/line
if grep -l 'WRONG$' "$work"/*/line >"$work/wrong"; then
  while read -r line; do tail -n 40 "$(dirname "$line")/log"; done <"$work/wrong"
  echo "$(wc -l <"$work/wrong") checks did not give the expected result"
  exit 1
fi
