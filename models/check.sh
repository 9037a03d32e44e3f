#!/usr/bin/env bash
# Checks every property of every model, and that the checker finds a violation in
# each mutant.
# Ends with `N passed, N failed`.
set -uo pipefail
here=$(cd "$(dirname "$0")" && pwd)
work=$(mktemp -d)
trap 'rm -rf "$work"' EXIT

# verify MODEL PROPERTY EXPECTED [MACRO ...]: EXPECTED is clean or caught.
verify() {
  local model=$1 property=$2 expected=$3
  shift 3
  local folder="$work/$model-$property-${1:-plain}"
  mkdir -p "$folder" && cd "$folder" || return 1
  spin "${@/#/-D}" -a "$here/$model.pml" >spin.out 2>&1 ||
    { echo "FAIL $model $property: spin"; cat spin.out; return 1; }
  gcc -O2 -w -DVECTORSZ=2048 -DNFAIR=3 -o pan pan.c || return 1
  ./pan -a -f -m2000000 -w24 -N "$property" >pan.out 2>&1
  local errors found
  errors=$(grep -oE 'errors: [0-9]+' pan.out | grep -oE '[0-9]+$')
  found=caught
  [ "${errors:-x}" = 0 ] && found=clean
  if ! grep -q 'errors:' pan.out || grep -q 'max search depth too small' pan.out; then
    found=incomplete
  fi
  local states
  states=$(grep -oE '[0-9.e+]+ states, stored' pan.out | head -n 1)
  if [ "$found" = "$expected" ]; then
    echo "ok   $model $property ${1:-} $found ($states)"
  else
    echo "FAIL $model $property ${1:-}: expected $expected, got $found ($states)"
    return 1
  fi
}
export -f verify
export here work

jobs=(
  "attempt once clean" "attempt truth clean" "attempt bound clean"
  "attempt answered clean" "attempt whole clean"
  "attempt bound clean TOKENS=2"
  "attempt once caught MUTANT_NO_FENCE"
  "attempt truth caught MUTANT_NO_FENCE"
  "attempt once caught MUTANT_NO_INCARNATION"
  "attempt truth caught MUTANT_NO_INCARNATION"
  "attempt once caught MUTANT_FORGETS_FINISHED"
  "attempt truth caught MUTANT_FORGETS_FINISHED"
  "attempt once caught MUTANT_DOUBT_IS_NOT_RUN"
  "attempt truth caught MUTANT_DOUBT_IS_NOT_RUN"
  "attempt bound caught MUTANT_FREE_RETRIES"
  "ticket once clean"
  "ticket once caught MUTANT_NO_LIFE_CHECK"
  "ticket once caught MUTANT_NO_EXPIRY_CHECK"
  "ticket once caught MUTANT_RECORD_AFTER_RUN"
  "spread monotone clean" "settings once clean" "settings honest clean"
  "settings nolost clean" "settings known clean"
  "spread monotone caught MUTANT_TAKES_ANY"
  "settings once caught MUTANT_UNCONDITIONAL"
  "settings known caught MUTANT_NO_MARK"
  "quota bound clean"
  "quota bound caught MUTANT_TWO_ACCOUNTS"
  "quota bound caught MUTANT_NO_SEQUENCE"
  "replies own clean"
  "replies own caught MUTANT_REUSES_IDS"
)
printf '%s\n' "${jobs[@]}" |
  xargs -P "$(nproc)" -I{} bash -c 'verify {}' | sort | tee "$work/report"
passed=$(grep -c '^ok' "$work/report")
failed=$((${#jobs[@]} - passed))
echo "$passed passed, $failed failed"
[ "$failed" -eq 0 ]
