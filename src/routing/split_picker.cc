#include "routing/split_picker.h"

#include <algorithm>
#include <cassert>
#include <iterator>
#include <random>

#include "base/hash.h"

namespace chicoryvale {

SplitPicker::Split& SplitPicker::SplitOf(const Route& route) {
  Split& split = m_splits[{route.host, route.path_prefix}];
  if (split.services == route.services) return split;
  split.services = route.services;
  split.credits.clear();
  std::mt19937_64 random(m_seed ^
                         HashBytes(route.path_prefix, HashBytes(route.host)));
  std::ranges::transform(split.services, std::back_inserter(split.credits),
                         [&random](const WeightedService& service) {
                           return std::uniform_int_distribution<std::int64_t>(
                               0, service.weight)(random);
                         });
  return split;
}

const std::string& SplitPicker::Pick(const Route& route) {
  assert(!route.services.empty());
  if (route.services.size() == 1) return route.services.front().name;
  std::vector<std::int64_t>& credits = SplitOf(route).credits;
  std::int64_t total = 0;
  for (std::size_t i = 0; i < credits.size(); ++i) {
    credits[i] += route.services[i].weight;
    total += route.services[i].weight;
  }
  std::size_t best = 0;
  for (std::size_t i = 0; i < credits.size(); ++i) {
    const bool weighted = route.services[i].weight > 0;
    const bool best_weighted = route.services[best].weight > 0;
    if (weighted && (!best_weighted || credits[i] > credits[best])) best = i;
  }
  credits[best] -= total;
  return route.services[best].name;
}

}  // namespace chicoryvale
