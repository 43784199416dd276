#ifndef CHICORYVALE_SRC_ENDPOINT_MESSAGE_CODEC_H_
#define CHICORYVALE_SRC_ENDPOINT_MESSAGE_CODEC_H_

#include <cstdint>
#include <string>

#include "chicoryvale/error.h"
#include "ports/http.h"

namespace google::protobuf {
class Message;
}  // namespace google::protobuf

namespace chicoryvale {

/// Codec of the body of a request and of its answer.
enum class BodyCodec : std::uint8_t { kJson, kProtobuf };

/// Returns the codec that the Content-Type of `request` names, JSON if it has
/// none; else kUnsupportedMediaType. Thread safe.
Result<BodyCodec> CodecOf(const HttpRequest& request);

/// Returns the Content-Type of `codec`. Thread safe.
std::string ContentTypeOf(BodyCodec codec);

/// Parses `body` into `message`; kMalformedRequest with the parser's words. An
/// empty JSON body counts as an empty message. Thread safe.
Result<void> ParseBody(BodyCodec codec, const std::string& body,
                       google::protobuf::Message* message);

/// Returns `message` in `codec`. Thread safe.
std::string SerializeBody(BodyCodec codec,
                          const google::protobuf::Message& message);

/// Returns the Protobuf bytes of `message`, equal for equal messages of one
/// program version. Thread safe.
std::string SerializeDeterministic(const google::protobuf::Message& message);

}  // namespace chicoryvale

#endif  // CHICORYVALE_SRC_ENDPOINT_MESSAGE_CODEC_H_
