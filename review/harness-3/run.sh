#!/bin/sh
# Runs the program of a case in a temporary folder and keeps its record:
# run.sh CASE_FOLDER PROGRAM [ARGUMENT...]
here=$(cd "$1" && pwd)
program=$2
shift 2
ROOT=$(cd "$here/../.." && pwd)
export ROOT
if [ ! -x "$ROOT/target/review-3/$program" ] || [ ! -x "$ROOT/target/daisystep" ]
then
  echo "run the build of the deploy file and review/build-3.sh first" >&2
  exit 2
fi
work=$(mktemp -d) || exit 2
trap 'rm -rf "$work"' EXIT
trap 'exit 2' INT TERM
cd "$work" || exit 2
timeout -k 1 119 "$ROOT/target/review-3/$program" "$@"
status=$?
cp record.txt "$here/record.txt" 2>/dev/null
tail -n 1 record.txt
case $status in
  0 | 1) exit "$status" ;;
  *) exit 2 ;;
esac
