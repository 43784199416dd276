#ifndef CHICORYVALE_SRC_CONFIG_CHANGE_CODEC_H_
#define CHICORYVALE_SRC_CONFIG_CHANGE_CODEC_H_

// Serialization of changes and their results.

#include <cereal/types/variant.hpp>

#include "config/change.h"
#include "config/cluster_config_codec.h"

namespace chicoryvale {

// cereal finds the functions below by this name.
// NOLINTBEGIN(readability-identifier-naming)
template <class Archive>
void serialize(Archive& archive, ApplySchema& value) {
  archive(value.schema_text);
}

template <class Archive>
void serialize(Archive& archive, SetPlacement& value) {
  archive(value.shards, value.limits, value.index_version);
}

template <class Archive>
void serialize(Archive& archive, DrainReplica& value) {
  archive(value.address, value.draining);
}

template <class Archive>
void serialize(Archive& archive, SetLimits& value) {
  archive(value.limits);
}

template <class Archive>
void serialize(Archive& archive, PublishIndex& value) {
  archive(value.index_version);
}

template <class Archive>
void serialize(Archive& archive, Quarantine& value) {
  archive(value.fingerprint, value.release);
}

template <class Archive>
void serialize(Archive& archive, ReplaceRouting& value) {
  archive(value.document);
}

template <class Archive>
void serialize(Archive& archive, SetEvacuation& value) {
  archive(value.availability_zone, value.evacuated);
}

template <class Archive>
void serialize(Archive& archive, Change& value) {
  archive(value.operation_id, value.expected_version, value.service,
          value.payload);
}

template <class Archive>
void serialize(Archive& archive, ChangeResult& value) {
  archive(value.outcome, value.version, value.message);
}
// NOLINTEND(readability-identifier-naming)

}  // namespace chicoryvale

#endif  // CHICORYVALE_SRC_CONFIG_CHANGE_CODEC_H_
