#ifndef CHICORYVALE_SRC_REPLICATION_LOG_TYPES_H_
#define CHICORYVALE_SRC_REPLICATION_LOG_TYPES_H_

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

#include "base/ids.h"

namespace chicoryvale {

/// Identifies one data folder of one replica. Random, never reused; 0 means
/// none.
using NodeId = std::uint64_t;
/// Identifies one control group. Random, never reused; 0 means none.
using GroupId = std::uint64_t;
using Term = std::uint64_t;
/// Index of an entry in the log, starting at 1.
using LogIndex = std::uint64_t;

enum class EntryKind : std::uint8_t {
  /// A no-op, which lets a new leader commit the entries of earlier terms.
  kEmpty,
  /// A command for the state machine.
  kCommand,
  /// An encoded GroupMembership.
  kMembership,
};

// cereal finds the serialize functions by this name.
// NOLINTBEGIN(readability-identifier-naming)

/// One entry of the replicated log.
struct LogEntry {
  LogIndex index = 0;
  Term term = 0;
  EntryKind kind = EntryKind::kEmpty;
  std::string data;
  bool operator==(const LogEntry&) const = default;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(index, term, kind, data);
  }
};

/// Identity of a replica for the lifetime of its data folder.
struct ReplicaIdentity {
  NodeId node_id = 0;
  /// 0 until the replica joins or forms a group.
  GroupId group_id = 0;
  /// Whether the data folder held a damaged state before. Such a replica never
  /// forms a group.
  bool replaces_damaged_state = false;
  bool operator==(const ReplicaIdentity&) const = default;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(node_id, group_id, replaces_damaged_state);
  }
};

/// Term and vote of a replica. They must survive a restart, so they are synced
/// before the replica sends a message that depends on them.
struct HardState {
  Term term = 0;
  /// Candidate that received this replica's vote in `term`; 0 if none.
  NodeId voted_for = 0;
  bool operator==(const HardState&) const = default;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(term, voted_for);
  }
};

/// One member of the group.
struct GroupMember {
  NodeId node_id = 0;
  Address address;
  /// False for a learner, which receives the log but counts in no quorum.
  bool voter = false;
  /// Voter that is removed when this member is promoted; 0 if none.
  NodeId replaced_voter_id = 0;
  bool operator==(const GroupMember&) const = default;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(node_id, address.host_port, voter, replaced_voter_id);
  }
};

/// All members of the group.
struct GroupMembership {
  std::vector<GroupMember> members;
  bool operator==(const GroupMembership&) const = default;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(members);
  }
};

/// The state after all entries up to one index of the log.
struct LogSnapshot {
  LogIndex index = 0;
  Term term = 0;
  /// Newest membership at or before `index`.
  GroupMembership membership;
  /// Bytes that StateMachine::Snapshot returned.
  std::string data;
  bool operator==(const LogSnapshot&) const = default;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(index, term, membership, data);
  }
};
// NOLINTEND(readability-identifier-naming)

/// Returns the member with `node_id`, or nullptr.
const GroupMember* FindMember(const GroupMembership& membership,
                              NodeId node_id);

/// Returns whether `node_id` is a voter.
bool IsVoter(const GroupMembership& membership, NodeId node_id);

/// Returns the number of voters.
std::size_t CountVoters(const GroupMembership& membership);

/// Returns the number of voters in the smallest majority.
std::size_t QuorumSize(const GroupMembership& membership);

}  // namespace chicoryvale

#endif  // CHICORYVALE_SRC_REPLICATION_LOG_TYPES_H_
