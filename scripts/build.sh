#!/usr/bin/env bash
# Builds one preset of CMakePresets.json: scripts/build.sh [release|debug|asan|tsan]
set -euo pipefail
cd "$(dirname "$0")/.."
preset=${1:-release}
mkdir -p out
log="out/build-$preset.log"
if ! { cmake --preset "$preset" && cmake --build --preset "$preset"; } >"$log" 2>&1; then
  grep -E 'error|warning|CMake Error' "$log" | head -40 >&2
  echo "build of preset $preset failed; see $log" >&2
  exit 1
fi
echo "built preset $preset in build/$preset"
