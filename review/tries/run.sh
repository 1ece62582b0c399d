#!/usr/bin/env bash
# Runs an exploring script of the review once: bash review/tries/run.sh NAME [ARGUMENT...], after the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/../.."
name="$1"
node_modules/.bin/esbuild "review/tries/$name.ts.txt" --loader:.txt=ts --bundle --platform=node --target=node20 --format=esm \
  --log-level=warning --outfile="build/review/try-$name-$$.mjs"
node "build/review/try-$name-$$.mjs" "${@:2}"
