#include "membership/gossip_store.h"

#include <tuple>
#include <utility>

namespace chicoryvale {
namespace {

bool Wins(const GossipItem& item, const GossipItem& over) {
  return std::tie(item.stamp, item.payload) >
         std::tie(over.stamp, over.payload);
}

}  // namespace

std::string GossipStore::KeyOf(const GossipItem& item) {
  return std::string(1, static_cast<char>('0' + static_cast<int>(item.kind))) +
         item.key;
}

GossipStore::Outcome GossipStore::Merge(const GossipItem& item, TimePoint now) {
  if (item.lifetime_s == 0) return Outcome::kExpired;
  const std::string key = KeyOf(item);
  const auto found = m_entries.find(key);
  if (found != m_entries.end() && found->second.ends > now &&
      !Wins(item, found->second.item)) {
    return Outcome::kKnown;
  }
  const bool evicted = found == m_entries.end() && MakeRoom(item.kind);
  m_entries[key] = {item, now + seconds(item.lifetime_s)};
  return evicted ? Outcome::kNewsAndEvicted : Outcome::kNews;
}

bool GossipStore::MakeRoom(GossipKind kind) {
  std::size_t count = 0;
  auto first = m_entries.end();
  for (auto entry = m_entries.begin(); entry != m_entries.end(); ++entry) {
    if (entry->second.item.kind != kind) continue;
    ++count;
    if (first == m_entries.end() || entry->second.ends < first->second.ends) {
      first = entry;
    }
  }
  if (count < m_max_items) return false;
  m_entries.erase(first);
  return true;
}

void GossipStore::RemoveExpired(TimePoint now) {
  std::erase_if(m_entries,
                [now](const auto& entry) { return entry.second.ends <= now; });
}

bool GossipStore::Find(const std::string& key, TimePoint now,
                       GossipItem* item) const {
  const auto found = m_entries.find(key);
  if (found == m_entries.end() || found->second.ends < now + seconds(1)) {
    return false;
  }
  *item = found->second.item;
  item->lifetime_s = static_cast<std::uint32_t>(
      std::chrono::floor<seconds>(found->second.ends - now).count());
  return true;
}

std::vector<GossipItem> GossipStore::Items(GossipKind kind) const {
  std::vector<GossipItem> items;
  for (const auto& [key, entry] : m_entries) {
    if (entry.item.kind == kind) items.push_back(entry.item);
  }
  return items;
}

std::string GossipStore::NextKey(const std::string& after) const {
  if (m_entries.empty()) return "";
  const auto next = m_entries.upper_bound(after);
  return next == m_entries.end() ? m_entries.begin()->first : next->first;
}

}  // namespace chicoryvale
