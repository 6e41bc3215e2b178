#!/bin/sh
# Builds the programs of review/11 and later into target/review-3/.  Run it
# after the build of the deploy file.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-3
flags="-O2 -g -Wall -Wextra -Wno-format-truncation -D_GNU_SOURCE"
libs="$(pkg-config --cflags --libs jansson) -lpthread"
for name in review/harness-3/case_*.c; do
  program=$(basename "$name" .c)
  # shellcheck disable=SC2086
  gcc $flags -o "target/review-3/${program#case_}" "$name" \
    review/harness-3/play.c review/harness-3/store.c \
    review/harness-3/site.c review/harness-3/tenants.c $libs
done
