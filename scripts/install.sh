#!/usr/bin/env bash
# Installs the Debian packages required by build, tests and checks; does nothing
# if all of them are installed.
set -euo pipefail

packages=(gcc g++ cmake ninja-build pkg-config git
  clang-format clang-tidy cppcheck
  libtalloc-dev libtevent-dev libprotobuf-c-dev libmicrohttpd-dev
  libcurl4-gnutls-dev libargtable2-dev libglib2.0-dev libjansson-dev
  libxxhash-dev libhttp-parser-dev liblua5.4-dev check jq curl procps gnuplot-nox)

missing=()
for package in "${packages[@]}"; do
  dpkg-query -W -f='${Status}' "$package" 2>/dev/null \
    | grep -q 'install ok installed' || missing+=("$package")
done
[ "${#missing[@]}" -eq 0 ] && exit 0

echo "installing: ${missing[*]}"
as_root=()
[ "$(id -u)" -eq 0 ] || as_root=(sudo)
"${as_root[@]}" apt-get update -qq
DEBIAN_FRONTEND=noninteractive "${as_root[@]}" apt-get install -y -qq \
  --no-install-recommends "${missing[@]}" >/dev/null
