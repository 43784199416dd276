#ifndef CHICORYVALE_SRC_ROUTING_ROUTING_CONFIG_H_
#define CHICORYVALE_SRC_ROUTING_ROUTING_CONFIG_H_

// The configuration of routed requests: opaque requests that are forwarded by
// host and path, beside the queries that the schema describes.

#include <cstdint>
#include <string>
#include <vector>

#include "base/time.h"

namespace chicoryvale {

/// A service and its part of a route's requests.
struct WeightedService {
  std::string name;
  std::uint32_t weight = 1;
};

/// What the shards of a scattered route are merged to.
struct ScatterRule {
  /// One service for each shard.
  std::vector<std::string> shards;
  /// Records in an answer, at most.
  std::uint32_t rank_limit = 0;
  /// Least share of the shards in an answer, from 0 to 1.
  double min_coverage = 0;
};

/// One route: which requests it takes and what becomes of them.
struct Route {
  std::string name;
  std::string host;
  /// Begins and ends with a slash.
  std::string path_prefix;
  /// Whether a request may run more than once.
  bool idempotent = false;
  /// Longest time in which a request has its final answer.
  Duration timeout{};
  /// Time in which an answer is of full use to its caller.
  Duration target_latency{};
  /// 0 is the most urgent.
  std::uint32_t priority = 0;
  /// Replicas that may run one request; for each shard of a scattered route.
  std::uint32_t max_attempts = 1;
  /// Services among which requests are split; empty for a scattered route.
  std::vector<WeightedService> services;
  /// Its `shards` are empty unless the route is scattered.
  ScatterRule scatter;

  [[nodiscard]] bool IsScattered() const { return !scatter.shards.empty(); }
};

/// A service that routes name.
struct RoutedService {
  std::string name;
  std::string health_path;
  /// Connections that each replica accepts from all entries together.
  std::uint32_t max_connections = 0;
};

/// What a caller may send, and how long it may take or stay idle.
struct CallerLimits {
  std::uint32_t max_header_bytes = 16 * 1024;
  std::uint64_t max_body_bytes = std::uint64_t{256} * 1024;
  Duration header_timeout = seconds(3);
  Duration idle_timeout = seconds(15);
};

/// A whole configuration of routed requests.
struct RoutingConfig {
  std::uint64_t version = 0;
  std::vector<Route> routes;
  std::vector<RoutedService> services;
  CallerLimits limits;
};

}  // namespace chicoryvale

#endif  // CHICORYVALE_SRC_ROUTING_ROUTING_CONFIG_H_
