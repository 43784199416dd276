#!/usr/bin/env bash
# Regenerates proto/gen from proto/. Needs Debian's protobuf-compiler.
set -euo pipefail
cd "$(dirname "$0")/../proto"
protoc --cpp_out=gen chicoryvale/options.proto chicoryvale/operator.proto
{
  echo '#ifndef CHICORYVALE_PROTO_GEN_CHICORYVALE_OPTIONS_TEXT_H_'
  echo '#define CHICORYVALE_PROTO_GEN_CHICORYVALE_OPTIONS_TEXT_H_'
  echo '// Text of proto/chicoryvale/options.proto, which schema files import.'
  echo 'inline constexpr char kOptionsProtoText[] = R"PROTO('
  cat chicoryvale/options.proto
  echo ')PROTO";'
  echo '#endif  // CHICORYVALE_PROTO_GEN_CHICORYVALE_OPTIONS_TEXT_H_'
} > gen/chicoryvale/options_text.h
