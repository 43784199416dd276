#include "query/query_error.h"

#include <algorithm>
#include <array>
#include <string>

namespace chicoryvale {
namespace {

// Error kind of a query without covered shards of which at least one shard is
// in `state`.
struct StateError {
  ShardState state;
  ErrorKind kind;
};

// In descending order of precedence.
constexpr std::array<StateError, 5> kStateErrors = {{
    {ShardState::kQuarantined, ErrorKind::kQuarantined},
    {ShardState::kSnapshotUnavailable, ErrorKind::kSnapshotUnavailable},
    {ShardState::kOverloaded, ErrorKind::kOverloaded},
    {ShardState::kUnreachable, ErrorKind::kUpstreamUnavailable},
    {ShardState::kDeadline, ErrorKind::kDeadlineExceeded},
}};

// Returns the error kind of the first row whose state at least one shard has,
// or kInsufficientCoverage if there is none.
ErrorKind UncoveredErrorKind(const std::vector<ShardCoverage>& coverage) {
  const auto row = std::ranges::find_if(kStateErrors, [&](StateError entry) {
    return std::ranges::find(coverage, entry.state, &ShardCoverage::state) !=
           coverage.end();
  });
  return row == kStateErrors.end() ? ErrorKind::kInsufficientCoverage
                                   : row->kind;
}

ErrorKind SelectErrorKind(const QuerySpec& spec,
                          const std::vector<ShardCoverage>& coverage, Ran ran) {
  if (!spec.idempotent && ran != Ran::kNo) return ErrorKind::kMayHaveRun;
  const std::size_t covered = CountCovered(coverage);
  if (covered > 0) return ErrorKind::kInsufficientCoverage;
  const ErrorKind kind = UncoveredErrorKind(coverage);
  const bool implies_not_run = PropertiesOf(kind).ran == Ran::kNo;
  if (implies_not_run && ran != Ran::kNo) {
    return ErrorKind::kInsufficientCoverage;
  }
  return kind;
}

}  // namespace

Error MakeQueryError(const QuerySpec& spec,
                     const std::vector<ShardCoverage>& coverage, Ran ran) {
  std::string message = std::to_string(CountCovered(coverage)) + " of " +
                        std::to_string(coverage.size()) + " shards of " +
                        spec.service + " answered";
  const auto first = std::ranges::find_if(coverage, [](ShardCoverage shard) {
    return shard.state != ShardState::kCovered;
  });
  if (first != coverage.end()) {
    message += "; shard " + std::to_string(first->shard) + ": " +
               std::string(ShardStateName(first->state));
  }
  return Error{SelectErrorKind(spec, coverage, ran), std::move(message), ran};
}

}  // namespace chicoryvale
