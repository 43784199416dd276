#ifndef CHICORYVALE_SRC_ENDPOINT_CALLER_REQUEST_H_
#define CHICORYVALE_SRC_ENDPOINT_CALLER_REQUEST_H_

#include <cstdint>
#include <memory>

#include "chicoryvale/error.h"
#include "endpoint/message_codec.h"
#include "ports/http.h"
#include "query/query_types.h"
#include "schema/schema.h"

namespace chicoryvale {

/// A caller's request after parsing and validation against the schema.
struct CallerRequest {
  const ServiceSchema* service = nullptr;
  const MethodSchema* method = nullptr;
  BodyCodec codec = BodyCodec::kJson;
  QuerySpec spec;
};

/// Maximum deadline that a caller may request.
inline constexpr Duration kMaxDeadline = seconds(600);

/// Maximum length of a caller's request id, in bytes.
inline constexpr std::size_t kMaxRequestIdBytes = 128;

/// Parses and validates `request`: path, method, size, content type, deadline,
/// workspace, request id, then body. Returns the first error. The result refers
/// to `schema`, which must outlive it. Thread safe if `schema` is not shared.
Result<CallerRequest> ParseCallerRequest(const HttpRequest& request,
                                         const Schema& schema);

/// Checks that `request` is a POST whose body is within the size limit. Returns
/// kWrongMethod or kRequestTooLarge otherwise. Thread safe.
Result<void> CheckHttpPost(const HttpRequest& request);

/// The service and the method that a request path names.
struct RpcPath {
  std::string service;
  std::string method;
};

/// Splits a path of the form "/<service>/<Method>". Returns kUnknownEndpoint
/// for any other form. Thread safe.
Result<RpcPath> ParseRpcPath(const std::string& path);

}  // namespace chicoryvale

#endif  // CHICORYVALE_SRC_ENDPOINT_CALLER_REQUEST_H_
