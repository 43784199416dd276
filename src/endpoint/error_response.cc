#include "endpoint/error_response.h"

#include <nlohmann/json.hpp>

namespace chicoryvale {

HttpResponse ErrorResponse(const Error& error,
                           const std::optional<CoverageSummary>& coverage) {
  const ErrorProperties& answer = PropertiesOf(error.kind);
  nlohmann::ordered_json body;
  body["kind"] = answer.name;
  body["message"] = error.message;
  body["ran"] = RanName(error.ran);
  // A request that ran, or may have run, is not safe to retry.
  body["retryable"] = answer.retryable && error.ran == Ran::kNo;
  if (coverage) {
    body["coverage"] = {{"covered", coverage->covered},
                        {"asked", coverage->asked}};
  }
  HttpResponse response;
  response.status = answer.http_status;
  // The message may quote bytes of the request that are not valid UTF-8.
  response.body =
      body.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
  return response;
}

}  // namespace chicoryvale
