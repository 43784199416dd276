#ifndef CHICORYVALE_SRC_CONFIG_CLUSTER_CONFIG_CODEC_H_
#define CHICORYVALE_SRC_CONFIG_CLUSTER_CONFIG_CODEC_H_

// Serialization of the configuration types, for messages that contain them.

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

template <class Archive>
void serialize(Archive& archive,
               ClusterConfig& value) {  // NOLINT(readability-identifier-naming)
  archive(value.version, value.schema_text, value.services, value.routing);
}

}  // namespace chicoryvale

#endif  // CHICORYVALE_SRC_CONFIG_CLUSTER_CONFIG_CODEC_H_
