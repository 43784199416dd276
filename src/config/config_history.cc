#include "config/config_history.h"

#include <algorithm>
#include <utility>

namespace chicoryvale {

void ConfigHistory::Add(ConfigDelta delta) {
  if (!m_steps.empty() &&
      m_steps.back().header.to_version != delta.header.from_version) {
    Clear();
  }
  m_bytes += delta.bytes.size();
  m_steps.push_back(std::move(delta));
  while (m_bytes > m_max_bytes) {
    m_bytes -= m_steps.front().bytes.size();
    m_steps.pop_front();
  }
}

void ConfigHistory::Clear() {
  m_steps.clear();
  m_bytes = 0;
}

std::vector<ConfigDelta> ConfigHistory::Since(std::uint64_t version) const {
  const auto first = std::ranges::find(
      m_steps, version,
      [](const ConfigDelta& delta) { return delta.header.from_version; });
  return {first, m_steps.end()};
}

}  // namespace chicoryvale
