#ifndef CHICORYVALE_SRC_ROUTING_REPLICA_LIST_H_
#define CHICORYVALE_SRC_ROUTING_REPLICA_LIST_H_

#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <vector>

#include "base/time.h"
#include "routing/replica_pool.h"

namespace chicoryvale {

/// What turns one state of the list into a later one.
struct ReplicaListUpdate {
  /// Both states are the same.
  bool same = false;
  /// `changed` is the whole list.
  bool whole = false;
  /// Version of the later state.
  std::uint64_t version = 0;
  std::vector<ListedReplica> changed;
  /// Ids that are no longer listed.
  std::vector<std::string> gone;
};

/// The platform's list of replicas as of one read, and its last changes. The
/// version is a hash of the content, so entries that read the platform apart
/// from each other agree on it. Deterministic. Not thread safe.
class ReplicaList {
 public:
  /// Returns whether a list was ever taken.
  [[nodiscard]] bool IsSet() const { return m_version != 0; }

  /// Hash of the content; 0 before a list was taken. The time until a replica
  /// is warm is not part of it.
  [[nodiscard]] std::uint64_t Version() const { return m_version; }

  /// When the platform was asked for what is held.
  [[nodiscard]] TimePoint ReadAt() const { return m_read_at; }

  /// Returns the replicas as of `now`, ordered by id.
  [[nodiscard]] std::vector<ListedReplica> Replicas(TimePoint now) const;

  /// Takes a whole list that the platform was asked for at `read_at`; does
  /// nothing if what is held is newer. Returns whether the content changed.
  bool Replace(const std::vector<ListedReplica>& replicas, TimePoint read_at);

  /// Returns what one that holds `version` lacks.
  [[nodiscard]] ReplicaListUpdate Since(std::uint64_t version,
                                        TimePoint now) const;

  /// Takes the answer to a question with the version held; does nothing if what
  /// is held is newer. Returns whether the content changed.
  bool Apply(const ReplicaListUpdate& update, TimePoint read_at);

 private:
  struct Entry {
    ListedReplica listed;
    TimePoint warm_at{};
  };

  /// One step from a state to the next.
  struct Step {
    std::uint64_t from = 0;
    std::vector<std::string> ids;
  };

  static std::uint64_t HashOf(const ListedReplica& replica);
  void Put(const ListedReplica& replica, TimePoint read_at, Step* step);
  void Remove(const std::string& id, Step* step);
  bool Commit(Step step, TimePoint read_at);

  std::map<std::string, Entry> m_entries;
  /// Sum of the hashes of the entries.
  std::uint64_t m_sum = 0;
  std::uint64_t m_version = 0;
  TimePoint m_read_at{};
  /// Oldest first; the last leads to the state held.
  std::deque<Step> m_steps;
};

}  // namespace chicoryvale

#endif  // CHICORYVALE_SRC_ROUTING_REPLICA_LIST_H_
