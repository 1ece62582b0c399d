#!/usr/bin/env bash
# Builds the stand-ins and the checks of the cases into build/review/. Run the build of the deploy file first.
set -euo pipefail
cd "$(dirname "$0")/.."
for file in review/*/case.ts; do
  number="$(basename "$(dirname "$file")")"
  node_modules/.bin/esbuild "$file" --bundle --platform=node --target=node20 --format=esm --log-level=warning \
    --outfile="build/review/case-$number.mjs"
done
