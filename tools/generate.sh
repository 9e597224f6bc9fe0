#!/usr/bin/env bash
# Writes the committed protobuf code anew from proto/*.proto.
set -euo pipefail
cd "$(dirname "$0")/.."
protoc --proto_path=proto --cpp_out=src/vanilladyke/peers proto/peers.proto
protoc --proto_path=proto --cpp_out=src/vanilladyke/control proto/claims.proto
protoc --proto_path=proto --cpp_out=src/vanilladyke/node proto/node_load.proto
