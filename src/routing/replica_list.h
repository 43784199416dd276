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

/// Remaining warmup time of a replica that became cold again.
struct ReplicaWarmupLeft {
  std::string id;
  Duration left{};
};

/// Difference between two states of a replica list.
struct ReplicaListUpdate {
  /// The two states have the same content; the lists below are empty.
  bool unchanged = false;
  /// `updated` contains all replicas of the later state; `removed_ids` is
  /// empty.
  bool full = false;
  /// Version of the later state.
  std::uint64_t version = 0;
  std::vector<ListedReplica> updated;
  /// Ids of the replicas that are no longer listed.
  std::vector<std::string> removed_ids;
  /// Replicas that became cold again since the earlier state. They may be
  /// listed although the content is unchanged.
  std::vector<ReplicaWarmupLeft> cold_again;
};

/// The platform's list of replicas as of one read, with its latest changes. The
/// version is a hash of the content, so entries that read the platform
/// independently get the same version for the same content. Deterministic. Not
/// thread safe.
class ReplicaList {
 public:
  /// Returns whether the list was ever set.
  [[nodiscard]] bool IsSet() const { return m_version != 0; }

  /// Hash of the content; 0 before the list is first set. The remaining warmup
  /// time of a replica is not part of it.
  [[nodiscard]] std::uint64_t Version() const { return m_version; }

  /// Time at which the platform was asked for the current content.
  [[nodiscard]] TimePoint ReadAt() const { return m_read_at; }

  /// Returns the replicas, ordered by id, with their remaining warmup times as
  /// of `now`.
  [[nodiscard]] std::vector<ListedReplica> Replicas(TimePoint now) const;

  /// Replaces the list by one that the platform was asked for at `read_at`.
  /// Does nothing if the current content was read at that time or later.
  /// Returns whether the content changed.
  bool Replace(const std::vector<ListedReplica>& replicas, TimePoint read_at);

  /// Returns the update that leads from `version`, of a list that was read at
  /// `read_at`, to the current version. Its warmup times are those that remain
  /// at ReadAt().
  [[nodiscard]] ReplicaListUpdate UpdateSince(std::uint64_t version,
                                              TimePoint read_at) const;

  /// Applies an update that leads from the current version to a state read at
  /// `read_at`. Does nothing if the current content was read at that time or
  /// later. Returns whether the content changed.
  bool Apply(const ReplicaListUpdate& update, TimePoint read_at);

 private:
  struct StoredReplica {
    ListedReplica listed;
    TimePoint warm_at{};
    /// When the list was read that moved `warm_at` to a later time; the epoch
    /// if none did.
    TimePoint cold_again_read_at{};
  };

  /// One change of the list, from a version to the next one.
  struct Change {
    std::uint64_t from_version = 0;
    std::vector<std::string> ids;
    /// Whether a replica became cold again, which does not change the version.
    bool has_cold_again = false;
  };

  static std::uint64_t HashOf(const ListedReplica& replica);
  void InsertOrUpdate(const ListedReplica& replica, TimePoint read_at,
                      Change* change);
  /// Moves the end of the warmup to `warm_at` if that is later. Returns whether
  /// it did.
  static bool ExtendWarmup(StoredReplica* replica, TimePoint warm_at,
                           TimePoint read_at);
  /// Returns the replicas that became cold again in a list read after
  /// `read_at`, or not long before.
  [[nodiscard]] std::vector<ReplicaWarmupLeft> ColdAgainSince(
      TimePoint read_at) const;
  void Remove(const std::string& id, Change* change);
  bool Commit(Change change, TimePoint read_at);

  std::map<std::string, StoredReplica> m_replicas;
  /// Sum of the hashes of all replicas.
  std::uint64_t m_hash_sum = 0;
  std::uint64_t m_version = 0;
  TimePoint m_read_at{};
  /// Oldest first; the last one leads to the current version.
  std::deque<Change> m_changes;
};

}  // namespace chicoryvale

#endif  // CHICORYVALE_SRC_ROUTING_REPLICA_LIST_H_
