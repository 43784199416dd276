#ifndef CHICORYVALE_SRC_CONFIG_CHANGE_RULES_H_
#define CHICORYVALE_SRC_CONFIG_CHANGE_RULES_H_

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

#include "config/change.h"
#include "config/cluster_config.h"

namespace chicoryvale {

class SchemaRules;

/// Maximum size of a service name and of the text of the schema.
inline constexpr std::size_t kMaxServiceNameBytes = 256;
inline constexpr std::size_t kMaxSchemaBytes = std::size_t{1} << 20;

/// Maximum size of the text of a routing document.
inline constexpr std::size_t kMaxRoutingDocumentBytes = std::size_t{1} << 20;

/// Maximum number of services, shards, replicas and quarantined fingerprints.
inline constexpr std::size_t kMaxServices = 4096;
inline constexpr std::size_t kMaxShardsPerService = 65536;
inline constexpr std::size_t kMaxReplicasPerShard = 256;
inline constexpr std::size_t kMaxQuarantinedPerService = 4096;

/// Maximum size of the name of an availability zone, and number of evacuated
/// ones.
inline constexpr std::size_t kMaxZoneNameBytes = 128;
inline constexpr std::size_t kMaxEvacuatedZones = 256;

/// Returns whether `name` can be the name of an availability zone. Thread safe.
bool IsZoneName(std::string_view name);

/// Returns whether `change` is accepted without effect, because `config` is so
/// already or has a newer document. Thread safe.
bool IsUnchangedBy(const ClusterConfig& config, const Change& change);

/// Returns whether `change` is accepted whatever its expected version is.
/// Thread safe.
bool IgnoresExpectedVersion(const Change& change);

/// Returns the reason why `change` may not be applied to `config`, or nullopt
/// if it may. The result depends only on the arguments; the versions are not
/// compared. If `rules` is null, the content of schemas is not checked and
/// placements are not compared with the schema. Thread safe.
std::optional<std::string> ValidateChange(const ClusterConfig& config,
                                          const Change& change,
                                          const SchemaRules* rules);

/// Applies the payload of `change` to `config` and leaves the version of
/// `config` as it is. Precondition: ValidateChange returned nullopt for
/// `config` and `change`. Thread safe.
void ApplyPayload(const Change& change, ClusterConfig* config);

}  // namespace chicoryvale

#endif  // CHICORYVALE_SRC_CONFIG_CHANGE_RULES_H_
