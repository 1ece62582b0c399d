#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run. TROUBLE=0 leaves out the disruption.
folder="$(cd "$(dirname "$0")" && pwd)"
cd "$folder/../.." || exit 2
timeout -k 5 118 node "build/review/case-$(basename "$folder").mjs" "$folder"
code=$?
[ "$code" -le 1 ] && exit "$code"
exit 2
