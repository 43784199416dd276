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
    const bool has_previous = same_epoch && i < m_shards.size();
    shards.push_back(
        MakeShard(config.shards[i], has_previous ? &m_shards[i] : nullptr));
  }
  m_shards = std::move(shards);
  m_map_epoch = config.map_epoch;
  if (!same_epoch) m_previous_published_version = config.index_version;
  if (same_epoch && config.index_version != m_published_version) {
    m_previous_published_version = m_published_version;
  }
  m_published_version = config.index_version;
  m_selection_valid_until = TimePoint{};
}

bool SnapshotTracker::HasReplica(ShardId shard, const Address& replica) const {
  return Find(shard, replica) != nullptr;
}

SnapshotId SnapshotTracker::Current(TimePoint now) {
  if (now >= m_selection_valid_until) SelectVersion(now);
  return SnapshotId{m_map_epoch, m_selected_version};
}

void SnapshotTracker::RecordReport(ShardId shard, const Address& replica,
                                   const UpstreamReport& report) {
  if (!report.newest_version && !report.oldest_version) return;
  Replica* entry = Find(shard, replica);
  if (entry == nullptr) return;
  if (entry->oldest == report.oldest_version &&
      entry->newest == report.newest_version) {
    return;
  }
  entry->oldest = report.oldest_version;
  entry->newest = report.newest_version;
  m_selection_valid_until = TimePoint{};
}

void SnapshotTracker::RecordRefusal(ShardId shard, const Address& replica,
                                    std::uint64_t version, TimePoint now) {
  Replica* entry = Find(shard, replica);
  if (entry == nullptr) return;
  entry->refusal = Refusal{version, now + kRefusalValidity};
  m_selection_valid_until = TimePoint{};
}

bool SnapshotTracker::MayServe(ShardId shard, std::uint64_t version,
                               TimePoint now) const {
  return SupportOf(shard, version, now) != Support::kNone;
}

void SnapshotTracker::AppendReplicasToAvoid(
    ShardId shard, std::uint64_t version, TimePoint now,
    std::vector<Address>* replicas) const {
  if (shard >= m_shards.size()) return;
  const std::size_t listed_count = replicas->size();
  const auto is_listed = [&](const Address& address) {
    const auto end =
        replicas->begin() + static_cast<std::ptrdiff_t>(listed_count);
    return std::find(replicas->begin(), end, address) != end;
  };
  Support best = Support::kNone;
  for (const Replica& replica : m_shards[shard]) {
    if (is_listed(replica.address)) continue;
    best = std::max(best, SupportOf(replica, version, now));
  }
  for (const Replica& replica : m_shards[shard]) {
    if (is_listed(replica.address)) continue;
    const Support support = SupportOf(replica, version, now);
    if (support == Support::kNone || support < best) {
      replicas->push_back(replica.address);
    }
  }
}

SnapshotTracker::Shard SnapshotTracker::MakeShard(const ShardConfig& config,
                                                  const Shard* previous) {
  Shard shard;
  shard.reserve(config.replicas.size());
  for (const ReplicaConfig& replica : config.replicas) {
    shard.push_back(Replica{replica.address, {}, {}, {}});
    if (previous == nullptr) continue;
    const auto old =
        std::ranges::find(*previous, replica.address, &Replica::address);
    if (old != previous->end()) shard.back() = *old;
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

SnapshotTracker::Support SnapshotTracker::SupportOf(const Replica& replica,
                                                    std::uint64_t version,
                                                    TimePoint now) const {
  const bool refused = replica.refusal && replica.refusal->version == version &&
                       now < replica.refusal->valid_until;
  if (refused || version < replica.oldest.value_or(0)) return Support::kNone;
  if (replica.newest) {
    return version <= *replica.newest ? Support::kKnown : Support::kPossible;
  }
  return version <= m_published_version ? Support::kPossible : Support::kNone;
}

SnapshotTracker::Support SnapshotTracker::SupportOf(ShardId shard,
                                                    std::uint64_t version,
                                                    TimePoint now) const {
  Support best = Support::kNone;
  if (shard >= m_shards.size()) return best;
  for (const Replica& replica : m_shards[shard]) {
    best = std::max(best, SupportOf(replica, version, now));
  }
  return best;
}

// Returns the versions that can be selected, in descending order: the last two
// published versions and the newest version of each replica.
std::vector<std::uint64_t> SnapshotTracker::CandidateVersions() const {
  std::vector<std::uint64_t> versions = {m_published_version,
                                         m_previous_published_version};
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

void SnapshotTracker::SelectVersion(TimePoint now) {
  struct Score {
    std::size_t possible_shards = 0;
    std::size_t known_shards = 0;
    // NOLINTNEXTLINE(modernize-use-nullptr): false report of clang-tidy 14.
    auto operator<=>(const Score&) const = default;
  };
  Score best;
  m_selected_version = m_published_version;
  m_selection_valid_until = now + kRefusalValidity;
  for (const std::uint64_t version : CandidateVersions()) {
    Score score;
    for (ShardId shard = 0; shard < m_shards.size(); ++shard) {
      const Support support = SupportOf(shard, version, now);
      if (support != Support::kNone) ++score.possible_shards;
      if (support == Support::kKnown) ++score.known_shards;
    }
    if (score <= best) continue;
    best = score;
    m_selected_version = version;
    if (score.known_shards == m_shards.size()) break;
  }
}

}  // namespace chicoryvale
