#ifndef CHICORYVALE_SRC_UPSTREAM_GATE_GOSSIP_CODEC_H_
#define CHICORYVALE_SRC_UPSTREAM_GATE_GOSSIP_CODEC_H_

// Serialization of the messages that gates exchange by gossip.

#include "base/codec.h"
#include "config/cluster_config_codec.h"
#include "upstream/availability_tracker.h"
#include "upstream/crash_mark.h"

namespace chicoryvale {

template <class Archive>
void serialize(Archive& archive,  // NOLINT(readability-identifier-naming)
               AvailabilitySignal& value) {
  archive(value.replica, value.source, value.unavailable, value.stamp);
}

template <class Archive>
void serialize(Archive& archive,  // NOLINT(readability-identifier-naming)
               CrashKey& value) {
  archive(value.fingerprint, value.workspace, value.service);
}

template <class Archive>
void serialize(Archive& archive,  // NOLINT(readability-identifier-naming)
               UpstreamCrash& value) {
  archive(value.replica, value.shard, value.generation, value.proven);
}

template <class Archive>
void serialize(Archive& archive,  // NOLINT(readability-identifier-naming)
               CrashMark& value) {
  archive(value.key, value.epoch, value.crash_limit, value.crashes,
          value.served_before, value.failed_trials);
}

}  // namespace chicoryvale

#endif  // CHICORYVALE_SRC_UPSTREAM_GATE_GOSSIP_CODEC_H_
