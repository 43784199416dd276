#ifndef CHICORYVALE_SRC_ROUTING_ROUTE_TABLE_H_
#define CHICORYVALE_SRC_ROUTING_ROUTE_TABLE_H_

#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>

#include "routing/routing_config.h"

namespace chicoryvale {

/// Finds the route of a request and the workspace of a key. Immutable and
/// therefore thread safe.
class RouteTable {
 public:
  explicit RouteTable(std::shared_ptr<const RoutingConfig> config);

  /// Returns the route of `host` with the longest prefix that `path` starts
  /// with, or nullptr. Letters are compared without case. Routes with the port
  /// of `host` come first; a route without a port matches any.
  [[nodiscard]] const Route* Find(std::string_view host,
                                  std::string_view path) const;

  /// Returns the workspace that holds `key`, or nullptr. Takes constant time.
  [[nodiscard]] const Workspace* FindWorkspace(std::string_view key) const;

  [[nodiscard]] const std::shared_ptr<const RoutingConfig>& Config() const {
    return m_config;
  }

 private:
  using RoutesByPrefix = std::map<std::string_view, const Route*>;

  /// Like Find, among the routes whose host is exactly `host`, in lower case.
  [[nodiscard]] const Route* FindAtHost(const std::string& host,
                                        std::string_view path) const;

  std::shared_ptr<const RoutingConfig> m_config;
  std::unordered_map<std::string, RoutesByPrefix> m_routes_by_host;
  std::unordered_map<std::string_view, const Workspace*> m_workspace_by_key;
};

}  // namespace chicoryvale

#endif  // CHICORYVALE_SRC_ROUTING_ROUTE_TABLE_H_
