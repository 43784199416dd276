#ifndef CHICORYVALE_SRC_ROUTING_ROUTER_H_
#define CHICORYVALE_SRC_ROUTING_ROUTER_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "base/counters.h"
#include "routing/route_table.h"
#include "routing/routed_query.h"
#include "routing/split_picker.h"

namespace chicoryvale {

/// A caller's request with what decides about it.
struct RoutedRequest {
  std::shared_ptr<const OpaqueRequest> request;
  std::string host;
  std::string path;
  /// Time that the caller waits; absent if it does not say.
  std::optional<Duration> time_left;
};

/// Takes the requests of callers: finds the route, draws the service, and runs
/// a query. Not thread safe.
class Router {
 public:
  using Callback = std::function<void(RoutedAnswer answer)>;

  Router(const RoutingContext& parts, std::uint64_t seed)
      : m_parts(parts), m_splits(seed) {}

  /// Puts `config` in force for the requests that follow. False, without
  /// effect, if its version is not higher than that of the one in force.
  bool SetConfig(std::shared_ptr<const RoutingConfig> config);

  [[nodiscard]] std::uint64_t ConfigVersion() const;

  /// Handles a request; calls `callback` once, unless it is cancelled. Returns
  /// the query's number, or 0 if it has ended already.
  std::uint64_t Handle(const RoutedRequest& request, Callback callback);

  /// Ends a query whose caller has gone. Does nothing if it has ended.
  void CancelOnDisconnect(std::uint64_t query);

  [[nodiscard]] std::size_t InFlight() const { return m_queries.size(); }

 private:
  void Refuse(const RoutedRequest& request, RoutingCounter counter,
              const Error& error, Duration retry_after,
              const Callback& callback);

  RoutingContext m_parts;
  SplitPicker m_splits;
  std::unique_ptr<RouteTable> m_table;
  std::uint64_t m_last_query = 0;
  std::unordered_map<std::uint64_t, std::unique_ptr<RoutedQuery>> m_queries;
};

}  // namespace chicoryvale

#endif  // CHICORYVALE_SRC_ROUTING_ROUTER_H_
