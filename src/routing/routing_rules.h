#ifndef CHICORYVALE_SRC_ROUTING_ROUTING_RULES_H_
#define CHICORYVALE_SRC_ROUTING_ROUTING_RULES_H_

#include <optional>
#include <string>

#include "routing/routing_config.h"

namespace chicoryvale {

/// Returns why `config` cannot take force, for a person, or nothing if it can:
/// a version of 0; a route without a host, with a prefix that does not begin
/// and end with a slash, with a timeout of 0, without a service, with an
/// unknown one or with weights that add up to 0; two routes of one host and
/// prefix; a shard named twice. Thread safe.
std::optional<std::string> FindRoutingConfigError(const RoutingConfig& config);

}  // namespace chicoryvale

#endif  // CHICORYVALE_SRC_ROUTING_ROUTING_RULES_H_
