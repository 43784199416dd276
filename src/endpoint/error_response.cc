#include "endpoint/error_response.h"

#include <nlohmann/json.hpp>

namespace chicoryvale {

HttpResponse ErrorResponse(const Error& error,
                           const std::optional<CoverageSummary>& coverage) {
  const ErrorAnswer& answer = AnswerFor(error.kind);
  nlohmann::ordered_json body;
  body["kind"] = answer.name;
  body["message"] = error.message;
  body["ran"] = RanName(error.ran);
  // What ran, or may have, is not to be sent again without a thought.
  body["retryable"] = answer.retryable && error.ran == Ran::kNo;
  if (coverage) {
    body["coverage"] = {{"covered", coverage->covered},
                        {"asked", coverage->asked}};
  }
  HttpResponse response;
  response.status = answer.http_status;
  // Bytes of the request that are no UTF-8 may stand in the message.
  response.body =
      body.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
  return response;
}

}  // namespace chicoryvale
