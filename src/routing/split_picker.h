#ifndef CHICORYVALE_SRC_ROUTING_SPLIT_PICKER_H_
#define CHICORYVALE_SRC_ROUTING_SPLIT_PICKER_H_

#include <cstdint>
#include <string>
#include <unordered_map>
#include <vector>

#include "routing/routing_config.h"

namespace chicoryvale {

/// Draws the service of a request among those that its route is split over, so
/// that each gets its weight's share over any stretch of requests: smooth
/// weighted round robin, begun at a random place so that entries differ. Not
/// thread safe.
class SplitPicker {
 public:
  explicit SplitPicker(std::uint64_t seed) : m_seed(seed) {}

  /// Forgets all routes, for a new configuration.
  void Reset() { m_credits.clear(); }

  /// Returns the service for the next request of `route`, which has at least
  /// one with a weight.
  const std::string& Pick(const Route& route);

 private:
  std::uint64_t m_seed;
  /// What each service of a route is owed, by the route's name.
  std::unordered_map<std::string, std::vector<std::int64_t>> m_credits;
};

}  // namespace chicoryvale

#endif  // CHICORYVALE_SRC_ROUTING_SPLIT_PICKER_H_
