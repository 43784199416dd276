#include "routing/replica_list.h"

#include <algorithm>
#include <iterator>
#include <set>
#include <utility>

#include "base/hash.h"

namespace chicoryvale {
namespace {

/// Maximum number of remembered changes. They cover a longer time than any
/// entry lags behind.
constexpr std::size_t kMaxRememberedChanges = 64;

/// A replica whose warmup ends later than known by more than this has become
/// cold again. Less is the inaccuracy of the list and of its age.
constexpr Duration kMinWarmupExtension = milliseconds(500);

/// Replicas that became cold again are repeated for this long, because the age
/// of a list that an entry states is older than it seems if its request was
/// delayed.
constexpr Duration kColdAgainRepeatTime = seconds(5);

}  // namespace

std::uint64_t ReplicaList::HashOf(const ListedReplica& replica) {
  constexpr std::string_view kSeparator("\0", 1);
  std::uint64_t hash = HashBytes(replica.id);
  for (const std::string& field :
       {replica.service, replica.address.host_port, replica.availability_zone,
        std::to_string(replica.slots)}) {
    hash = HashBytes(field, HashBytes(kSeparator, hash));
  }
  // The version of a list is the sum of these hashes.
  return MixHash(HashBytes(replica.draining ? "d" : "r", hash));
}

std::vector<ListedReplica> ReplicaList::Replicas(TimePoint now) const {
  std::vector<ListedReplica> replicas;
  replicas.reserve(m_replicas.size());
  std::ranges::transform(
      m_replicas, std::back_inserter(replicas), [now](const auto& item) {
        ListedReplica replica = item.second.listed;
        replica.warmup_left =
            std::max<Duration>(item.second.warm_at - now, Duration::zero());
        return replica;
      });
  return replicas;
}

void ReplicaList::InsertOrUpdate(const ListedReplica& replica,
                                 TimePoint read_at, Change* change) {
  const auto known = m_replicas.find(replica.id);
  const std::uint64_t hash = HashOf(replica);
  if (known != m_replicas.end()) {
    const std::uint64_t old_hash = HashOf(known->second.listed);
    if (old_hash == hash) {
      const bool is_cold_again =
          ExtendWarmup(&known->second, read_at + replica.warmup_left, read_at);
      change->has_cold_again = change->has_cold_again || is_cold_again;
      return;
    }
    m_hash_sum -= old_hash;
  }
  m_hash_sum += hash;
  m_replicas[replica.id] = {replica, read_at + replica.warmup_left, {}};
  change->ids.push_back(replica.id);
}

bool ReplicaList::ExtendWarmup(StoredReplica* replica, TimePoint warm_at,
                               TimePoint read_at) {
  const bool is_warm_at_read = warm_at <= read_at;
  if (is_warm_at_read || warm_at <= replica->warm_at + kMinWarmupExtension) {
    return false;
  }
  replica->warm_at = warm_at;
  replica->cold_again_read_at = read_at;
  return true;
}

std::vector<ReplicaWarmupLeft> ReplicaList::ColdAgainSince(
    TimePoint read_at) const {
  std::vector<ReplicaWarmupLeft> cold;
  for (const auto& [id, replica] : m_replicas) {
    const bool is_known =
        replica.cold_again_read_at + kColdAgainRepeatTime <= read_at;
    if (replica.cold_again_read_at == TimePoint{} || is_known) continue;
    if (replica.warm_at > m_read_at) {
      cold.push_back({id, replica.warm_at - m_read_at});
    }
  }
  return cold;
}

void ReplicaList::Remove(const std::string& id, Change* change) {
  const auto known = m_replicas.find(id);
  if (known == m_replicas.end()) return;
  m_hash_sum -= HashOf(known->second.listed);
  m_replicas.erase(known);
  change->ids.push_back(id);
}

bool ReplicaList::Commit(Change change, TimePoint read_at) {
  m_read_at = read_at;
  const bool is_first = !IsSet();
  if (change.ids.empty() && !is_first) return change.has_cold_again;
  // An empty list also gets a version other than 0.
  m_version = m_hash_sum == 0 ? 1 : m_hash_sum;
  if (is_first) return true;
  m_changes.push_back(std::move(change));
  if (m_changes.size() > kMaxRememberedChanges) m_changes.pop_front();
  return true;
}

bool ReplicaList::Replace(const std::vector<ListedReplica>& replicas,
                          TimePoint read_at) {
  if (IsSet() && read_at <= m_read_at) return false;
  Change change{m_version, {}, false};
  std::set<std::string> listed_ids;
  for (const ListedReplica& replica : replicas) {
    listed_ids.insert(replica.id);
    InsertOrUpdate(replica, read_at, &change);
  }
  std::vector<std::string> removed;
  for (const auto& [id, stored] : m_replicas) {
    if (!listed_ids.contains(id)) removed.push_back(id);
  }
  for (const std::string& id : removed) Remove(id, &change);
  return Commit(std::move(change), read_at);
}

ReplicaListUpdate ReplicaList::UpdateSince(std::uint64_t version,
                                           TimePoint read_at) const {
  ReplicaListUpdate update;
  update.version = m_version;
  update.unchanged = version == m_version;
  update.cold_again = ColdAgainSince(read_at);
  if (update.unchanged) return update;
  const auto first_change =
      std::ranges::find(m_changes, version, &Change::from_version);
  update.full = version == 0 || first_change == m_changes.end();
  if (update.full) {
    update.updated = Replicas(m_read_at);
    return update;
  }
  std::set<std::string> ids;
  std::for_each(first_change, m_changes.end(), [&ids](const Change& change) {
    ids.insert(change.ids.begin(), change.ids.end());
  });
  for (const std::string& id : ids) {
    const auto stored = m_replicas.find(id);
    if (stored == m_replicas.end()) {
      update.removed_ids.push_back(id);
      continue;
    }
    ListedReplica& replica = update.updated.emplace_back(stored->second.listed);
    replica.warmup_left = std::max<Duration>(stored->second.warm_at - m_read_at,
                                             Duration::zero());
  }
  return update;
}

bool ReplicaList::Apply(const ReplicaListUpdate& update, TimePoint read_at) {
  if (IsSet() && read_at <= m_read_at) return false;
  Change change{m_version, {}, false};
  for (const ReplicaWarmupLeft& cold : update.cold_again) {
    const auto known = m_replicas.find(cold.id);
    if (known == m_replicas.end()) continue;
    const bool is_cold_again =
        ExtendWarmup(&known->second, read_at + cold.left, read_at);
    change.has_cold_again = change.has_cold_again || is_cold_again;
  }
  if (update.unchanged) return Commit(std::move(change), read_at);
  if (update.full) {
    return Replace(update.updated, read_at) || change.has_cold_again;
  }
  for (const ListedReplica& replica : update.updated) {
    InsertOrUpdate(replica, read_at, &change);
  }
  for (const std::string& id : update.removed_ids) Remove(id, &change);
  return Commit(std::move(change), read_at);
}

}  // namespace chicoryvale
