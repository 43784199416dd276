#include "routing/rank_merger.h"

#include <algorithm>
#include <functional>
#include <utility>

namespace chicoryvale {

void RankMerger::Add(std::string_view records) {
  for (; records.size() >= kRecordBytes; records.remove_prefix(kRecordBytes)) {
    m_records.emplace_back(records.substr(0, kRecordBytes));
  }
  Truncate();
}

void RankMerger::Truncate() {
  if (m_records.size() <= m_rank_limit) return;
  const auto end = m_records.begin() + m_rank_limit;
  std::ranges::nth_element(m_records, end, std::greater<>());
  m_records.erase(end, m_records.end());
}

std::string RankMerger::ExtractMerged() {
  std::ranges::sort(m_records, std::greater<>());
  std::string merged;
  for (const std::string& record : m_records) merged += record;
  m_records.clear();
  return merged;
}

}  // namespace chicoryvale
