#include "query/snapshot_tracker.h"

#include <algorithm>
#include <functional>

namespace chicoryvale {

void SnapshotTracker::Apply(const ServiceConfig& config) {
  const bool same_epoch = config.map_epoch == m_map_epoch;
  std::vector<Shard> shards;
  shards.reserve(config.shards.size());
  for (std::size_t i = 0; i < config.shards.size(); ++i) {
    const bool known = same_epoch && i < m_shards.size();
    shards.push_back(
        MakeShard(config.shards[i], known ? &m_shards[i] : nullptr));
  }
  m_shards = std::move(shards);
  m_map_epoch = config.map_epoch;
  if (!same_epoch) m_published_before = config.index_version;
  if (same_epoch && config.index_version != m_published) {
    m_published_before = m_published;
  }
  m_published = config.index_version;
  m_valid_until = TimePoint{};
}

SnapshotId SnapshotTracker::Newest(TimePoint now) {
  if (now >= m_valid_until) Recompute(now);
  return SnapshotId{m_map_epoch, m_newest};
}

void SnapshotTracker::Learn(ShardId shard, const Address& replica,
                            const UpstreamReport& report) {
  if (!report.newest_version && !report.oldest_version) return;
  Replica* known = Find(shard, replica);
  if (known == nullptr) return;
  if (known->oldest == report.oldest_version &&
      known->newest == report.newest_version) {
    return;
  }
  known->oldest = report.oldest_version;
  known->newest = report.newest_version;
  m_valid_until = TimePoint{};
}

void SnapshotTracker::Refuse(ShardId shard, const Address& replica,
                             std::uint64_t version, TimePoint now) {
  Replica* known = Find(shard, replica);
  if (known == nullptr) return;
  known->refusal = Refusal{version, now + kRefusalTime};
  m_valid_until = TimePoint{};
}

bool SnapshotTracker::Serves(ShardId shard, std::uint64_t version,
                             TimePoint now) const {
  if (shard >= m_shards.size()) return false;
  return std::ranges::any_of(m_shards[shard], [&](const Replica& replica) {
    return Serves(replica, version, now);
  });
}

void SnapshotTracker::AppendUnable(ShardId shard, std::uint64_t version,
                                   TimePoint now,
                                   std::vector<Address>* replicas) const {
  if (shard >= m_shards.size()) return;
  for (const Replica& replica : m_shards[shard]) {
    if (!Serves(replica, version, now)) replicas->push_back(replica.address);
  }
}

SnapshotTracker::Shard SnapshotTracker::MakeShard(const ShardConfig& config,
                                                  const Shard* known) {
  Shard shard;
  shard.reserve(config.replicas.size());
  for (const ReplicaConfig& replica : config.replicas) {
    shard.push_back(Replica{replica.address, {}, {}, {}});
    if (known == nullptr) continue;
    const auto old =
        std::ranges::find(*known, replica.address, &Replica::address);
    if (old != known->end()) shard.back() = *old;
  }
  return shard;
}

SnapshotTracker::Replica* SnapshotTracker::Find(ShardId shard,
                                                const Address& address) {
  if (shard >= m_shards.size()) return nullptr;
  const auto found =
      std::ranges::find(m_shards[shard], address, &Replica::address);
  return found == m_shards[shard].end() ? nullptr : &*found;
}

bool SnapshotTracker::Serves(const Replica& replica, std::uint64_t version,
                             TimePoint now) const {
  const bool refused = replica.refusal && replica.refusal->version == version &&
                       now < replica.refusal->until;
  if (refused) return false;
  return version >= replica.oldest.value_or(0) &&
         version <= replica.newest.value_or(m_published);
}

// Versions that could be the newest one: those published and the newest of
// each replica, in falling order.
std::vector<std::uint64_t> SnapshotTracker::Candidates() const {
  std::vector<std::uint64_t> versions = {m_published, m_published_before};
  for (const Shard& shard : m_shards) {
    for (const Replica& replica : shard) {
      if (!replica.newest) continue;
      if (std::ranges::find(versions, *replica.newest) == versions.end()) {
        versions.push_back(*replica.newest);
      }
    }
  }
  std::ranges::sort(versions, std::greater<>());
  return versions;
}

void SnapshotTracker::Recompute(TimePoint now) {
  std::size_t best_count = 0;
  m_newest = m_published;
  for (const std::uint64_t version : Candidates()) {
    std::size_t count = 0;
    for (ShardId shard = 0; shard < m_shards.size(); ++shard) {
      if (Serves(shard, version, now)) ++count;
    }
    if (count <= best_count) continue;
    best_count = count;
    m_newest = version;
    if (count == m_shards.size()) break;
  }
  m_valid_until = now + kRefusalTime;
}

}  // namespace chicoryvale
