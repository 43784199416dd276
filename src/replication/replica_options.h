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

/// Settings of one replica.
struct ReplicaOptions {
  /// Where the other replicas reach this one.
  Address address;
  /// Addresses of the first group, this one included. Afterwards only a list of
  /// where to look for the group.
  std::vector<Address> initial_members;
  /// Whether a replica without state may form the first group.
  bool may_form_group = false;
  /// Must differ at each start of each replica; also makes identities.
  std::uint64_t seed = 0;

  Duration heartbeat_interval = milliseconds(150);
  /// A replica that heard no leader for a time between these bounds campaigns;
  /// a leader that heard no quorum for the lower one steps down.
  Duration min_election_timeout = milliseconds(1000);
  Duration max_election_timeout = milliseconds(2000);
  Duration hello_interval = milliseconds(500);
  /// How long a change of members waits for the new replica to answer.
  Duration member_answer_timeout = milliseconds(5000);

  ReplicatorOptions replicator;
  /// The log is compacted after this many entries or bytes, and keeps the
  /// trailing entries for replicas that lag.
  std::size_t snapshot_threshold_entries = 4096;
  std::size_t snapshot_log_bytes = std::size_t{16} << 20;
  std::size_t trailing_entries = 256;
  std::size_t max_command_bytes = std::size_t{2} << 20;
  /// Proposals and reads that may wait at a leader, each.
  std::size_t max_waiting = 4096;
};

/// A change of the group's members.
struct GroupMemberChange {
  /// ReplicaStatus::membership_index that the operator saw; if set, the change
  /// is refused when the members have changed since.
  std::optional<LogIndex> expected_index;
  /// Address of the replica that joins; empty for none.
  Address add;
  /// Address of the replica that leaves; empty for none. With `add`, it leaves
  /// once the new one counts.
  Address remove;
};

}  // namespace chicoryvale

#endif  // CHICORYVALE_SRC_REPLICATION_REPLICA_OPTIONS_H_
