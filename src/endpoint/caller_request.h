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

/// A caller's request, checked against the schema.
struct CallerRequest {
  const ServiceSchema* service = nullptr;
  const MethodSchema* method = nullptr;
  BodyCodec codec = BodyCodec::kJson;
  QuerySpec spec;
};

/// Longest deadline that a caller may ask for.
inline constexpr Duration kMaxDeadline = seconds(600);

/// Longest request id of a caller, in bytes.
inline constexpr std::size_t kMaxRequestIdBytes = 128;

/// Checks `request` whole: method, path, size, content type, deadline,
/// workspace, request id, then body. The result points into `schema`.
/// Thread safe if `schema` is not shared.
Result<CallerRequest> ParseCallerRequest(const HttpRequest& request,
                                         const Schema& schema);

/// Checks that `request` is a POST whose body was not too large.
Result<void> CheckMethodAndSize(const HttpRequest& request);

/// Splits "/<service>/<Method>"; kUnknownEndpoint for another form.
struct RpcPath {
  std::string service;
  std::string method;
};
Result<RpcPath> ParseRpcPath(const std::string& path);

}  // namespace chicoryvale

#endif  // CHICORYVALE_SRC_ENDPOINT_CALLER_REQUEST_H_
