#ifndef CHICORYVALE_SRC_CONFIG_CONFIG_DELTA_H_
#define CHICORYVALE_SRC_CONFIG_CONFIG_DELTA_H_

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "config/cluster_config.h"

namespace chicoryvale {

/// The versions between which a delta leads, and the hash of its result.
struct DeltaHeader {
  std::uint64_t from_version = 0;
  std::uint64_t to_version = 0;
  /// HashConfig of the resulting configuration.
  std::uint64_t to_hash = 0;
};

/// The difference between two configurations. It contains only the shards and
/// service settings that differ, so that its size depends on the size of the
/// change and not on the size of the configuration.
struct ConfigDelta {
  DeltaHeader header;
  std::string bytes;
};

/// Returns the delta from `from` to `to`, or nullopt if applying it would not
/// give exactly `to`, because the services are in another order.
std::optional<ConfigDelta> MakeDelta(const ClusterConfig& from,
                                     const ClusterConfig& to);

/// Applies `delta` to `config`. Returns false, and leaves `config` unspecified,
/// if the bytes are damaged, `config` does not have the version from which the
/// delta leads, or the result does not have the expected hash.
bool ApplyDelta(const ConfigDelta& delta, ClusterConfig* config);

/// Applies consecutive deltas like ApplyDelta. Only the hash of the last result
/// is checked, because hashing takes as long as the configuration is large.
bool ApplyDeltas(const std::vector<ConfigDelta>& deltas, ClusterConfig* config);

}  // namespace chicoryvale

#endif  // CHICORYVALE_SRC_CONFIG_CONFIG_DELTA_H_
