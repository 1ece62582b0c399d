#!/bin/sh
# Builds the cases of the second review into build/review-2/, after the build of the deploy file.
set -eu
cd "$(dirname "$0")/.."
for case in 6 7 8 9 10 tries-2; do
  if [ -f "review/$case/case.ts" ]; then
    node_modules/.bin/esbuild "review/$case/case.ts" --bundle --platform=node --format=esm --target=node20 \
      --packages=external --alias:@clementinemux=./packages --log-level=warning \
      --outfile="build/review-2/${case%-2}.mjs"
  fi
done
