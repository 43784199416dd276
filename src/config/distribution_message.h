#ifndef CHICORYVALE_SRC_CONFIG_DISTRIBUTION_MESSAGE_H_
#define CHICORYVALE_SRC_CONFIG_DISTRIBUTION_MESSAGE_H_

#include <cstdint>
#include <string>
#include <vector>

#include "base/codec.h"
#include "base/ids.h"
#include "base/ids_codec.h"
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
  /// The newest committed version, confirmed by the leader of the control
  /// group. A control VM that is not the leader asks the leader.
  kConfirmedVersion,
  /// The same, of a control VM that has to be the leader.
  kConfirmedVersionOfLeader,
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
  /// The sender cannot answer now: it has used up its budget for serving, or
  /// no leader has confirmed the version. Another peer may.
  kBusy,
};

/// The control group as one control VM knows it.
struct ControlGroupView {
  /// Index of the log entry that set the voters, which is the version of the
  /// group; 0 if the VM is in no group.
  std::uint64_t index = 0;
  std::vector<Address> voters;
  /// Address of the sender if it is one of the voters; otherwise empty.
  Address voter;
};

/// Answer on PeerChannel::kConfig.
struct DistributionAnswer {
  DistributionAnswerKind kind = DistributionAnswerKind::kVersion;
  /// Digest of the configuration of the sender.
  ConfigDigest digest;
  /// For kVersion: the version that was asked for. The highest version that a
  /// control VM knows may not be committed yet.
  std::uint64_t known_version = 0;
  /// For kDeltas: consecutive deltas, the oldest one first.
  std::vector<ConfigDelta> deltas;
  /// For kFull: the bytes of EncodeConfig.
  std::string full_config;
  /// For the answer of a control VM to kKnownVersion.
  ControlGroupView group;
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
void serialize(Archive& archive, ControlGroupView& value) {
  archive(value.index, value.voters, value.voter);
}

template <class Archive>
void serialize(Archive& archive, DistributionRequest& value) {
  archive(value.kind, value.digest);
}

template <class Archive>
void serialize(Archive& archive, DistributionAnswer& value) {
  archive(value.kind, value.digest, value.known_version, value.deltas,
          value.full_config, value.group);
}
// NOLINTEND(readability-identifier-naming)

}  // namespace chicoryvale

#endif  // CHICORYVALE_SRC_CONFIG_DISTRIBUTION_MESSAGE_H_
