#ifndef CHICORYVALE_SRC_ROUTING_SPLIT_PICKER_H_
#define CHICORYVALE_SRC_ROUTING_SPLIT_PICKER_H_

#include <cstdint>
#include <map>
#include <string>
#include <utility>
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
  void Reset() { m_splits.clear(); }

  /// Returns the service for the next request of `route`. Precondition: at
  /// least one service of the route has a weight above 0.
  const std::string& Pick(const Route& route);

 private:
  /// The host and the path prefix of a route. Only these are unique within a
  /// configuration; several routes may have the same name.
  using RouteKey = std::pair<std::string, std::string>;

  /// Round-robin credits of the services of a route.
  struct Split {
    std::vector<WeightedService> services;
    std::vector<std::int64_t> credits;
  };

  /// Returns the split of `route`, which starts anew if its services differ
  /// from those of the last pick.
  Split& SplitOf(const Route& route);

  std::uint64_t m_seed;
  std::map<RouteKey, Split> m_splits;
};

}  // namespace chicoryvale

#endif  // CHICORYVALE_SRC_ROUTING_SPLIT_PICKER_H_
