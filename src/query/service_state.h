#ifndef CHICORYVALE_SRC_QUERY_SERVICE_STATE_H_
#define CHICORYVALE_SRC_QUERY_SERVICE_STATE_H_

#include <cstdint>

#include "query/hedge_policy.h"
#include "query/latency_quantile.h"
#include "query/snapshot_tracker.h"
#include "query/token_budget.h"

namespace chicoryvale {

/// What the queries of one service share. Not thread safe.
struct ServiceState {
  /// Extra sub-requests, retries and hedges together, for each covered shard.
  static constexpr double kExtraLoadRatio = 0.09;
  static constexpr double kExtraLoadCapacity = 100;
  /// Restarted queries for each one answered.
  static constexpr double kRestartRatio = 0.01;
  static constexpr double kRestartCapacity = 100;
  /// Quantile of shard completion times that early answers wait for.
  static constexpr double kCompletionQuantile = 0.97;

  SnapshotTracker snapshots;
  TokenBudget extra_load{kExtraLoadRatio, kExtraLoadCapacity};
  HedgePolicy hedging{&extra_load};
  TokenBudget restarts{kRestartRatio, kRestartCapacity};
  /// Times from the start of a query to the end of each of its shards.
  LatencyQuantile completion{kCompletionQuantile};
  std::uint32_t queries_in_flight = 0;
  /// The configuration in force no longer has the service.
  bool removed = false;
};

}  // namespace chicoryvale

#endif  // CHICORYVALE_SRC_QUERY_SERVICE_STATE_H_
