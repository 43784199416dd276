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

/// Encoding of the body of a request and of its answer.
enum class BodyCodec : std::uint8_t { kJson, kProtobuf };

/// Returns the codec for the Content-Type of `request`, or kJson if the header
/// is absent. Returns kUnsupportedMediaType for any other type. Thread safe.
Result<BodyCodec> CodecOf(const HttpRequest& request);

/// Returns the Content-Type of `codec`. Thread safe.
std::string ContentTypeOf(BodyCodec codec);

/// Parses `body` into `message`. Returns kMalformedRequest if that fails, for
/// JSON with the parser's error text. An empty JSON body counts as an empty
/// message. Thread safe.
Result<void> ParseBody(BodyCodec codec, const std::string& body,
                       google::protobuf::Message* message);

/// Returns `message` encoded with `codec`. Thread safe.
std::string SerializeBody(BodyCodec codec,
                          const google::protobuf::Message& message);

/// Returns the Protobuf encoding of `message`. Equal messages give equal bytes
/// within one version of the program. Thread safe.
std::string SerializeDeterministic(const google::protobuf::Message& message);

}  // namespace chicoryvale

#endif  // CHICORYVALE_SRC_ENDPOINT_MESSAGE_CODEC_H_
