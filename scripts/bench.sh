#!/usr/bin/env bash
# Builds the release preset and runs the benchmarks, which print lines
# "metric NAME VALUE UNIT". Takes less than four minutes.
set -euo pipefail
cd "$(dirname "$0")/.."
scripts/install.sh
scripts/build.sh release
status=0
for program in path budget router catalogue; do
  timeout 150 "build/release/bench_$program" || {
    echo "bench_$program failed with exit status $?" >&2
    status=1
  }
done
exit "$status"
