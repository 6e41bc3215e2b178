#!/bin/sh
exec "$(dirname "$0")/../harness-3/run.sh" "$(dirname "$0")" late_writes "$@"
