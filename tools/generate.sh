#!/usr/bin/env bash
# Regenerates src/gen from schema/. The output is committed; run this after
# each change to a schema file.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p src/gen
protoc -Ischema --cpp_out=src/gen schema/*.proto
jsonrpcstub schema/peer.json --cpp-server=PeerServerStub \
  --cpp-server-file=src/gen/peerserver.h
