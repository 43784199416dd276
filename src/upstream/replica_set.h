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

/// A replica, and the replica sets whose queued attempts may use it.
struct Replica {
  Replica(ReplicaState replica_state, ConnectionMonitor connection_monitor)
      : state(std::move(replica_state)), monitor(connection_monitor) {}

  ReplicaState state;
  ConnectionMonitor monitor;
  /// The lowest limits that any service configures for this replica.
  ReplicaLimits limits;
  /// The connections that this process may have open to it.
  ConnectionBudget budget;
  /// Whether the current configuration contains the replica.
  bool in_config = false;
  /// When a connection was last lost during an attempt; reset by the answer to
  /// an attempt that was sent later.
  std::optional<TimePoint> connection_lost_at;
  /// Sets that have queued attempts; the first one is served next.
  std::vector<std::shared_ptr<ReplicaSet>> waiting_sets;
};

/// The replicas of one shard, and the attempts queued for one of them.
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

/// Returns the lowest median latency of the replicas; zero if none is known.
Duration TypicalLatency(const ReplicaSet& set);

/// Returns the expected time that a new attempt waits in the queue, computed
/// from the replicas' concurrency limits and median latencies. Zero if no
/// latency is known.
Duration ExpectedWait(const ReplicaSet& set, TimePoint now);

}  // namespace chicoryvale

#endif  // CHICORYVALE_SRC_UPSTREAM_REPLICA_SET_H_
