#ifndef CHICORYVALE_SRC_UPSTREAM_REPLICA_TABLE_H_
#define CHICORYVALE_SRC_UPSTREAM_REPLICA_TABLE_H_

#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "base/ids.h"
#include "base/time.h"
#include "config/cluster_config.h"
#include "upstream/availability_tracker.h"
#include "upstream/connection_share.h"
#include "upstream/replica_set.h"
#include "upstream/replica_state.h"

namespace chicoryvale {

/// Settings of a ReplicaTable.
struct ReplicaTableSettings {
  std::string availability_zone;
  std::size_t queue_capacity = 256;
  ReplicaSettings replica;
  ConcurrencyLimitSettings limit;
  ConnectionMonitorSettings monitor;
};

/// The replicas and replica sets of the current configuration. Replicas that
/// stay in the configuration keep their state. Not thread safe.
class ReplicaTable {
 public:
  /// `availability` must outlive the object.
  ReplicaTable(const ReplicaTableSettings& settings,
               AvailabilityTracker* availability);

  /// Applies `config` at `now` and returns the sets that it no longer contains;
  /// attempts may still be queued in them.
  std::vector<std::shared_ptr<ReplicaSet>> Apply(const ClusterConfig& config,
                                                 TimePoint now);

  /// Sets the connection share for all replicas, including those added later.
  /// Before the first call this process uses the whole limit of each replica.
  void SetShare(const ConnectionShare& share);

  /// Returns the replicas of a shard, or nullptr if the configuration does not
  /// contain the shard.
  [[nodiscard]] const std::shared_ptr<ReplicaSet>* Find(
      const std::string& service, ShardId shard) const;

  /// Returns a replica, or nullptr if it is neither in the configuration nor
  /// has attempts in flight.
  [[nodiscard]] Replica* FindReplica(const Address& address);

  /// Deletes `replica` if it is neither in the configuration nor has attempts
  /// in flight.
  void Release(Replica* replica);

  /// Calls `visitor` for each replica.
  template <typename Visitor>
  void Visit(Visitor visitor) {
    for (auto& [host_port, replica] : m_replicas) visitor(replica.get());
  }

 private:
  using Shards = std::vector<std::shared_ptr<ReplicaSet>>;

  void UpdateShard(const ShardConfig& shard, const ReplicaLimits& limits,
                   ReplicaSet* set, TimePoint now);
  Replica* AddReplica(const ReplicaConfig& config, const ReplicaLimits& limits,
                      TimePoint now);
  void ApplyShare(Replica* replica) const;
  void ReleaseRemoved();

  ReplicaTableSettings m_settings;
  AvailabilityTracker* m_availability;
  bool m_configured = false;
  std::optional<ConnectionShare> m_share;
  /// One for each availability zone; the key is its name.
  std::unordered_map<std::string, PathMonitor> m_paths;
  std::unordered_map<std::string, std::unique_ptr<Replica>> m_replicas;
  std::unordered_map<std::string, Shards> m_services;
};

}  // namespace chicoryvale

#endif  // CHICORYVALE_SRC_UPSTREAM_REPLICA_TABLE_H_
