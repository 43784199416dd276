#ifndef CHICORYVALE_SRC_REPLICATION_REPLICA_OPTIONS_H_
#define CHICORYVALE_SRC_REPLICATION_REPLICA_OPTIONS_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

#include "base/ids.h"
#include "base/time.h"
#include "replication/replicator.h"

namespace chicoryvale {

/// Options of one replica.
struct ReplicaOptions {
  /// Address at which the other replicas reach this one.
  Address address;
  /// Addresses of all members of the initial group, including this one. Once
  /// the group exists, they only serve to discover it.
  std::vector<Address> initial_members;
  /// Whether a replica without state may form the initial group.
  bool may_form_group = false;
  /// Seed of the random numbers, from which identities are derived too. It must
  /// differ between replicas and between starts of one replica.
  std::uint64_t seed = 0;

  /// Interval between a leader's heartbeats.
  Duration heartbeat_interval = milliseconds(150);
  /// A voter without contact with a leader starts a campaign after a random
  /// time between these bounds. A leader without contact with a quorum for the
  /// lower bound steps down.
  Duration min_election_timeout = milliseconds(1000);
  Duration max_election_timeout = milliseconds(2000);
  /// Interval between the Hello requests of a replica without contact with a
  /// leader.
  Duration hello_interval = milliseconds(500);
  /// A member that has not replied to the leader for this time is reported as
  /// silent. Shorter than the suspicion of the membership protocol, which has
  /// to work without the heartbeats of a leader.
  Duration silent_member_timeout = milliseconds(1500);
  /// Time that a membership change waits for the reply of the new replica.
  Duration new_member_reply_timeout = milliseconds(1000);

  ReplicatorOptions replicator;
  /// The log is compacted into a snapshot after this many entries, or when it
  /// is larger than `max_log_to_snapshot_ratio` times the last snapshot and
  /// than `min_compacted_log_bytes`. So a replica that has lost its disk
  /// receives what the state weighs, however long its history is. Compaction
  /// keeps the last `trailing_entries`, or fewer if they are larger than the
  /// snapshot, for followers that lag behind.
  std::size_t snapshot_threshold_entries = 4096;
  std::size_t max_log_to_snapshot_ratio = 4;
  std::size_t min_compacted_log_bytes = std::size_t{1} << 20;
  std::size_t trailing_entries = 256;
  /// Maximum size of a proposed command.
  std::size_t max_command_bytes = std::size_t{2} << 20;
  /// Maximum number of pending proposals at a leader, and of pending reads.
  std::size_t max_pending_requests = 4096;
};

/// An operator's change of the group membership.
struct GroupMemberChange {
  /// ReplicaStatus::membership_index that the operator saw. If set, the change
  /// is refused when the membership has changed since then.
  std::optional<LogIndex> expected_index;
  /// Address of the replica that joins; empty for none.
  Address add;
  /// Address of the replica that leaves; empty for none. If `add` is set too,
  /// the replica leaves once the new one is a voter.
  Address remove;
};

}  // namespace chicoryvale

#endif  // CHICORYVALE_SRC_REPLICATION_REPLICA_OPTIONS_H_
