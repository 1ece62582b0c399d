#!/bin/sh
# Plays one try: crowd NUMBER chunks|bodies, routes NUMBER, firstSeed, coreOnly. Prints what it measures.
cd "$(dirname "$0")/../.." || exit 2
exec node build/review-2/tries.mjs "$@"
