#include "config/config_history.h"

#include <algorithm>
#include <utility>

namespace chicoryvale {

void ConfigHistory::Add(ConfigDelta delta) {
  if (!m_deltas.empty() &&
      m_deltas.back().header.to_version != delta.header.from_version) {
    Clear();
  }
  m_bytes += delta.bytes.size();
  m_deltas.push_back(std::move(delta));
  while (m_bytes > m_max_bytes) {
    m_bytes -= m_deltas.front().bytes.size();
    m_deltas.pop_front();
  }
}

void ConfigHistory::Clear() {
  m_deltas.clear();
  m_bytes = 0;
}

std::vector<ConfigDelta> ConfigHistory::DeltasSince(
    std::uint64_t version) const {
  const auto first = std::ranges::find(
      m_deltas, version,
      [](const ConfigDelta& delta) { return delta.header.from_version; });
  return {first, m_deltas.end()};
}

}  // namespace chicoryvale
