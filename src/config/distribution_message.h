#ifndef CHICORYVALE_SRC_CONFIG_DISTRIBUTION_MESSAGE_H_
#define CHICORYVALE_SRC_CONFIG_DISTRIBUTION_MESSAGE_H_

#include <cstdint>
#include <string>
#include <vector>

#include "base/codec.h"
#include "config/config_delta.h"
#include "ports/peer_gossip.h"

namespace chicoryvale {

/// What a DistributionRequest asks for.
enum class DistributionRequestKind : std::uint8_t {
  /// The highest version that the receiver knows.
  kKnownVersion,
  /// The deltas from `digest` to the configuration of the receiver, or its full
  /// configuration.
  kPull,
};

/// Request on PeerChannel::kConfig.
struct DistributionRequest {
  DistributionRequestKind kind = DistributionRequestKind::kKnownVersion;
  /// Digest of the configuration of the sender; used by kPull.
  ConfigDigest digest;
};

/// What a DistributionAnswer contains.
enum class DistributionAnswerKind : std::uint8_t {
  kVersion,
  kDeltas,
  kFull,
  kUpToDate,
  /// The sender has used up its budget for serving; another peer may serve.
  kBusy,
};

/// Answer on PeerChannel::kConfig.
struct DistributionAnswer {
  DistributionAnswerKind kind = DistributionAnswerKind::kVersion;
  /// Digest of the configuration of the sender.
  ConfigDigest digest;
  /// For kVersion: the highest version that the sender knows. On a control VM
  /// it may not be committed yet.
  std::uint64_t known_version = 0;
  /// For kDeltas: consecutive deltas, the oldest one first.
  std::vector<ConfigDelta> deltas;
  /// For kFull: the bytes of EncodeConfig.
  std::string full_config;
};

// NOLINTBEGIN(readability-identifier-naming): cereal requires the name.
template <class Archive>
void serialize(Archive& archive, ConfigDigest& value) {
  archive(value.version, value.hash);
}

template <class Archive>
void serialize(Archive& archive, ConfigDelta& value) {
  archive(value.header.from_version, value.header.to_version,
          value.header.to_hash, value.bytes);
}

template <class Archive>
void serialize(Archive& archive, DistributionRequest& value) {
  archive(value.kind, value.digest);
}

template <class Archive>
void serialize(Archive& archive, DistributionAnswer& value) {
  archive(value.kind, value.digest, value.known_version, value.deltas,
          value.full_config);
}
// NOLINTEND(readability-identifier-naming)

}  // namespace chicoryvale

#endif  // CHICORYVALE_SRC_CONFIG_DISTRIBUTION_MESSAGE_H_
