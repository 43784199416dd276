#ifndef CHICORYVALE_SRC_REPLICATION_REPLICA_STATUS_H_
#define CHICORYVALE_SRC_REPLICATION_REPLICA_STATUS_H_

#include <array>
#include <cstdint>
#include <string_view>
#include <vector>

#include "base/counters.h"
#include "base/ids.h"
#include "replication/log_types.h"

namespace chicoryvale {

/// Role of a replica in its group.
enum class ReplicaRole : std::uint8_t {
  /// The replica is in no group.
  kUnformed,
  /// Receives the log but counts in no quorum.
  kLearner,
  kFollower,
  kPreCandidate,
  kCandidate,
  kLeader,
  /// The storage failed; the process must end.
  kFailed,
};

/// Returns the name of `role`, for example "leader". Thread safe.
std::string_view ReplicaRoleName(ReplicaRole role);

/// State of a replica and of its group, as far as the replica knows it.
struct ReplicaStatus {
  ReplicaRole role = ReplicaRole::kUnformed;
  ReplicaIdentity identity;
  Term term = 0;
  /// Address of the leader; empty if unknown.
  Address leader;
  LogIndex commit_index = 0;
  LogIndex applied_index = 0;
  /// Index of the last entry in the log.
  LogIndex last_index = 0;
  /// Index of the last entry that the stored snapshot covers.
  LogIndex snapshot_index = 0;
  /// Newest membership in the log, and the index of its entry, which is the
  /// version of the group.
  GroupMembership membership;
  LogIndex membership_index = 0;
  /// Whether the newest membership is committed.
  bool membership_committed = false;
  /// Members that have not replied to this leader for
  /// ReplicaOptions::silent_member_timeout; empty unless it is the leader.
  std::vector<NodeId> silent_members;
};

/// Counted events of a replica.
enum class ReplicationCounter : std::uint8_t {
  kPreVotesStarted,
  kElectionsStarted,
  kElectionsWon,
  kSteppedDownWithoutQuorum,
  kSteppedDownForTerm,
  kMessagesMalformed,
  kMessagesForOtherIdentity,
  kMessagesOfOtherGroup,
  kMessagesOfOldTerm,
  kVotesRefused,
  kAppendsRefused,
  kProposalsRefusedNotLeader,
  kProposalsRefusedOverload,
  kProposalsRefusedTooLarge,
  kProposalsLost,
  kReadsRefusedNotLeader,
  kReadsLost,
  kEntriesApplied,
  kSnapshotsTaken,
  kSnapshotsInstalled,
  kMembershipChanges,
  kMessagesSent,
  kBytesSent,
};

template <>
struct CounterNames<ReplicationCounter> {
  static constexpr std::array<std::string_view, 23> kNames = {
      "replication_pre_votes_started",
      "replication_elections_started",
      "replication_elections_won",
      "replication_stepped_down_without_quorum",
      "replication_stepped_down_for_term",
      "replication_messages_malformed",
      "replication_messages_for_other_identity",
      "replication_messages_of_other_group",
      "replication_messages_of_old_term",
      "replication_votes_refused",
      "replication_appends_refused",
      "replication_proposals_refused_not_leader",
      "replication_proposals_refused_overload",
      "replication_proposals_refused_too_large",
      "replication_proposals_lost",
      "replication_reads_refused_not_leader",
      "replication_reads_lost",
      "replication_entries_applied",
      "replication_snapshots_taken",
      "replication_snapshots_installed",
      "replication_membership_changes",
      "replication_messages_sent",
      "replication_bytes_sent",
  };
};

}  // namespace chicoryvale

#endif  // CHICORYVALE_SRC_REPLICATION_REPLICA_STATUS_H_
