#include "membership/gossip_store.h"

#include <tuple>
#include <utility>

namespace chicoryvale {
namespace {

bool Supersedes(const GossipItem& item, const GossipItem& current) {
  return std::tie(item.stamp, item.payload) >
         std::tie(current.stamp, current.payload);
}

}  // namespace

std::string GossipStore::KeyOf(const GossipItem& item) {
  return std::string(1, static_cast<char>('0' + static_cast<int>(item.kind))) +
         item.key;
}

GossipStore::MergeResult GossipStore::Merge(const GossipItem& item,
                                            TimePoint now) {
  if (item.lifetime_s == 0) return MergeResult::kExpired;
  const std::string key = KeyOf(item);
  const auto found = m_entries.find(key);
  if (found != m_entries.end() && found->second.expires_at > now &&
      !Supersedes(item, found->second.item)) {
    return MergeResult::kUnchanged;
  }
  const bool evicted = found == m_entries.end() && EvictIfFull(item.kind);
  m_entries[key] = {item, now + seconds(item.lifetime_s)};
  return evicted ? MergeResult::kMergedAndEvicted : MergeResult::kMerged;
}

bool GossipStore::EvictIfFull(GossipKind kind) {
  std::size_t count = 0;
  auto first_to_expire = m_entries.end();
  for (auto entry = m_entries.begin(); entry != m_entries.end(); ++entry) {
    if (entry->second.item.kind != kind) continue;
    ++count;
    if (first_to_expire == m_entries.end() ||
        entry->second.expires_at < first_to_expire->second.expires_at) {
      first_to_expire = entry;
    }
  }
  if (count < m_max_items) return false;
  m_entries.erase(first_to_expire);
  return true;
}

void GossipStore::RemoveExpired(TimePoint now) {
  std::erase_if(m_entries, [now](const auto& entry) {
    return entry.second.expires_at <= now;
  });
}

bool GossipStore::Find(const std::string& key, TimePoint now,
                       GossipItem* item) const {
  const auto found = m_entries.find(key);
  if (found == m_entries.end() || found->second.expires_at < now + seconds(1)) {
    return false;
  }
  *item = found->second.item;
  item->lifetime_s = static_cast<std::uint32_t>(
      std::chrono::floor<seconds>(found->second.expires_at - now).count());
  return true;
}

std::vector<GossipItem> GossipStore::Items(GossipKind kind) const {
  std::vector<GossipItem> items;
  for (const auto& [key, entry] : m_entries) {
    if (entry.item.kind == kind) items.push_back(entry.item);
  }
  return items;
}

std::string GossipStore::NextKey(const std::string& previous_key) const {
  if (m_entries.empty()) return "";
  const auto next = m_entries.upper_bound(previous_key);
  return next == m_entries.end() ? m_entries.begin()->first : next->first;
}

}  // namespace chicoryvale
