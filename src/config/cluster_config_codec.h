#ifndef CHICORYVALE_SRC_CONFIG_CLUSTER_CONFIG_CODEC_H_
#define CHICORYVALE_SRC_CONFIG_CLUSTER_CONFIG_CODEC_H_

// Serialization of the configuration types, for messages that contain them.

#include <cstdint>

#include "base/codec.h"
#include "base/ids_codec.h"
#include "config/cluster_config.h"

namespace chicoryvale {

template <class Archive>
void serialize(Archive& archive,
               ReplicaConfig& value) {  // NOLINT(readability-identifier-naming)
  archive(value.address, value.availability_zone, value.draining);
}

template <class Archive>
void serialize(Archive& archive,
               ShardConfig& value) {  // NOLINT(readability-identifier-naming)
  archive(value.replicas);
}

template <class Archive>
void serialize(Archive& archive,
               ReplicaLimits& value) {  // NOLINT(readability-identifier-naming)
  archive(value.slots, value.connections);
}

template <class Archive>
void serialize(Archive& archive,
               ServiceConfig& value) {  // NOLINT(readability-identifier-naming)
  archive(value.name, value.map_epoch, value.index_version, value.limits,
          value.shards, value.quarantined);
}

template <class Archive>
void serialize(
    Archive& archive,
    RoutingDocument& value) {  // NOLINT(readability-identifier-naming)
  archive(value.version, value.text);
}

/// Set in the encoded version of a configuration if evacuated zones follow.
/// Without any, the bytes are those of builds that don't know evacuations.
inline constexpr std::uint64_t kHasEvacuatedZones = std::uint64_t{1} << 63U;

// NOLINTBEGIN(readability-identifier-naming)
template <class Archive>
void save(Archive& archive, const ClusterConfig& value) {
  const bool has_evacuated_zones = !value.evacuated_zones.empty();
  archive(value.version | (has_evacuated_zones ? kHasEvacuatedZones : 0),
          value.schema_text, value.services, value.routing);
  if (has_evacuated_zones) archive(value.evacuated_zones);
}

template <class Archive>
void load(Archive& archive, ClusterConfig& value) {
  archive(value.version, value.schema_text, value.services, value.routing);
  const bool has_evacuated_zones = (value.version & kHasEvacuatedZones) != 0;
  value.version &= ~kHasEvacuatedZones;
  value.evacuated_zones.clear();
  if (has_evacuated_zones) archive(value.evacuated_zones);
}
// NOLINTEND(readability-identifier-naming)

}  // namespace chicoryvale

#endif  // CHICORYVALE_SRC_CONFIG_CLUSTER_CONFIG_CODEC_H_
