#include "routing/routing_rules.h"

#include <algorithm>
#include <numeric>
#include <set>
#include <string_view>
#include <utility>

namespace chicoryvale {
namespace {

using Fault = std::optional<std::string>;
using NameSet = std::set<std::string_view>;

Fault FindSplitFault(const Route& route, const NameSet& services) {
  const auto unknown = std::ranges::find_if(
      route.services, [&services](const WeightedService& part) {
        return !services.contains(part.name);
      });
  if (unknown != route.services.end()) {
    return "service \"" + unknown->name + "\" is unknown";
  }
  const std::uint64_t weights = std::accumulate(
      route.services.begin(), route.services.end(), std::uint64_t{0},
      [](std::uint64_t sum, const WeightedService& part) {
        return sum + part.weight;
      });
  if (weights == 0) return "its weights add up to 0";
  return std::nullopt;
}

Fault FindScatterFault(const ScatterRule& scatter, const NameSet& services) {
  NameSet seen;
  for (const std::string& shard : scatter.shards) {
    if (!services.contains(shard)) return "shard \"" + shard + "\" is unknown";
    if (!seen.insert(shard).second) {
      return "shard \"" + shard + "\" is named twice";
    }
  }
  const bool share_fits =
      scatter.min_coverage >= 0 && scatter.min_coverage <= 1;
  if (!share_fits) return "its least share of shards is not from 0 to 1";
  return std::nullopt;
}

Fault FindRouteFault(const Route& route, const NameSet& services) {
  if (route.host.empty()) return "it has no host";
  const std::string& prefix = route.path_prefix;
  const bool slashes =
      !prefix.empty() && prefix.front() == '/' && prefix.back() == '/';
  if (!slashes) return "its path prefix does not begin and end with a slash";
  if (route.timeout <= Duration::zero()) return "its timeout is 0";
  if (route.max_attempts == 0) return "it allows no attempt";
  if (!route.IsScattered()) return FindSplitFault(route, services);
  if (!route.services.empty()) return "it names both shards and services";
  return FindScatterFault(route.scatter, services);
}

}  // namespace

std::optional<std::string> FindRoutingConfigError(const RoutingConfig& config) {
  if (config.version == 0) return "the version is 0";
  NameSet services;
  for (const RoutedService& service : config.services) {
    if (service.name.empty()) return "a service has no name";
    if (!services.insert(service.name).second) {
      return "service \"" + service.name + "\" is listed twice";
    }
  }
  std::set<std::pair<std::string_view, std::string_view>> places;
  for (const Route& route : config.routes) {
    if (Fault fault = FindRouteFault(route, services)) {
      return "route \"" + route.name + "\": " + *fault;
    }
    if (!places.emplace(route.host, route.path_prefix).second) {
      return "route \"" + route.name +
             "\": another route has its host and path prefix";
    }
  }
  return std::nullopt;
}

}  // namespace chicoryvale
