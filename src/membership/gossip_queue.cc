#include "membership/gossip_queue.h"

#include <vector>

namespace chicoryvale {

void GossipQueue::Push(const std::string& key) {
  Remove(key);
  // Among updates with the same number of sends, the newest is sent first.
  const Priority priority{0, ~++m_last_sequence};
  m_keys_by_priority.emplace(priority, key);
  m_priorities.emplace(key, priority);
}

void GossipQueue::Remove(const std::string& key) {
  const auto found = m_priorities.find(key);
  if (found == m_priorities.end()) return;
  m_keys_by_priority.erase(found->second);
  m_priorities.erase(found);
}

void GossipQueue::FillPacket(std::uint32_t max_sends, const TryAdd& try_add) {
  std::vector<std::pair<Priority, std::string>> added;
  for (const auto& entry : m_keys_by_priority) {
    if (!try_add(entry.second)) break;
    added.push_back(entry);
  }
  for (auto& [priority, key] : added) {
    m_keys_by_priority.erase(priority);
    ++priority.first;
    if (priority.first >= max_sends) {
      m_priorities.erase(key);
      continue;
    }
    m_priorities[key] = priority;
    m_keys_by_priority.emplace(priority, std::move(key));
  }
}

}  // namespace chicoryvale
