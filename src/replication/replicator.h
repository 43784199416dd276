#ifndef CHICORYVALE_SRC_REPLICATION_REPLICATOR_H_
#define CHICORYVALE_SRC_REPLICATION_REPLICATOR_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>

#include "base/time.h"
#include "replication/log_storage.h"
#include "replication/messages.h"

namespace chicoryvale {

/// Size limits of the messages that carry entries or snapshots.
struct ReplicatorOptions {
  std::size_t max_append_bytes = std::size_t{256} << 10;
  std::size_t snapshot_chunk_bytes = std::size_t{256} << 10;
};

/// Tracks the replication progress of each other replica during one term of a
/// leader, and makes the next message for it. A data message carries entries or
/// a snapshot chunk. At most one data message to each replica is in flight; it
/// is sent again once the replica has replied to a later heartbeat (Ongaro and
/// Ousterhout, section 5.3). Not thread safe.
class Replicator {
 public:
  /// `log` must outlive the replicator. `self` is the leader.
  Replicator(const LogStorage* log, NodeId self,
             const ReplicatorOptions& options);

  /// Tracks the members of the log's newest membership and no others. The last
  /// contact of a new member is set to `now`.
  void UpdateMembers(TimePoint now);

  /// Returns the next data message for `node`, or nothing if all entries have
  /// been sent or the last data message is in flight.
  std::optional<Message> NextDataMessage(NodeId node, LogIndex commit_index);

  /// Returns a heartbeat without entries. If a data message is in flight, it is
  /// sent again once the reply to this heartbeat arrives.
  Message NextHeartbeat(NodeId node, LogIndex commit_index);

  void OnAppendReply(NodeId node, const AppendReply& reply, TimePoint now);
  void OnSnapshotReply(NodeId node, const SnapshotReply& reply, TimePoint now);

  /// Starts a heartbeat round and returns its number. All messages from now on
  /// carry at least `commit_index`.
  std::uint64_t StartRound(LogIndex commit_index);

  /// Returns the highest index up to which a quorum has synced the log. The
  /// leader itself has synced it up to `leader_synced_index`.
  [[nodiscard]] LogIndex QuorumIndex(LogIndex leader_synced_index) const;

  /// Returns the latest heartbeat round to which a quorum, including the
  /// leader, has replied.
  [[nodiscard]] std::uint64_t QuorumHeartbeatRound() const;

  /// Returns the highest index that a quorum knows to be committed. The leader
  /// itself knows it of `leader_commit_index`.
  [[nodiscard]] LogIndex QuorumKnownCommit(LogIndex leader_commit_index) const;

  /// Returns whether `node` is known to know that `index` is committed.
  [[nodiscard]] bool KnowsCommit(NodeId node, LogIndex index) const;

  /// Returns whether a data message to `node` is in flight.
  [[nodiscard]] bool IsAwaitingReply(NodeId node) const;

  /// Returns whether a quorum, including the leader, has replied after `since`.
  [[nodiscard]] bool HasQuorumContact(TimePoint since) const;

  /// Returns whether `node` is the leader or has replied after `since`.
  [[nodiscard]] bool HasContact(NodeId node, TimePoint since) const;

  /// Returns whether `node` has synced all entries up to `index`.
  [[nodiscard]] bool HasSynced(NodeId node, LogIndex index) const;

 private:
  struct Progress {
    /// Last index that is known to match the leader's log and to be synced.
    LogIndex match_index = 0;
    /// Index of the next entry to send.
    LogIndex next_index = 1;
    /// Whether a data message is in flight.
    bool awaiting_reply = false;
    /// Whether a heartbeat was sent after that data message.
    bool heartbeat_sent = false;
    /// Last index that this data message carries.
    LogIndex last_sent_index = 0;
    /// Index of the snapshot in transfer; 0 if there is none.
    LogIndex snapshot_index = 0;
    /// Offset of the next chunk of that snapshot.
    std::uint64_t snapshot_offset = 0;
    /// Latest heartbeat round to which the replica replied.
    std::uint64_t heartbeat_round = 0;
    /// Last index that the replica is known to know to be committed.
    LogIndex known_commit = 0;
    /// Time of the last reply.
    TimePoint last_contact;
  };

  // Records a reply of `node` to `heartbeat_round` and returns its progress, or
  // nullptr if `node` is not a member.
  Progress* RecordReply(NodeId node, std::uint64_t heartbeat_round,
                        TimePoint now);
  // Records that the log matches and is synced up to `index`.
  static void AdvanceMatchIndex(Progress* progress, LogIndex index);
  [[nodiscard]] bool NeedsSnapshot(const Progress& progress) const;
  // Returns the commit index that each message of `heartbeat_round` carried at
  // least; 0 if that is not remembered.
  [[nodiscard]] LogIndex CommitOfRound(std::uint64_t heartbeat_round) const;
  Message MakeSnapshotChunk(Progress* progress);
  [[nodiscard]] AppendRequest MakeAppendRequest(LogIndex prev_index,
                                                LogIndex commit_index) const;
  Message MakeEntriesMessage(Progress* progress, LogIndex commit_index);
  const std::string& EncodedSnapshot();

  template <typename Value, typename Projection>
  [[nodiscard]] Value QuorumValue(Value own, Projection projection) const;

  const LogStorage* m_log;
  NodeId m_self;
  ReplicatorOptions m_options;
  std::uint64_t m_heartbeat_round = 0;
  /// Commit index at the start of each of the latest rounds.
  std::map<std::uint64_t, LogIndex> m_commit_by_round;
  std::map<NodeId, Progress> m_progress;
  /// Index and bytes of the encoded snapshot of the log. It is encoded when its
  /// first chunk is sent.
  LogIndex m_encoded_snapshot_index = 0;
  std::string m_encoded_snapshot;
};

}  // namespace chicoryvale

#endif  // CHICORYVALE_SRC_REPLICATION_REPLICATOR_H_
