#include "query/snapshot_tracker.h"

#include <algorithm>
#include <functional>
#include <utility>

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

bool SnapshotTracker::Places(ShardId shard, const Address& replica) const {
  return Find(shard, replica) != nullptr;
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

bool SnapshotTracker::MayServe(ShardId shard, std::uint64_t version,
                               TimePoint now) const {
  return Believe(shard, version, now) != Belief::kNo;
}

void SnapshotTracker::AppendUnable(ShardId shard, std::uint64_t version,
                                   TimePoint now,
                                   std::vector<Address>* replicas) const {
  if (shard >= m_shards.size()) return;
  const std::size_t given = replicas->size();
  const auto is_given = [&](const Address& address) {
    const auto end = replicas->begin() + static_cast<std::ptrdiff_t>(given);
    return std::find(replicas->begin(), end, address) != end;
  };
  Belief best = Belief::kNo;
  for (const Replica& replica : m_shards[shard]) {
    if (is_given(replica.address)) continue;
    best = std::max(best, Believe(replica, version, now));
  }
  for (const Replica& replica : m_shards[shard]) {
    if (is_given(replica.address)) continue;
    const Belief belief = Believe(replica, version, now);
    if (belief == Belief::kNo || belief < best) {
      replicas->push_back(replica.address);
    }
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

const SnapshotTracker::Replica* SnapshotTracker::Find(
    ShardId shard, const Address& address) const {
  if (shard >= m_shards.size()) return nullptr;
  const auto found =
      std::ranges::find(m_shards[shard], address, &Replica::address);
  return found == m_shards[shard].end() ? nullptr : &*found;
}

SnapshotTracker::Replica* SnapshotTracker::Find(ShardId shard,
                                                const Address& address) {
  return const_cast<Replica*>(std::as_const(*this).Find(shard, address));
}

SnapshotTracker::Belief SnapshotTracker::Believe(const Replica& replica,
                                                 std::uint64_t version,
                                                 TimePoint now) const {
  const bool refused = replica.refusal && replica.refusal->version == version &&
                       now < replica.refusal->until;
  if (refused || version < replica.oldest.value_or(0)) return Belief::kNo;
  if (replica.newest) {
    return version <= *replica.newest ? Belief::kYes : Belief::kMaybe;
  }
  return version <= m_published ? Belief::kMaybe : Belief::kNo;
}

SnapshotTracker::Belief SnapshotTracker::Believe(ShardId shard,
                                                 std::uint64_t version,
                                                 TimePoint now) const {
  Belief best = Belief::kNo;
  if (shard >= m_shards.size()) return best;
  for (const Replica& replica : m_shards[shard]) {
    best = std::max(best, Believe(replica, version, now));
  }
  return best;
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
  struct Score {
    std::size_t possible = 0;
    std::size_t known = 0;
    // NOLINTNEXTLINE(modernize-use-nullptr): false report of clang-tidy 14.
    auto operator<=>(const Score&) const = default;
  };
  Score best;
  m_newest = m_published;
  m_valid_until = now + kRefusalTime;
  for (const std::uint64_t version : Candidates()) {
    Score score;
    for (ShardId shard = 0; shard < m_shards.size(); ++shard) {
      const Belief belief = Believe(shard, version, now);
      if (belief != Belief::kNo) ++score.possible;
      if (belief == Belief::kYes) ++score.known;
    }
    if (score <= best) continue;
    best = score;
    m_newest = version;
    if (score.known == m_shards.size()) break;
  }
}

}  // namespace chicoryvale
