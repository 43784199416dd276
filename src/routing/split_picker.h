#ifndef CHICORYVALE_SRC_ROUTING_SPLIT_PICKER_H_
#define CHICORYVALE_SRC_ROUTING_SPLIT_PICKER_H_

#include <cstdint>
#include <string>
#include <unordered_map>
#include <vector>

#include "routing/routing_config.h"

namespace chicoryvale {

/// Picks the service of each request from those in the traffic split of its
/// route, by smooth weighted round robin: over any sequence of requests, each
/// service gets a share close to its weight. The sequence starts at a random
/// point so that entries do not pick the same services at the same time. Not
/// thread safe.
class SplitPicker {
 public:
  explicit SplitPicker(std::uint64_t seed) : m_seed(seed) {}

  /// Clears the state of all routes, for a new configuration.
  void Reset() { m_credits.clear(); }

  /// Returns the service for the next request of `route`. Precondition: at
  /// least one service of the route has a weight above 0.
  const std::string& Pick(const Route& route);

 private:
  std::uint64_t m_seed;
  /// Round-robin credits of the services of a route, by name of the route.
  std::unordered_map<std::string, std::vector<std::int64_t>> m_credits;
};

}  // namespace chicoryvale

#endif  // CHICORYVALE_SRC_ROUTING_SPLIT_PICKER_H_
