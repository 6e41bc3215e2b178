#!/usr/bin/env bash
# Builds the store stand-in and the programs of the cases 6 to 10 into
# target/review-2/, after the build of deploy/system.toml.
set -euo pipefail
cd "$(dirname "$0")/.."
out=target/review-2
mkdir -p "$out"
packages="talloc tevent jansson glib-2.0 libxxhash libprotobuf-c libmicrohttpd libcurl"
# shellcheck disable=SC2046
flags=(-std=gnu11 -O2 -g -Wall -Wextra -Werror -D_GNU_SOURCE
  -Iinclude -Isrc -I. -Itests -Ireview/harness-2 $(pkg-config --cflags $packages))
# shellcheck disable=SC2046
libraries=(target/libdaisystep_io.a target/libdaisystep_base.a
  $(pkg-config --libs $packages) -largtable2 -lhttp_parser -lpthread -lm)
cc "${flags[@]}" -o "$out/standin_platform_store" tests/standins/platform_store.c \
  tests/standins/common_server.c "${libraries[@]}"
for case in review/{6,7,8,9,10}/case.c; do
  [ -f "$case" ] || continue
  number=$(basename "$(dirname "$case")")
  cc "${flags[@]}" -o "$out/case_$number" "$case" review/harness-2/site.c \
    tests/support/process.c tests/support/http.c "${libraries[@]}"
done
echo "built the programs of the cases in $out"
