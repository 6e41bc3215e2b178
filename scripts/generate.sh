#!/usr/bin/env bash
# Regenerates the committed protobuf-c sources after a change of a .proto file.
set -euo pipefail
cd "$(dirname "$0")/.."
cd src && protoc-c --c_out=. proto/peer.proto proto/gossip.proto
