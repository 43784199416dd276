#include "routing/route_table.h"

#include <utility>

#include "routing/host_name.h"

namespace chicoryvale {
namespace {

/// The port that a host without one stands for.
constexpr char kDefaultPort[] = ":80";

}  // namespace

RouteTable::RouteTable(std::shared_ptr<const RoutingConfig> config)
    : m_config(std::move(config)) {
  for (const Route& route : m_config->routes) {
    m_routes_by_host[LowerCaseHost(route.host)].emplace(route.path_prefix,
                                                        &route);
  }
  if (!m_config->workspaces) return;
  for (const Workspace& workspace : *m_config->workspaces) {
    for (const std::string& key : workspace.keys) {
      m_workspace_by_key.emplace(key, &workspace);
    }
  }
}

const Workspace* RouteTable::FindWorkspace(std::string_view key) const {
  const auto found = m_workspace_by_key.find(key);
  return found == m_workspace_by_key.end() ? nullptr : found->second;
}

const Route* RouteTable::Find(std::string_view host,
                              std::string_view path) const {
  const std::string key = LowerCaseHost(host);
  const std::string bare_host(HostWithoutPort(key));
  if (const Route* route = FindAtHost(key, path)) return route;
  return FindAtHost(bare_host == key ? key + kDefaultPort : bare_host, path);
}

const Route* RouteTable::FindAtHost(const std::string& host,
                                    std::string_view path) const {
  const auto routes = m_routes_by_host.find(host);
  if (routes == m_routes_by_host.end()) return nullptr;
  // Every configured prefix ends with a slash, so only the prefixes of the path
  // that end with a slash are looked up.
  std::size_t end = path.rfind('/');
  while (end != std::string_view::npos) {
    const auto route = routes->second.find(path.substr(0, end + 1));
    if (route != routes->second.end()) return route->second;
    if (end == 0) break;
    end = path.rfind('/', end - 1);
  }
  return nullptr;
}

}  // namespace chicoryvale
