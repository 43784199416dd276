#!/usr/bin/env bash
# Regenerates proto/gen from proto/. Needs Debian's protobuf-compiler.
set -euo pipefail
cd "$(dirname "$0")/../proto"
protoc --cpp_out=gen chicoryvale/options.proto chicoryvale/operator.proto
