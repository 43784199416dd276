#include "endpoint/message_codec.h"

#include <google/protobuf/io/coded_stream.h>
#include <google/protobuf/io/zero_copy_stream_impl_lite.h>
#include <google/protobuf/message.h>
#include <google/protobuf/util/json_util.h>

#include "ports/upstream_protocol.h"

namespace chicoryvale {

namespace pb = google::protobuf;

Result<BodyCodec> CodecOf(const HttpRequest& request) {
  std::string type = FindHeader(request.headers, "Content-Type");
  type = type.substr(0, type.find(';'));
  if (type.empty() || type == kJsonContentType) return BodyCodec::kJson;
  if (type == kProtobufContentType) return BodyCodec::kProtobuf;
  return MakeError(ErrorKind::kUnsupportedMediaType,
                   "Content-Type \"" + type + "\" is neither " +
                       kJsonContentType + " nor " + kProtobufContentType);
}

std::string ContentTypeOf(BodyCodec codec) {
  return codec == BodyCodec::kJson ? kJsonContentType : kProtobufContentType;
}

Result<void> ParseBody(BodyCodec codec, const std::string& body,
                       pb::Message* message) {
  if (codec == BodyCodec::kProtobuf) {
    if (message->ParseFromString(body)) return {};
    return MakeError(ErrorKind::kMalformedRequest,
                     "the body contains no valid Protobuf message of type " +
                         message->GetTypeName());
  }
  if (body.empty()) return {};
  const auto status = pb::util::JsonStringToMessage(body, message);
  if (status.ok()) return {};
  return MakeError(ErrorKind::kMalformedRequest,
                   "the body contains no valid JSON for type " +
                       message->GetTypeName() + ": " +
                       status.message().ToString());
}

std::string SerializeBody(BodyCodec codec, const pb::Message& message) {
  if (codec == BodyCodec::kProtobuf) return message.SerializeAsString();
  pb::util::JsonPrintOptions options;
  options.always_print_primitive_fields = true;
  options.preserve_proto_field_names = true;
  std::string text;
  // Conversion fails only for well-known types with values out of range.
  if (!pb::util::MessageToJsonString(message, &text, options).ok()) return "{}";
  return text;
}

std::string SerializeDeterministic(const pb::Message& message) {
  std::string bytes;
  {
    pb::io::StringOutputStream stream(&bytes);
    pb::io::CodedOutputStream coded_stream(&stream);
    coded_stream.SetSerializationDeterministic(true);
    message.SerializeToCodedStream(&coded_stream);
  }
  return bytes;
}

}  // namespace chicoryvale
