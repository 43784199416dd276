#ifndef CHICORYVALE_SRC_QUERY_QUERY_TYPES_H_
#define CHICORYVALE_SRC_QUERY_QUERY_TYPES_H_

#include <array>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "base/ids.h"
#include "base/shared_string.h"
#include "base/time.h"
#include "chicoryvale/error.h"

namespace chicoryvale {

/// Identifies a query within one run of one process; 0 is never used.
using QueryId = std::uint64_t;

/// What a query gives up first when time is short.
enum class QueryObjective : std::uint8_t {
  /// Waits for stragglers up to the deadline.
  kCoverage,
  /// Answers early without stragglers, above the minimum coverage.
  kTailLatency,
};

/// Denominator of `QuerySpec::min_coverage_per_10000`.
inline constexpr std::uint64_t kCoverageScale = 10000;

/// One request of a caller.
struct QuerySpec {
  /// Full name of the service, for example "macchie.EyepieceDesk".
  std::string service;
  std::string method;
  std::string workspace;
  /// Serialized Protobuf request message.
  SharedString body;
  /// Time from the start of the query until the answer is due.
  Duration timeout{};
  bool idempotent = true;
  /// Caller's request id; required if not idempotent.
  std::string request_id;
  QueryObjective objective = QueryObjective::kCoverage;
  /// Least coverage worth an answer; 0 takes any but none at all.
  std::uint32_t min_coverage_per_10000 = 0;
  /// Hash of the routing key: asks the one shard `routing_hash` modulo the
  /// number of shards. Absent: asks every shard.
  std::optional<std::uint64_t> routing_hash;
  /// Epoch of the shard map that the caller planned with; 0 takes any. A query
  /// planned with another epoch than the one in force is refused, not run.
  std::uint64_t map_epoch = 0;
  /// Hash of the request, equal for resends of it; 0 if it takes no part in
  /// crash quarantine.
  std::uint64_t fingerprint = 0;
};

/// Whether a shard is part of the answer and, if not, why.
enum class ShardState : std::uint8_t {
  kCovered,
  /// The deadline passed first.
  kDeadline,
  /// The answer was given early, for the sake of tail latency.
  kReturnedEarly,
  /// Every replica asked was out of places or shed the request.
  kOverloaded,
  /// No replica could be reached.
  kUnreachable,
  /// No replica serves the query's snapshot.
  kSnapshotUnavailable,
  /// The replicas asked failed or their connections broke.
  kFailed,
  /// The answers received were damaged or were not for this sub-request.
  kBadAnswer,
  /// The request is quarantined, since upstreams that ran it were lost.
  kQuarantined,
};

/// Names of ShardState, in its order.
inline constexpr std::array<std::string_view, 9> kShardStateNames = {
    "covered",    "deadline",    "early",
    "overloaded", "unreachable", "snapshot_unavailable",
    "failed",     "bad_answer",  "quarantined"};

/// Returns the stable name of `state`. Thread safe.
constexpr std::string_view ShardStateName(ShardState state) {
  return kShardStateNames[static_cast<std::size_t>(state)];
}

/// Coverage of one shard that the query asked.
struct ShardCoverage {
  ShardId shard = 0;
  ShardState state = ShardState::kDeadline;
  bool operator==(const ShardCoverage&) const = default;
};

/// The end of a query.
struct QueryAnswer {
  /// The merged answer, perhaps of a part of the shards, or the failure, whose
  /// `ran` equals the field below.
  Result<std::string> body;
  /// Each shard that the query had to ask, in order of ShardId.
  std::vector<ShardCoverage> coverage;
  /// The snapshot that every covered shard answered from.
  SnapshotId snapshot;
  Ran ran = Ran::kNo;
  /// Sub-requests sent, of which retries and hedges are a part.
  std::uint32_t attempts = 0;
  std::uint32_t retries = 0;
  std::uint32_t hedges = 0;
  /// Time in which half of the shards were covered; zero if they were not.
  Duration half_coverage_time{};
  /// Times that the query started again at another snapshot.
  std::uint32_t restarts = 0;
};

/// Receives the end of a query, once.
using QueryCallback = std::function<void(QueryAnswer)>;

/// Returns how many shards of `coverage` are covered. Thread safe.
std::size_t CountCovered(const std::vector<ShardCoverage>& coverage);

}  // namespace chicoryvale

#endif  // CHICORYVALE_SRC_QUERY_QUERY_TYPES_H_
