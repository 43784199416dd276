#ifndef CHICORYVALE_SRC_CONFIG_DISTRIBUTION_MESSAGE_H_
#define CHICORYVALE_SRC_CONFIG_DISTRIBUTION_MESSAGE_H_

#include <cstdint>
#include <string>
#include <vector>

#include "base/codec.h"
#include "config/config_delta.h"
#include "ports/peer_gossip.h"

namespace chicoryvale {

enum class DistributionQuestion : std::uint8_t {
  /// Which version does the receiver know?
  kKnownVersion,
  /// Send what leads from `have` to the receiver's configuration.
  kPull,
};

/// Request on PeerChannel::kConfig.
struct DistributionRequest {
  DistributionQuestion question = DistributionQuestion::kKnownVersion;
  ConfigDigest have;
};

enum class DistributionReply : std::uint8_t {
  kVersion,
  kSteps,
  kWhole,
  kNothingNewer,
  /// The receiver has served enough for now; another one may serve.
  kBusy,
};

/// Answer on PeerChannel::kConfig.
struct DistributionAnswer {
  DistributionReply reply = DistributionReply::kVersion;
  /// What the sender has.
  ConfigDigest have;
  /// kVersion: the highest version that the sender knows of. At a control VM
  /// it may not be committed yet.
  std::uint64_t known_version = 0;
  std::vector<ConfigDelta> steps;
  /// EncodeConfig, for kWhole.
  std::string whole;
};

// NOLINTBEGIN(readability-identifier-naming): named by cereal.
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
  archive(value.question, value.have);
}

template <class Archive>
void serialize(Archive& archive, DistributionAnswer& value) {
  archive(value.reply, value.have, value.known_version, value.steps,
          value.whole);
}
// NOLINTEND(readability-identifier-naming)

}  // namespace chicoryvale

#endif  // CHICORYVALE_SRC_CONFIG_DISTRIBUTION_MESSAGE_H_
