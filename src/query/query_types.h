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

/// Identifies a query within one run of one process. 0 is never used.
using QueryId = std::uint64_t;

/// Whether a query prefers coverage or low latency.
enum class QueryObjective : std::uint8_t {
  /// Waits for slow shards until the deadline.
  kCoverage,
  /// Answers early without slow shards if the minimum coverage is reached.
  kTailLatency,
};

/// Denominator of `QuerySpec::min_coverage_per_10000`.
inline constexpr std::uint64_t kCoverageScale = 10000;

/// Request of a caller.
struct QuerySpec {
  /// Full name of the service, for example "macchie.EyepieceDesk".
  std::string service;
  std::string method;
  std::string workspace;
  /// Serialized Protobuf request message.
  SharedString body;
  /// Time from the start of the query to its deadline.
  Duration timeout{};
  bool idempotent = true;
  /// Request id of the caller. Required if `idempotent` is false.
  std::string request_id;
  QueryObjective objective = QueryObjective::kCoverage;
  /// Minimum coverage of an answer. If 0, at least one shard must be covered.
  std::uint32_t min_coverage_per_10000 = 0;
  /// Hash of the routing key. If present, the query is sent only to the shard
  /// `routing_hash` modulo the number of shards, otherwise to every shard.
  std::optional<std::uint64_t> routing_hash;
  /// Epoch of the shard map that the caller used to plan the query. If it is
  /// not 0 and differs from the epoch in force, the query is refused.
  std::uint64_t map_epoch = 0;
  /// Hash of the request, equal for its resends. 0 excludes the request from
  /// crash quarantine.
  std::uint64_t fingerprint = 0;
};

/// Whether the answer covers a shard, and if not, why.
enum class ShardState : std::uint8_t {
  kCovered,
  /// The deadline passed before the shard answered.
  kDeadline,
  /// The query was answered early, to reduce tail latency, before the shard
  /// answered.
  kSkippedForEarlyAnswer,
  /// Every replica tried had no free slot or shed the request.
  kOverloaded,
  /// No replica could be reached.
  kUnreachable,
  /// No replica serves the snapshot of the query.
  kSnapshotUnavailable,
  /// The replicas tried failed, or their connections were lost.
  kFailed,
  /// The answers received were damaged or belonged to another sub-request.
  kBadAnswer,
  /// The request is quarantined, because upstreams that ran it were lost.
  kQuarantined,
};

/// Names of the values of ShardState, in its order.
inline constexpr std::array<std::string_view, 9> kShardStateNames = {
    "covered",    "deadline",    "early",
    "overloaded", "unreachable", "snapshot_unavailable",
    "failed",     "bad_answer",  "quarantined"};

/// Returns the name of `state`, which callers receive and which does not
/// change. Thread safe.
constexpr std::string_view ShardStateName(ShardState state) {
  return kShardStateNames[static_cast<std::size_t>(state)];
}

/// State of one shard to which a query was sent.
struct ShardCoverage {
  ShardId shard = 0;
  ShardState state = ShardState::kDeadline;
  bool operator==(const ShardCoverage&) const = default;
};

/// Result of a query.
struct QueryAnswer {
  /// The merged answer, complete or partial, or an error. The `ran` of the
  /// error equals the field `ran` of this struct.
  Result<std::string> body;
  /// All shards to which the query was sent, in the order of ShardId.
  std::vector<ShardCoverage> coverage;
  /// The snapshot at which every covered shard answered.
  SnapshotId snapshot;
  /// Whether the request ran on an upstream.
  Ran ran = Ran::kNo;
  /// Number of attempts sent, including retries and hedges.
  std::uint32_t attempts = 0;
  std::uint32_t retries = 0;
  std::uint32_t hedges = 0;
  /// Time from the start of the query until half of its shards were covered.
  /// Zero if fewer were covered.
  Duration half_coverage_time{};
  /// Number of restarts at another snapshot.
  std::uint32_t restarts = 0;
};

/// Receives the result of a query. Called once.
using QueryCallback = std::function<void(QueryAnswer)>;

/// Returns the answer of a query that failed with `error`. Thread safe.
QueryAnswer MakeFailedAnswer(Error error);

/// Returns the number of covered shards in `coverage`. Thread safe.
std::size_t CountCovered(const std::vector<ShardCoverage>& coverage);

}  // namespace chicoryvale

#endif  // CHICORYVALE_SRC_QUERY_QUERY_TYPES_H_
