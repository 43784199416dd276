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
  /// Set by an operator. A draining replica gets no new work.
  bool draining = false;
  bool operator==(const ReplicaConfig&) const = default;
};

/// The replicas of one shard.
struct ShardConfig {
  std::vector<ReplicaConfig> replicas;
  bool operator==(const ShardConfig&) const = default;
};

/// Limits that each replica of a service enforces: concurrent requests
/// (`slots`) and connections.
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

/// The whole configuration of routed requests, as operators sent it. The
/// replicated log does not parse its text.
struct RoutingDocument {
  /// Assigned by the operators. The document with the highest version is in
  /// force. 0 if there is none.
  std::uint64_t version = 0;
  std::string text;
  bool operator==(const RoutingDocument&) const = default;
};

/// One accepted configuration. `version` is 0 before the first change and
/// increases by one with each accepted change, except one that is accepted
/// without effect.
struct ClusterConfig {
  std::uint64_t version = 0;
  std::string schema_text;
  std::vector<ServiceConfig> services;
  RoutingDocument routing;
  /// Availability zones whose replicas get no requests, in ascending order.
  std::vector<std::string> evacuated_zones;
  bool operator==(const ClusterConfig&) const = default;
};

/// Returns the service with the name `name`, or nullptr if there is none.
const ServiceConfig* FindService(const ClusterConfig& config,
                                 const std::string& name);

/// Serializes `config`. Equal configurations give equal bytes.
std::string EncodeConfig(const ClusterConfig& config);

/// Parses the bytes of EncodeConfig into `config`. Returns false if the bytes
/// are damaged. Container sizes are bounded by the length of `bytes`.
bool DecodeConfig(const std::string& bytes, ClusterConfig* config);

/// Returns a 64-bit hash of EncodeConfig(config).
std::uint64_t HashConfig(const ClusterConfig& config);

}  // namespace chicoryvale

#endif  // CHICORYVALE_SRC_CONFIG_CLUSTER_CONFIG_H_
