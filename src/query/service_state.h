#ifndef CHICORYVALE_SRC_QUERY_SERVICE_STATE_H_
#define CHICORYVALE_SRC_QUERY_SERVICE_STATE_H_

#include <cstdint>

#include "query/hedge_policy.h"
#include "query/latency_quantile.h"
#include "query/snapshot_tracker.h"
#include "query/token_budget.h"

namespace chicoryvale {

/// State that the queries of one service share. Not thread safe.
struct ServiceState {
  /// Tokens for extra attempts (retries and hedges) that each covered shard
  /// adds to `extra_attempt_budget`.
  static constexpr double kExtraAttemptsPerCoveredShard = 0.09;
  /// Capacity of `extra_attempt_budget`, in tokens.
  static constexpr double kMaxExtraAttemptTokens = 100;
  /// Tokens that each answered query adds to `restart_budget`.
  static constexpr double kRestartsPerAnsweredQuery = 0.01;
  /// Capacity of `restart_budget`, in tokens.
  static constexpr double kMaxRestartTokens = 100;
  /// Quantile of shard completion times. It determines the time of early
  /// answers, and the time that a restart needs before the deadline.
  static constexpr double kCompletionQuantile = 0.97;

  SnapshotTracker snapshots;
  /// Retry budget, which hedges share.
  TokenBudget extra_attempt_budget{kExtraAttemptsPerCoveredShard,
                                   kMaxExtraAttemptTokens};
  HedgePolicy hedge_policy{&extra_attempt_budget};
  TokenBudget restart_budget{kRestartsPerAnsweredQuery, kMaxRestartTokens};
  /// Times from the start of a query to the end of each of its shard tasks that
  /// was covered, or was stopped for another cause than a restart. Tasks that
  /// ended otherwise are not recorded.
  LatencyQuantile completion_times{kCompletionQuantile};
  std::uint32_t queries_in_flight = 0;
  /// Whether the configuration in force has no such service any more.
  bool removed = false;
};

}  // namespace chicoryvale

#endif  // CHICORYVALE_SRC_QUERY_SERVICE_STATE_H_
