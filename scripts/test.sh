#!/usr/bin/env bash
# Installs missing packages, builds with warnings as errors and runs all tests.
set -euo pipefail
cd "$(dirname "$0")/.."
scripts/install.sh
scripts/build.sh release
scripts/run-checks.sh release
