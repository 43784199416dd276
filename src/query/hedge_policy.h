#ifndef CHICORYVALE_SRC_QUERY_HEDGE_POLICY_H_
#define CHICORYVALE_SRC_QUERY_HEDGE_POLICY_H_

#include <optional>

#include "base/time.h"
#include "query/latency_quantile.h"
#include "query/token_budget.h"

namespace chicoryvale {

/// Decides when a hedge is sent to a second replica: once an attempt has been
/// in flight longer than a high quantile of the recent latencies of the
/// service, and if the budgets allow it. See Dean and Barroso, "The Tail at
/// Scale", CACM 56(2), 2013. Not thread safe.
class HedgePolicy {
 public:
  /// Each hedge also consumes a token of `shared_budget`, in which retries have
  /// priority. `shared_budget` must outlive this object.
  explicit HedgePolicy(TokenBudget* shared_budget)
      : m_shared_budget(shared_budget) {}

  /// Records the latency of an attempt. For a cancelled attempt, `latency` is
  /// the time until the cancellation, a lower bound of the real latency.
  void RecordLatency(Duration latency) { m_latencies.Record(latency); }

  /// Adds the tokens for one covered shard to the hedge budget.
  void RecordCoveredShard() { m_hedge_budget.RecordSuccesses(); }

  /// Returns the time from the send of an attempt to its hedge. Absent until
  /// enough latencies are recorded.
  [[nodiscard]] std::optional<Duration> Delay() const;

  /// Consumes the tokens for one hedge. Returns false, and consumes nothing, if
  /// a budget does not allow the hedge.
  bool TryConsumeTokens();

  /// Refunds the tokens of a hedge that was not sent.
  void RefundTokens();

  /// Latency quantile that is used as the delay of a hedge.
  static constexpr double kDelayQuantile = 0.97;
  /// Tokens that each covered shard adds to the hedge budget.
  static constexpr double kHedgesPerCoveredShard = 0.03;
  /// Capacity of the hedge budget, in tokens.
  static constexpr double kMaxHedgeTokens = 50;
  /// Fill ratio of the shared budget below which hedges may not use it, so that
  /// the rest remains available to retries.
  static constexpr double kMinSharedFillRatio = 0.5;

 private:
  LatencyQuantile m_latencies{kDelayQuantile};
  TokenBudget m_hedge_budget{kHedgesPerCoveredShard, kMaxHedgeTokens};
  TokenBudget* m_shared_budget;
};

}  // namespace chicoryvale

#endif  // CHICORYVALE_SRC_QUERY_HEDGE_POLICY_H_
