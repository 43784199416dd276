#include "membership/gossip_queue.h"

#include <vector>

namespace chicoryvale {

void GossipQueue::Push(const std::string& key) {
  Remove(key);
  // Of news sent equally often, the newest goes first.
  const Position position{0, ~++m_last_number};
  m_order.emplace(position, key);
  m_positions.emplace(key, position);
}

void GossipQueue::Remove(const std::string& key) {
  const auto found = m_positions.find(key);
  if (found == m_positions.end()) return;
  m_order.erase(found->second);
  m_positions.erase(found);
}

void GossipQueue::Fill(std::uint32_t max_sends, const Take& take) {
  std::vector<std::pair<Position, std::string>> taken;
  for (const auto& entry : m_order) {
    if (!take(entry.second)) break;
    taken.push_back(entry);
  }
  for (auto& [position, key] : taken) {
    m_order.erase(position);
    ++position.first;
    if (position.first >= max_sends) {
      m_positions.erase(key);
      continue;
    }
    m_positions[key] = position;
    m_order.emplace(position, std::move(key));
  }
}

}  // namespace chicoryvale
