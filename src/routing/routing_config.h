#ifndef CHICORYVALE_SRC_ROUTING_ROUTING_CONFIG_H_
#define CHICORYVALE_SRC_ROUTING_ROUTING_CONFIG_H_

// Configuration of routed requests: opaque requests that are forwarded by host
// and path. The schema describes the other kind of request, queries.

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "base/time.h"

namespace chicoryvale {

/// A service and its weight in the traffic split of a route.
struct WeightedService {
  std::string name;
  std::uint32_t weight = 1;
  bool operator==(const WeightedService&) const = default;
};

/// How the answers of the shards of a scattered route are merged.
struct ScatterRule {
  /// The service of each shard.
  std::vector<std::string> shards;
  /// Maximum number of records in a merged answer.
  std::uint32_t rank_limit = 0;
  /// Minimum share of the shards in an answer, from 0 to 1.
  double min_coverage = 0;
  bool operator==(const ScatterRule&) const = default;
};

/// One route: the requests that it matches and how they are handled.
struct Route {
  std::string name;
  std::string host;
  /// Begins and ends with a slash.
  std::string path_prefix;
  /// Whether a request may run more than once.
  bool idempotent = false;
  /// Maximum time from the arrival of a request to its final answer.
  Duration timeout{};
  /// Time within which an answer has its full value for the caller.
  Duration target_latency{};
  /// 0 is the most urgent.
  std::uint32_t priority = 0;
  /// Maximum number of replicas that may run a request; for a scattered route,
  /// for each shard.
  std::uint32_t max_attempts = 1;
  /// Services over which requests are split; empty for a scattered route.
  std::vector<WeightedService> services;
  /// Its `shards` are empty unless the route is scattered.
  ScatterRule scatter;
  /// Whether requests need no key although the configuration has workspaces.
  bool is_public = false;

  [[nodiscard]] bool IsScattered() const { return !scatter.shards.empty(); }
  bool operator==(const Route&) const = default;
};

/// A service that routes refer to.
struct RoutedService {
  std::string name;
  std::string health_path;
  /// Maximum number of connections that each replica accepts from all entries
  /// together.
  std::uint32_t max_connections = 0;
  /// Time for which a replica is cold after its start.
  Duration warmup{};
  /// Maximum requests a second that a cold replica gets from all entries
  /// together; 0 for no limit.
  double max_warmup_requests_per_s = 0;
  bool operator==(const RoutedService&) const = default;
};

/// Limits on the size of a request and on how long a caller may take to send it
/// or stay idle.
struct CallerLimits {
  std::uint32_t max_header_bytes = 16 * 1024;
  std::uint64_t max_body_bytes = std::uint64_t{256} * 1024;
  Duration header_timeout = seconds(3);
  Duration idle_timeout = seconds(15);
  bool operator==(const CallerLimits&) const = default;
};

/// A workspace, whose callers identify themselves by a key.
struct Workspace {
  std::string name;
  std::vector<std::string> keys;
  /// Replaces the priority of the route.
  std::optional<std::uint32_t> priority;
  /// Maximum requests a second from all callers of the workspace, at all
  /// entries together; 0 for no limit.
  double max_requests_per_s = 0;
  /// Requests that the workspace may send at once beyond that rate.
  double burst = 0;
  bool operator==(const Workspace&) const = default;
};

/// A complete configuration of routed requests.
struct RoutingConfig {
  std::uint64_t version = 0;
  std::vector<Route> routes;
  std::vector<RoutedService> services;
  CallerLimits limits;
  /// If present, a request needs the key of a workspace unless its route is
  /// public.
  std::optional<std::vector<Workspace>> workspaces;
  bool operator==(const RoutingConfig&) const = default;
};

}  // namespace chicoryvale

#endif  // CHICORYVALE_SRC_ROUTING_ROUTING_CONFIG_H_
