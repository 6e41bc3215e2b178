#!/usr/bin/env bash
# Builds the drivers of the review's cases with their stand-ins into
# build/review/.  They need the C library and jansson, which the deploy file
# lists.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p build/review
for case in review/[1-5]/case.c; do
  [ -f "$case" ] || continue
  number=$(basename "$(dirname "$case")")
  ${CC:-cc} -std=c11 -O1 -g -Wall -Wextra -D_GNU_SOURCE -Ireview/harness \
    -o "build/review/case-$number" "$case" review/harness/*.c -ljansson -lpthread
done
