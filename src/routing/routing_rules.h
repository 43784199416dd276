#ifndef CHICORYVALE_SRC_ROUTING_ROUTING_RULES_H_
#define CHICORYVALE_SRC_ROUTING_ROUTING_RULES_H_

#include <optional>
#include <string>

#include "routing/routing_config.h"

namespace chicoryvale {

/// Checks `config`. Returns a readable description of its first error, or
/// nothing if the configuration is valid. Errors are a version of 0; a route
/// without a host, with a path prefix that does not begin and end with a slash,
/// with a timeout or a maximum number of attempts of 0, without a service, with
/// an unknown service, with both shards and services, with weights that add up
/// to 0 or with a minimum share of shards outside 0 to 1; two routes with the
/// same host and path prefix; a shard or a service that is listed twice; a
/// service without a name. Thread safe.
std::optional<std::string> FindRoutingConfigError(const RoutingConfig& config);

}  // namespace chicoryvale

#endif  // CHICORYVALE_SRC_ROUTING_ROUTING_RULES_H_
