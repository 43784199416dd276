#ifndef CHICORYVALE_SRC_UPSTREAM_REPLICA_SET_H_
#define CHICORYVALE_SRC_UPSTREAM_REPLICA_SET_H_

#include <cstddef>
#include <memory>
#include <optional>
#include <utility>
#include <vector>

#include "base/time.h"
#include "config/cluster_config.h"
#include "ports/scheduler.h"
#include "upstream/connection_monitor.h"
#include "upstream/connection_share.h"
#include "upstream/replica_picker.h"
#include "upstream/replica_state.h"
#include "upstream/wait_queue.h"

namespace chicoryvale {

struct ReplicaSet;

/// A replica, and the sets of which requests wait for it.
struct Replica {
  Replica(ReplicaState replica_state, ConnectionMonitor connection_monitor)
      : state(std::move(replica_state)), monitor(connection_monitor) {}

  ReplicaState state;
  ConnectionMonitor monitor;
  /// The lowest limits that a service places on it.
  ReplicaLimits limits;
  /// This process's part of its connections.
  ConnectionBudget budget;
  /// Whether the present configuration places it.
  bool placed = false;
  /// When a connection last died mid-request, until an answer follows.
  std::optional<TimePoint> lost_connection_at;
  /// Sets with a queue; the first is served next.
  std::vector<std::shared_ptr<ReplicaSet>> waiting;
};

/// The replicas of one shard, and the requests that wait for one of them.
struct ReplicaSet {
  explicit ReplicaSet(std::size_t queue_capacity) : queue(queue_capacity) {}

  std::vector<ReplicaMember> members;
  /// Same order as `members`.
  std::vector<Replica*> replicas;
  WaitQueue queue;
  /// Fires at the earliest deadline in the queue.
  TimerId expiry_timer = 0;
  TimePoint expiry_due{};
};

/// Returns the lowest median latency among the replicas; zero if unknown.
Duration TypicalLatency(const ReplicaSet& set);

/// Returns the time until a request that joins the queue finds a place, from
/// the rate at which the replicas answered so far.
Duration ExpectedWait(const ReplicaSet& set, TimePoint now);

}  // namespace chicoryvale

#endif  // CHICORYVALE_SRC_UPSTREAM_REPLICA_SET_H_
