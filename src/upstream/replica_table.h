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

/// The replicas and replica sets of the present configuration. Replicas that
/// stay placed keep their state. Not thread safe.
class ReplicaTable {
 public:
  /// `availability` must outlive the object.
  ReplicaTable(const ReplicaTableSettings& settings,
               AvailabilityTracker* availability);

  /// Takes `config` into use at `now` and returns the sets that it no longer
  /// has; requests may still wait in them.
  std::vector<std::shared_ptr<ReplicaSet>> Apply(const ClusterConfig& config,
                                                 TimePoint now);

  /// Sets the share of connections, then and for replicas placed later. Before
  /// the first call each replica's whole limit is used.
  void SetShare(const ConnectionShare& share);

  /// Returns the replicas of a shard, or nullptr if it is not placed.
  [[nodiscard]] const std::shared_ptr<ReplicaSet>* Find(
      const std::string& service, ShardId shard) const;

  /// Returns a replica, or nullptr if it is neither placed nor in use.
  [[nodiscard]] Replica* FindReplica(const Address& address);

  /// Drops `replica` if it is neither placed nor in use.
  void Release(Replica* replica);

  /// Calls `visitor` for each replica.
  template <typename Visitor>
  void Visit(Visitor visitor) {
    for (auto& [host_port, replica] : m_replicas) visitor(replica.get());
  }

 private:
  using Shards = std::vector<std::shared_ptr<ReplicaSet>>;

  void PlaceShard(const ShardConfig& shard, const ReplicaLimits& limits,
                  ReplicaSet* set, TimePoint now);
  Replica* Place(const ReplicaConfig& config, const ReplicaLimits& limits,
                 TimePoint now);
  void ApplyShare(Replica* replica) const;
  void ReleaseUnplaced();

  ReplicaTableSettings m_settings;
  AvailabilityTracker* m_availability;
  bool m_configured = false;
  std::optional<ConnectionShare> m_share;
  /// By availability zone.
  std::unordered_map<std::string, PathMonitor> m_paths;
  std::unordered_map<std::string, std::unique_ptr<Replica>> m_replicas;
  std::unordered_map<std::string, Shards> m_services;
};

}  // namespace chicoryvale

#endif  // CHICORYVALE_SRC_UPSTREAM_REPLICA_TABLE_H_
