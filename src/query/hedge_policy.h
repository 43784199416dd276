#ifndef CHICORYVALE_SRC_QUERY_HEDGE_POLICY_H_
#define CHICORYVALE_SRC_QUERY_HEDGE_POLICY_H_

#include <optional>

#include "base/time.h"
#include "query/latency_quantile.h"
#include "query/token_budget.h"

namespace chicoryvale {

/// Decides when a sub-request is asked of a second replica as well: after a
/// high quantile of the service's recent latencies, as far as the budget goes.
/// Source: Dean and Barroso, "The Tail at Scale", CACM 56(2), 2013.
/// Not thread safe.
class HedgePolicy {
 public:
  /// Every hedge also takes a token of `shared`, which retries use too and
  /// come first in. `shared` outlives this object.
  explicit HedgePolicy(TokenBudget* shared) : m_shared(shared) {}

  /// Adds the latency of an attempt; for one that was cancelled the time it
  /// took until then, which is a lower bound.
  void RecordLatency(Duration latency) { m_latency.Record(latency); }

  /// Feeds the budget with one covered shard.
  void OnSuccess() { m_budget.OnSuccess(); }

  /// Returns the time after which to hedge; absent while too few latencies
  /// are known.
  [[nodiscard]] std::optional<Duration> Delay() const;

  /// Takes the tokens of one hedge; false if a budget has none.
  bool TryTake();

  /// Returns the tokens of a hedge that was not sent.
  void GiveBack();

  /// Latency quantile at which a hedge is sent.
  static constexpr double kQuantile = 0.97;
  /// Hedges for each covered shard.
  static constexpr double kBudgetRatio = 0.03;
  static constexpr double kBudgetCapacity = 50;
  /// Fill level of the shared budget below which only retries may use it.
  static constexpr double kSharedReserve = 0.5;

 private:
  LatencyQuantile m_latency{kQuantile};
  TokenBudget m_budget{kBudgetRatio, kBudgetCapacity};
  TokenBudget* m_shared;
};

}  // namespace chicoryvale

#endif  // CHICORYVALE_SRC_QUERY_HEDGE_POLICY_H_
