#ifndef CHICORYVALE_SRC_CONFIG_CONFIG_DELTA_H_
#define CHICORYVALE_SRC_CONFIG_CONFIG_DELTA_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "config/cluster_config.h"

namespace chicoryvale {

/// What a delta leads from and to.
struct DeltaHeader {
  std::uint64_t from_version = 0;
  std::uint64_t to_version = 0;
  /// HashConfig of the result.
  std::uint64_t to_hash = 0;
};

/// One step between two configurations: only the shards and service settings
/// that differ, so that its size follows the change and not the configuration.
struct ConfigDelta {
  DeltaHeader header;
  std::string bytes;
};

/// Returns the step from `from` to `to`, or nullopt if it would not give `to`
/// exactly (services in another order).
std::optional<ConfigDelta> MakeDelta(const ClusterConfig& from,
                                     const ClusterConfig& to);

/// Applies a step; false, with `config` unspecified, if the bytes are damaged,
/// `config` is not what the step leads from, or the result has another hash.
bool ApplyDelta(const ConfigDelta& delta, ClusterConfig* config);

}  // namespace chicoryvale

#endif  // CHICORYVALE_SRC_CONFIG_CONFIG_DELTA_H_
