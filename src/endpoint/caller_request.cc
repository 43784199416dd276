#include "endpoint/caller_request.h"

#include <google/protobuf/message.h>

#include <algorithm>
#include <charconv>
#include <utility>

#include "base/hash.h"
#include "ports/upstream_protocol.h"
#include "schema/field_text.h"

namespace chicoryvale {
namespace {

Result<Duration> ParseDeadline(const HttpRequest& request,
                               const MethodSchema& method) {
  const std::string text = FindHeader(request.headers, kHeaderDeadlineMs);
  if (text.empty()) return method.default_deadline;
  std::int64_t deadline_ms = 0;
  const auto [end, error] =
      std::from_chars(text.data(), text.data() + text.size(), deadline_ms);
  const bool is_number =
      error == std::errc() && end == text.data() + text.size();
  if (is_number && deadline_ms > 0 &&
      milliseconds(deadline_ms) <= kMaxDeadline) {
    return milliseconds(deadline_ms);
  }
  return MakeError(ErrorKind::kInvalidDeadline,
                   std::string(kHeaderDeadlineMs) + " is \"" + text +
                       "\", not a whole number of milliseconds from 1 to " +
                       std::to_string(kMaxDeadline / milliseconds(1)));
}

Result<std::string> ParseWorkspace(const HttpRequest& request,
                                   const ServiceSchema& service) {
  std::string name = FindHeader(request.headers, kHeaderWorkspace);
  if (service.workspaces.empty()) return name;
  if (std::ranges::find(service.workspaces, name, &WorkspaceShare::name) !=
      service.workspaces.end()) {
    return name;
  }
  return MakeError(ErrorKind::kMalformedRequest,
                   std::string(kHeaderWorkspace) + " \"" + name +
                       "\" matches no workspace of " + service.name);
}

Result<std::string> ParseRequestId(const HttpRequest& request,
                                   const MethodSchema& method) {
  std::string id = FindHeader(request.headers, kHeaderRequestId);
  if (id.size() > kMaxRequestIdBytes) {
    return MakeError(ErrorKind::kMalformedRequest,
                     std::string(kHeaderRequestId) + " is longer than " +
                         std::to_string(kMaxRequestIdBytes) + " bytes");
  }
  if (id.empty() && !method.idempotent) {
    return MakeError(ErrorKind::kRequestIdMissing,
                     method.name +
                         " may run at most once and needs the header " +
                         kHeaderRequestId);
  }
  return id;
}

// Parses the body of `request` and fills the fields of the query that are
// derived from it.
Result<void> ParseMessage(const HttpRequest& request, const Schema& schema,
                          CallerRequest* parsed) {
  const auto message = schema.NewMessage(parsed->method->input);
  if (auto ok = ParseBody(parsed->codec, request.body, message.get()); !ok) {
    return ok;
  }
  std::string bytes = SerializeDeterministic(*message);
  parsed->spec.fingerprint = HashBytes(bytes, HashBytes(request.path));
  if (parsed->method->fanout == Fanout::kOneShard) {
    parsed->spec.routing_hash =
        HashBytes(FieldText(*message, *parsed->method->routing_key));
  }
  parsed->spec.body = SharedString(std::move(bytes));
  return {};
}

void SetSchemaFields(CallerRequest* parsed) {
  parsed->spec.service = parsed->service->name;
  parsed->spec.method = parsed->method->name;
  parsed->spec.idempotent = parsed->method->idempotent;
  parsed->spec.objective = parsed->service->objective == Objective::kCoverage
                               ? QueryObjective::kCoverage
                               : QueryObjective::kTailLatency;
  parsed->spec.min_coverage_per_10000 = parsed->method->min_coverage_per_10000;
}

}  // namespace

Result<void> CheckHttpPost(const HttpRequest& request) {
  if (request.method != "POST") {
    return MakeError(ErrorKind::kWrongMethod,
                     "method " + request.method + " is not POST");
  }
  if (request.too_large) {
    return MakeError(ErrorKind::kRequestTooLarge,
                     "the request body exceeds the size limit");
  }
  return {};
}

Result<RpcPath> ParseRpcPath(const std::string& path) {
  const std::size_t slash = path.rfind('/');
  if (path.size() < 4 || path.front() != '/' || slash == 0 ||
      slash + 1 == path.size()) {
    return MakeError(ErrorKind::kUnknownEndpoint,
                     "path \"" + path + "\" is not /<service>/<Method>");
  }
  return RpcPath{path.substr(1, slash - 1), path.substr(slash + 1)};
}

Result<CallerRequest> ParseCallerRequest(const HttpRequest& request,
                                         const Schema& schema) {
  const auto path = ParseRpcPath(request.path);
  if (!path) return tl::unexpected(path.error());
  CallerRequest parsed;
  parsed.service = schema.FindService(path->service);
  if (parsed.service != nullptr) {
    parsed.method = FindMethod(*parsed.service, path->method);
  }
  if (parsed.method == nullptr) {
    return MakeError(ErrorKind::kUnknownEndpoint,
                     "the schema has no method " + request.path);
  }
  if (auto ok = CheckHttpPost(request); !ok) return tl::unexpected(ok.error());
  const auto codec = CodecOf(request);
  if (!codec) return tl::unexpected(codec.error());
  parsed.codec = *codec;
  SetSchemaFields(&parsed);
  const auto deadline = ParseDeadline(request, *parsed.method);
  if (!deadline) return tl::unexpected(deadline.error());
  parsed.spec.timeout = *deadline;
  auto workspace = ParseWorkspace(request, *parsed.service);
  if (!workspace) return tl::unexpected(workspace.error());
  parsed.spec.workspace = std::move(*workspace);
  auto request_id = ParseRequestId(request, *parsed.method);
  if (!request_id) return tl::unexpected(request_id.error());
  parsed.spec.request_id = std::move(*request_id);
  if (auto ok = ParseMessage(request, schema, &parsed); !ok) {
    return tl::unexpected(ok.error());
  }
  return parsed;
}

}  // namespace chicoryvale
