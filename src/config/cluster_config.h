#ifndef CHICORYVALE_SRC_CONFIG_CLUSTER_CONFIG_H_
#define CHICORYVALE_SRC_CONFIG_CLUSTER_CONFIG_H_

#include <cstdint>
#include <string>
#include <vector>

#include "base/ids.h"

namespace chicoryvale {

/// One replica of a shard, as operators placed it.
struct ReplicaConfig {
  Address address;
  std::string availability_zone;
  /// Set by an operator: takes no new work.
  bool draining = false;
  bool operator==(const ReplicaConfig&) const = default;
};

/// The replicas of one shard.
struct ShardConfig {
  std::vector<ReplicaConfig> replicas;
  bool operator==(const ShardConfig&) const = default;
};

/// Limits that each replica of a service sets.
struct ReplicaLimits {
  std::uint32_t slots = 2;
  std::uint32_t connections = 50;
  bool operator==(const ReplicaLimits&) const = default;
};

/// Placement and limits of one service; shards are indexed by ShardId.
struct ServiceConfig {
  std::string name;
  std::uint64_t map_epoch = 0;
  /// The newest index version that operators published.
  std::uint64_t index_version = 0;
  ReplicaLimits limits;
  std::vector<ShardConfig> shards;
  /// Fingerprints of requests that operators quarantined.
  std::vector<std::uint64_t> quarantined;
  bool operator==(const ServiceConfig&) const = default;
};

/// A whole configuration of routed requests, as operators sent it. The log and
/// its replicas do not look into it.
struct RoutingDocument {
  /// Given by the operators; the highest one is in force. 0 for none.
  std::uint64_t version = 0;
  std::string text;
  bool operator==(const RoutingDocument&) const = default;
};

/// One accepted configuration. `version` is 0 before the first change and
/// rises by one with each accepted change.
struct ClusterConfig {
  std::uint64_t version = 0;
  std::string schema_text;
  std::vector<ServiceConfig> services;
  RoutingDocument routing;
  bool operator==(const ClusterConfig&) const = default;
};

/// Returns the service called `name`, or nullptr.
const ServiceConfig* FindService(const ClusterConfig& config,
                                 const std::string& name);

/// Returns the bytes of `config`, equal for equal configurations.
std::string EncodeConfig(const ClusterConfig& config);

/// Decodes the bytes of EncodeConfig; false if they are damaged. Container
/// sizes are bounded by the length of `bytes`.
bool DecodeConfig(const std::string& bytes, ClusterConfig* config);

/// Returns a 64-bit hash of EncodeConfig(config).
std::uint64_t HashConfig(const ClusterConfig& config);

}  // namespace chicoryvale

#endif  // CHICORYVALE_SRC_CONFIG_CLUSTER_CONFIG_H_
