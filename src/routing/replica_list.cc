#include "routing/replica_list.h"

#include <algorithm>
#include <iterator>
#include <set>
#include <utility>

#include "base/hash.h"

namespace chicoryvale {
namespace {

/// Changes remembered: those of more seconds than any entry is behind.
constexpr std::size_t kMaxSteps = 64;

}  // namespace

std::uint64_t ReplicaList::HashOf(const ListedReplica& replica) {
  constexpr std::string_view kEnd("\0", 1);
  std::uint64_t hash = HashBytes(replica.id);
  for (const std::string& field :
       {replica.service, replica.address.host_port, replica.availability_zone,
        std::to_string(replica.slots)}) {
    hash = HashBytes(field, HashBytes(kEnd, hash));
  }
  return HashBytes(replica.draining ? "d" : "r", hash);
}

std::vector<ListedReplica> ReplicaList::Replicas(TimePoint now) const {
  std::vector<ListedReplica> replicas;
  replicas.reserve(m_entries.size());
  std::ranges::transform(
      m_entries, std::back_inserter(replicas), [now](const auto& item) {
        ListedReplica replica = item.second.listed;
        replica.warmup_left =
            std::max<Duration>(item.second.warm_at - now, Duration::zero());
        return replica;
      });
  return replicas;
}

void ReplicaList::Put(const ListedReplica& replica, TimePoint read_at,
                      Step* step) {
  const auto known = m_entries.find(replica.id);
  const std::uint64_t hash = HashOf(replica);
  if (known != m_entries.end()) {
    const std::uint64_t old = HashOf(known->second.listed);
    if (old == hash) return;
    m_sum -= old;
  }
  m_sum += hash;
  m_entries[replica.id] = {replica, read_at + replica.warmup_left};
  step->ids.push_back(replica.id);
}

void ReplicaList::Remove(const std::string& id, Step* step) {
  const auto known = m_entries.find(id);
  if (known == m_entries.end()) return;
  m_sum -= HashOf(known->second.listed);
  m_entries.erase(known);
  step->ids.push_back(id);
}

bool ReplicaList::Commit(Step step, TimePoint read_at) {
  m_read_at = read_at;
  const bool first = !IsSet();
  if (step.ids.empty() && !first) return false;
  // An empty list has a version too.
  m_version = m_sum == 0 ? 1 : m_sum;
  if (first) return true;
  m_steps.push_back(std::move(step));
  if (m_steps.size() > kMaxSteps) m_steps.pop_front();
  return true;
}

bool ReplicaList::Replace(const std::vector<ListedReplica>& replicas,
                          TimePoint read_at) {
  if (IsSet() && read_at <= m_read_at) return false;
  Step step{m_version, {}};
  std::set<std::string> listed;
  for (const ListedReplica& replica : replicas) {
    listed.insert(replica.id);
    Put(replica, read_at, &step);
  }
  std::vector<std::string> gone;
  for (const auto& [id, entry] : m_entries) {
    if (!listed.contains(id)) gone.push_back(id);
  }
  for (const std::string& id : gone) Remove(id, &step);
  return Commit(std::move(step), read_at);
}

ReplicaListUpdate ReplicaList::Since(std::uint64_t version,
                                     TimePoint now) const {
  ReplicaListUpdate update;
  update.version = m_version;
  update.same = version == m_version;
  if (update.same) return update;
  const auto from = std::ranges::find(m_steps, version, &Step::from);
  update.whole = version == 0 || from == m_steps.end();
  if (update.whole) {
    update.changed = Replicas(now);
    return update;
  }
  std::set<std::string> ids;
  std::for_each(from, m_steps.end(), [&ids](const Step& step) {
    ids.insert(step.ids.begin(), step.ids.end());
  });
  for (const std::string& id : ids) {
    const auto entry = m_entries.find(id);
    if (entry == m_entries.end()) {
      update.gone.push_back(id);
      continue;
    }
    ListedReplica& replica = update.changed.emplace_back(entry->second.listed);
    replica.warmup_left =
        std::max<Duration>(entry->second.warm_at - now, Duration::zero());
  }
  return update;
}

bool ReplicaList::Apply(const ReplicaListUpdate& update, TimePoint read_at) {
  if (IsSet() && read_at <= m_read_at) return false;
  if (update.same) {
    m_read_at = read_at;
    return false;
  }
  if (update.whole) return Replace(update.changed, read_at);
  Step step{m_version, {}};
  for (const ListedReplica& replica : update.changed) {
    Put(replica, read_at, &step);
  }
  for (const std::string& id : update.gone) Remove(id, &step);
  return Commit(std::move(step), read_at);
}

}  // namespace chicoryvale
