#include "routing/route_table.h"

#include <algorithm>
#include <cctype>
#include <utility>

namespace chicoryvale {
namespace {

std::string HostKey(std::string_view host) {
  // A bracketed IPv6 address contains colons that do not precede a port.
  const std::size_t bracket = host.rfind(']');
  const std::size_t colon = host.rfind(':');
  const bool has_port = colon != std::string_view::npos &&
                        (bracket == std::string_view::npos || colon > bracket);
  std::string key(has_port ? host.substr(0, colon) : host);
  std::ranges::transform(key, key.begin(), [](unsigned char character) {
    return static_cast<char>(std::tolower(character));
  });
  return key;
}

}  // namespace

RouteTable::RouteTable(std::shared_ptr<const RoutingConfig> config)
    : m_config(std::move(config)) {
  for (const Route& route : m_config->routes) {
    m_routes_by_host[HostKey(route.host)].emplace(route.path_prefix, &route);
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
  const auto routes = m_routes_by_host.find(HostKey(host));
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
