#ifndef CHICORYVALE_SRC_ENDPOINT_ERROR_RESPONSE_H_
#define CHICORYVALE_SRC_ENDPOINT_ERROR_RESPONSE_H_

#include <optional>
#include <string>

#include "chicoryvale/error.h"
#include "ports/http.h"

namespace chicoryvale {

/// Coverage of a failed query: the numbers of covered shards and of all shards
/// that were asked.
struct CoverageSummary {
  std::uint32_t covered = 0;
  std::uint32_t asked = 0;
};

/// Returns the error answer that all endpoints use: a JSON object with `kind`,
/// `message`, `ran`, `retryable` and, for a query, `coverage`. Thread safe.
HttpResponse ErrorResponse(
    const Error& error,
    const std::optional<CoverageSummary>& coverage = std::nullopt);

}  // namespace chicoryvale

#endif  // CHICORYVALE_SRC_ENDPOINT_ERROR_RESPONSE_H_
