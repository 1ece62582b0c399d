#!/usr/bin/env bash
# Checks each specification with spin: the rules as built must show no error, and each mutant, which drops one
# protecting rule, must show one. Prints a table; exits 1 when a row is not as it must be.
set -euo pipefail
cd "$(dirname "$0")"
work=$(mktemp -d)
trap 'rm -rf "$work"' EXIT
# A search that needs more than this is a fault of the bounds and must not take the machine down.
memory_mb=3500
failed=0

# check SPEC VARIANT...: the specification as built, then each variant; one that starts with + is another bound
# and must hold, any other is a mutant and must not.
check() {
  local spec=$1 variant
  shift
  for variant in "" "$@"; do
    report "$spec" "$variant" &
    running=$((running + 1))
    if [ "$running" -ge 4 ]; then wait -n || true; running=$((running - 1)); fi
  done
}

report() {
  local spec=$1 variant=$2 dir="$work/$1-${2:-built}" define="" must=holds
  case $variant in
    "") ;;
    +*) define="-D${variant#+}" ;;
    *) define="-DMUTANT_$variant" must=caught ;;
  esac
  mkdir -p "$dir"
  cp "$spec.pml" "$dir/"
  if ! (cd "$dir" &&
    spin $define -a "$spec.pml" > spin.out 2>&1 &&
    gcc -O2 -w -DSAFETY -DCOLLAPSE -DMEMLIM=$memory_mb -o pan pan.c &&
    ./pan -m200000 -n -E > pan.out 2>&1); then
    echo "$spec ${variant:-as built}: $(head -c 500 "$dir/spin.out")" >&2
  fi
  touch "$dir/pan.out"
  local errors states verdict
  errors=$(sed -n 's/.*errors: \([0-9]*\).*/\1/p' "$dir/pan.out")
  states=$(sed -n 's/^ *\([0-9.e+]*\) states, stored.*/\1/p' "$dir/pan.out")
  verdict=wrong
  if grep -q "search not completed\|max search depth too small\|out of memory" "$dir/pan.out" && [ "${errors:-0}" = 0 ]; then
    verdict=incomplete
  elif [ "$must" = holds ] && [ "$errors" = 0 ]; then
    verdict=holds
  elif [ "$must" = caught ] && [ "${errors:-0}" -gt 0 ]; then
    verdict=caught
  fi
  printf '%-10s %-28s %12s %7s  %s\n' "$spec" "${variant:-as built}" "${states:-?}" "${errors:-?}" "$verdict" >> "$work/table"
}

running=0
while read -r line; do
  [ -z "$line" ] || [ "${line:0:1}" = "#" ] || check $line
done < specs.txt
wait
printf '%-10s %-28s %12s %7s  %s\n' specification variant states errors verdict
sort "$work/table"
if grep -qE ' (wrong|incomplete)$' "$work/table"; then failed=1; fi
exit "$failed"
