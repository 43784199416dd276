#ifndef CHICORYVALE_SRC_CONFIG_CHANGE_RULES_H_
#define CHICORYVALE_SRC_CONFIG_CHANGE_RULES_H_

#include <cstddef>
#include <optional>
#include <string>

#include "config/change.h"
#include "config/cluster_config.h"

namespace chicoryvale {

class SchemaRules;

/// Bounds of one configuration.
inline constexpr std::size_t kMaxServiceNameBytes = 256;
inline constexpr std::size_t kMaxSchemaBytes = std::size_t{1} << 20;

/// Largest accepted configuration of routes.
inline constexpr std::size_t kMaxRoutingDocumentBytes = std::size_t{1} << 20;
inline constexpr std::size_t kMaxServices = 4096;
inline constexpr std::size_t kMaxShards = 65536;
inline constexpr std::size_t kMaxReplicasPerShard = 256;
inline constexpr std::size_t kMaxQuarantined = 4096;

/// Returns why `change` may not be applied to `config`, or nothing. Depends on
/// its arguments alone; the versions are not compared. `rules` may be null,
/// then the schema itself is not judged. Thread safe.
std::optional<std::string> FindFault(const ClusterConfig& config,
                                     const Change& change,
                                     const SchemaRules* rules);

/// Applies the payload of `change` to `config`, whose version is left alone.
/// Precondition: FindFault returned nothing for both. Thread safe.
void ApplyPayload(const Change& change, ClusterConfig* config);

}  // namespace chicoryvale

#endif  // CHICORYVALE_SRC_CONFIG_CHANGE_RULES_H_
