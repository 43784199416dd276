#include "routing/routing_rules.h"

#include <algorithm>
#include <numeric>
#include <set>
#include <string_view>
#include <utility>

#include "routing/host_name.h"

namespace chicoryvale {
namespace {

using ConfigError = std::optional<std::string>;
using NameSet = std::set<std::string_view>;

ConfigError FindSplitError(const Route& route, const NameSet& services) {
  const auto unknown = std::ranges::find_if(
      route.services, [&services](const WeightedService& service) {
        return !services.contains(service.name);
      });
  if (unknown != route.services.end()) {
    return "service \"" + unknown->name + "\" is unknown";
  }
  const std::uint64_t weights = std::accumulate(
      route.services.begin(), route.services.end(), std::uint64_t{0},
      [](std::uint64_t sum, const WeightedService& service) {
        return sum + service.weight;
      });
  if (weights == 0) return "its weights add up to 0";
  return std::nullopt;
}

ConfigError FindScatterError(const ScatterRule& scatter,
                             const NameSet& services) {
  NameSet seen_shards;
  for (const std::string& shard : scatter.shards) {
    if (!services.contains(shard)) return "shard \"" + shard + "\" is unknown";
    if (!seen_shards.insert(shard).second) {
      return "shard \"" + shard + "\" is named twice";
    }
  }
  const bool in_range = scatter.min_coverage >= 0 && scatter.min_coverage <= 1;
  if (!in_range) return "its minimum share of shards is not from 0 to 1";
  return std::nullopt;
}

ConfigError FindRouteError(const Route& route, const NameSet& services) {
  if (route.host.empty()) return "it has no host";
  const std::string& prefix = route.path_prefix;
  const bool has_slashes =
      !prefix.empty() && prefix.front() == '/' && prefix.back() == '/';
  if (!has_slashes) return "its path prefix must begin and end with a slash";
  if (route.timeout <= Duration::zero()) return "its timeout is 0";
  if (route.max_attempts == 0) return "it allows no attempts";
  if (!route.IsScattered()) return FindSplitError(route, services);
  if (!route.services.empty()) return "it names both shards and services";
  return FindScatterError(route.scatter, services);
}

// Returns whether `text` can be a header value that needs no quoting.
bool IsVisibleAscii(std::string_view text) {
  return std::ranges::all_of(
      text, [](char character) { return character > ' ' && character <= '~'; });
}

// The errors name the workspace but never a key, because keys are secrets.
ConfigError FindKeyError(const Workspace& workspace, NameSet* seen_keys) {
  for (const std::string& key : workspace.keys) {
    if (key.empty() || !IsVisibleAscii(key)) {
      return "a key is empty or contains characters other than visible ASCII";
    }
    if (!seen_keys->insert(key).second) {
      return "one of its keys occurs more than once";
    }
  }
  return std::nullopt;
}

ConfigError FindWorkspaceError(const std::vector<Workspace>& workspaces) {
  NameSet names;
  NameSet keys;
  for (const Workspace& workspace : workspaces) {
    if (workspace.name.empty() || !IsVisibleAscii(workspace.name)) {
      return "a workspace has no name, or one that contains characters other "
             "than visible ASCII";
    }
    if (!names.insert(workspace.name).second) {
      return "workspace \"" + workspace.name + "\" is listed twice";
    }
    if (ConfigError error = FindKeyError(workspace, &keys)) {
      return "workspace \"" + workspace.name + "\": " + *error;
    }
  }
  return std::nullopt;
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
  std::set<std::pair<std::string, std::string_view>> host_prefixes;
  for (const Route& route : config.routes) {
    if (ConfigError error = FindRouteError(route, services)) {
      return "route \"" + route.name + "\": " + *error;
    }
    if (!host_prefixes.emplace(LowerCaseHost(route.host), route.path_prefix)
             .second) {
      return "route \"" + route.name +
             "\": another route has the same host and path prefix";
    }
  }
  if (config.workspaces) return FindWorkspaceError(*config.workspaces);
  return std::nullopt;
}

}  // namespace chicoryvale
