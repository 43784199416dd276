#ifndef CHICORYVALE_SRC_REPLICATION_LOG_TYPES_H_
#define CHICORYVALE_SRC_REPLICATION_LOG_TYPES_H_

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

#include "base/ids.h"

namespace chicoryvale {

/// Identifies one data folder of one replica: random, never reused; 0 is none.
using NodeId = std::uint64_t;
/// Identifies one control group: random, never reused; 0 is none.
using GroupId = std::uint64_t;
using Term = std::uint64_t;
/// Position in the log, from 1.
using LogIndex = std::uint64_t;

enum class EntryKind : std::uint8_t {
  /// No effect: commits what earlier terms left in the log.
  kEmpty,
  /// A command for the state machine.
  kCommand,
  /// An encoded GroupMembership.
  kMembership,
};

// The serialize functions are found by cereal; their name is cereal's.
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

/// Who a replica is, for the life of its data folder.
struct ReplicaIdentity {
  NodeId node_id = 0;
  /// 0 until the replica joins or forms a group.
  GroupId group_id = 0;
  /// Whether a damaged state stood in this folder before; such a replica never
  /// forms a group.
  bool replaces_damaged_state = false;
  bool operator==(const ReplicaIdentity&) const = default;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(node_id, group_id, replaces_damaged_state);
  }
};

/// What a replica must not forget between two messages.
struct HardState {
  Term term = 0;
  /// The candidate that got this replica's vote in `term`; 0 if none.
  NodeId voted_for = 0;
  bool operator==(const HardState&) const = default;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(term, voted_for);
  }
};

/// One replica of the group.
struct GroupMember {
  NodeId node_id = 0;
  Address address;
  /// False for a learner, which gets the log and counts in no quorum.
  bool voter = false;
  /// The voter that leaves when this member is promoted; 0 if none.
  NodeId replaces = 0;
  bool operator==(const GroupMember&) const = default;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(node_id, address.host_port, voter, replaces);
  }
};

/// The replicas of the group.
struct GroupMembership {
  std::vector<GroupMember> members;
  bool operator==(const GroupMembership&) const = default;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(members);
  }
};

/// The state machine at one position of the log.
struct LogSnapshot {
  LogIndex index = 0;
  Term term = 0;
  GroupMembership membership;
  /// Bytes of StateMachine::Snapshot.
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

/// Returns the size of the smallest majority of the voters.
std::size_t QuorumSize(const GroupMembership& membership);

}  // namespace chicoryvale

#endif  // CHICORYVALE_SRC_REPLICATION_LOG_TYPES_H_
