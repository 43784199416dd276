#include "chicory-load/call_statistics.h"

#include <algorithm>
#include <cmath>

namespace chicoryvale {

void CallStatistics::Add(const CallResult& result) {
  ++m_sent;
  m_shards_covered += result.shards_covered;
  m_shards_asked += result.shards_asked;
  if (!result.error_kind.empty()) {
    ++m_errors[result.error_kind + "/" + result.ran];
    return;
  }
  if (result.shards_covered == result.shards_asked) ++m_complete_answers;
  m_latencies.push_back(result.latency);
}

void CallStatistics::Add(const CallStatistics& other) {
  m_unsent += other.m_unsent;
  m_sent += other.m_sent;
  m_complete_answers += other.m_complete_answers;
  m_shards_covered += other.m_shards_covered;
  m_shards_asked += other.m_shards_asked;
  for (const auto& [name, count] : other.m_errors) m_errors[name] += count;
  m_latencies.insert(m_latencies.end(), other.m_latencies.begin(),
                     other.m_latencies.end());
}

Duration CallStatistics::Latency(double quantile) const {
  if (m_latencies.empty()) return Duration::zero();
  const auto count = static_cast<double>(m_latencies.size());
  const auto rank = static_cast<std::ptrdiff_t>(
      std::max(0.0, std::ceil(quantile * count) - 1));
  const auto nth = m_latencies.begin() + rank;
  std::ranges::nth_element(m_latencies, nth);
  return *nth;
}

}  // namespace chicoryvale
