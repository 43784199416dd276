#ifndef CHICORYVALE_SRC_CONFIG_CONFIG_HISTORY_H_
#define CHICORYVALE_SRC_CONFIG_CONFIG_HISTORY_H_

#include <cstddef>
#include <cstdint>
#include <deque>
#include <vector>

#include "config/config_delta.h"

namespace chicoryvale {

/// The latest deltas that led to the current configuration, each from one
/// version to the next one that this process received. Not thread safe.
class ConfigHistory {
 public:
  /// `max_bytes` bounds the total size of the retained deltas.
  explicit ConfigHistory(std::size_t max_bytes) : m_max_bytes(max_bytes) {}

  /// Adds a delta and drops the oldest ones beyond the bound. If `delta` does
  /// not follow the last one, all earlier deltas are dropped.
  void Add(ConfigDelta delta);

  /// Drops all deltas, for example after a full configuration was received.
  void Clear();

  /// Returns the deltas from `version` to the current version, or none if some
  /// of them are not retained.
  [[nodiscard]] std::vector<ConfigDelta> DeltasSince(
      std::uint64_t version) const;

  /// Returns the total size of the retained deltas.
  [[nodiscard]] std::size_t bytes() const { return m_bytes; }

 private:
  std::size_t m_max_bytes;
  std::size_t m_bytes = 0;
  std::deque<ConfigDelta> m_deltas;
};

}  // namespace chicoryvale

#endif  // CHICORYVALE_SRC_CONFIG_CONFIG_HISTORY_H_
