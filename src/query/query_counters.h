#ifndef CHICORYVALE_SRC_QUERY_QUERY_COUNTERS_H_
#define CHICORYVALE_SRC_QUERY_QUERY_COUNTERS_H_

#include <array>
#include <cstdint>
#include <string_view>

#include "base/counters.h"

namespace chicoryvale {

/// Counters of the query engine.
enum class QueryCounter : std::uint8_t {
  kStarted,
  kAnsweredWhole,
  kAnsweredPartly,
  kAnsweredEarly,
  kCancelled,
  // Failed queries, by the kind of their error.
  kFailedDeadline,
  kFailedCoverage,
  kFailedSnapshot,
  kFailedOverloaded,
  kFailedUnavailable,
  kFailedMayHaveRun,
  kFailedQuarantined,
  // Queries refused before the first attempt, by reason.
  kRefusedNoConfiguration,
  kRefusedEpoch,
  kRefusedDeadline,
  kRefusedShuttingDown,
  /// Attempts sent, including retries and hedges.
  kSubRequests,
  kShardsCovered,
  kHedges,
  /// Hedges whose answer covered the shard.
  kHedgesWon,
  kHedgeNoBudget,
  // Retries, by reason.
  kRetryNotConnected,
  kRetryNotStarted,
  kRetrySnapshot,
  kRetryFailed,
  kRetryConnectionLost,
  kRetryTimedOut,
  kRetryBadAnswer,
  kRetryStalled,
  /// Retries that the retry budget did not allow.
  kRetryNoBudget,
  kGateRefused,
  // Restarts, by cause.
  kRestartSnapshot,
  kRestartMap,
  kRestartNoBudget,
  // Answers that were dropped, by reason.
  kDroppedLate,
  kDroppedOtherId,
  kDroppedOtherShard,
  kDroppedOtherSnapshot,
  kDroppedMalformed,
  kDroppedUnmergeable,
};

template <>
struct CounterNames<QueryCounter> {
  static constexpr std::array<std::string_view, 40> kNames = {
      "query_started",
      "query_answered_whole",
      "query_answered_partly",
      "query_answered_early",
      "query_cancelled",
      "query_failed_deadline",
      "query_failed_coverage",
      "query_failed_snapshot",
      "query_failed_overloaded",
      "query_failed_unavailable",
      "query_failed_may_have_run",
      "query_failed_quarantined",
      "query_refused_no_configuration",
      "query_refused_epoch",
      "query_refused_deadline",
      "query_refused_shutting_down",
      "query_sub_requests",
      "query_shards_covered",
      "query_hedges",
      "query_hedges_won",
      "query_hedge_no_budget",
      "query_retry_not_connected",
      "query_retry_not_started",
      "query_retry_snapshot",
      "query_retry_failed",
      "query_retry_connection_lost",
      "query_retry_timed_out",
      "query_retry_bad_answer",
      "query_retry_stalled",
      "query_retry_no_budget",
      "query_gate_refused",
      "query_restart_snapshot",
      "query_restart_map",
      "query_restart_no_budget",
      "query_dropped_late",
      "query_dropped_other_id",
      "query_dropped_other_shard",
      "query_dropped_other_snapshot",
      "query_dropped_malformed",
      "query_dropped_unmergeable"};
};

using QueryCounters = CounterSet<QueryCounter>;

}  // namespace chicoryvale

#endif  // CHICORYVALE_SRC_QUERY_QUERY_COUNTERS_H_
