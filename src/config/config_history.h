#ifndef CHICORYVALE_SRC_CONFIG_CONFIG_HISTORY_H_
#define CHICORYVALE_SRC_CONFIG_CONFIG_HISTORY_H_

#include <cstddef>
#include <cstdint>
#include <deque>
#include <vector>

#include "config/config_delta.h"

namespace chicoryvale {

/// The last steps that led to the present configuration, each from one version
/// to the next one that this process saw. Not thread safe.
class ConfigHistory {
 public:
  /// Bounds the bytes of all steps kept.
  explicit ConfigHistory(std::size_t max_bytes) : m_max_bytes(max_bytes) {}

  /// Adds a step; forgets all earlier ones if it does not follow the last.
  void Add(ConfigDelta delta);

  /// Forgets all steps: the configuration came whole.
  void Clear();

  /// Returns the steps from `version` to the present, none if they are not
  /// all kept.
  [[nodiscard]] std::vector<ConfigDelta> Since(std::uint64_t version) const;

  [[nodiscard]] std::size_t bytes() const { return m_bytes; }

 private:
  std::size_t m_max_bytes;
  std::size_t m_bytes = 0;
  std::deque<ConfigDelta> m_steps;
};

}  // namespace chicoryvale

#endif  // CHICORYVALE_SRC_CONFIG_CONFIG_HISTORY_H_
