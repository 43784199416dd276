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

/// Bounds of the messages that carry the log.
struct ReplicatorOptions {
  std::size_t max_append_bytes = std::size_t{256} << 10;
  std::size_t snapshot_chunk_bytes = std::size_t{256} << 10;
};

/// What a leader knows about each other replica in one term, and what it sends
/// them next. One message with content is on its way to each replica at a time;
/// it is sent again once a heartbeat after it was answered (Ongaro and
/// Ousterhout, section 5.3). Not thread safe.
class Replicator {
 public:
  /// `log` must outlive the replicator; `self` is the leader.
  Replicator(const LogStorage* log, NodeId self,
             const ReplicatorOptions& options);

  /// Follows the members of the log's newest membership; forgets the others. A
  /// new one counts as heard at `now`.
  void UpdateMembers(TimePoint now);

  /// Returns the next message with content for `node`, or nothing if it has all
  /// or has not answered the last one.
  std::optional<Message> NextContent(NodeId node, LogIndex commit_index);

  /// Returns a heartbeat without entries. Its answer shows whether content that
  /// was not answered has to be sent again.
  Message NextHeartbeat(NodeId node, LogIndex commit_index);

  void OnAppendReply(NodeId node, const AppendReply& reply, TimePoint now);
  void OnSnapshotReply(NodeId node, const SnapshotReply& reply, TimePoint now);

  /// Begins a heartbeat round and returns its number.
  std::uint64_t StartRound() { return ++m_round; }

  /// Returns the highest index that a quorum holds, the leader up to
  /// `own_synced`.
  [[nodiscard]] LogIndex QuorumIndex(LogIndex own_synced) const;

  /// Returns the latest round that a quorum answered, the leader included.
  [[nodiscard]] std::uint64_t QuorumRound() const;

  /// Returns whether a quorum was heard after `since`, the leader included.
  [[nodiscard]] bool HeardQuorum(TimePoint since) const;

  /// Returns whether `node` is the leader or was heard after `since`.
  [[nodiscard]] bool Heard(NodeId node, TimePoint since) const;

  /// Returns whether `node` has synced all entries up to `index`.
  [[nodiscard]] bool HasSynced(NodeId node, LogIndex index) const;

 private:
  struct Progress {
    /// Last index known to agree and to be synced.
    LogIndex match = 0;
    /// First index to send.
    LogIndex next = 1;
    /// Content was sent and not answered.
    bool waiting = false;
    /// A heartbeat was sent since.
    bool probed = false;
    /// Last index of that content.
    LogIndex sent_through = 0;
    /// Offset into the snapshot `snapshot_index`; 0 is no transfer.
    LogIndex snapshot_index = 0;
    std::uint64_t snapshot_offset = 0;
    std::uint64_t round = 0;
    TimePoint heard;
  };

  // Notes a reply of `node` to the heartbeat round `round`; nullptr for a node
  // that is not followed.
  Progress* NoteHeard(NodeId node, std::uint64_t round, TimePoint now);
  // Takes everything up to `index` as agreed and synced.
  static void Advance(Progress* progress, LogIndex index);
  [[nodiscard]] bool NeedsSnapshot(const Progress& progress) const;
  Message MakeChunk(Progress* progress);
  [[nodiscard]] AppendRequest MakeAppend(LogIndex prev_index,
                                         LogIndex commit_index) const;
  Message MakeEntries(Progress* progress, LogIndex commit_index);
  const std::string& EncodedSnapshot();

  template <typename Value, typename Projection>
  [[nodiscard]] Value QuorumValue(Value own, Projection projection) const;

  const LogStorage* m_log;
  NodeId m_self;
  ReplicatorOptions m_options;
  std::uint64_t m_round = 0;
  std::map<NodeId, Progress> m_progress;
  /// Encoded snapshot of the log, made when one is first sent.
  LogIndex m_encoded_index = 0;
  std::string m_encoded;
};

}  // namespace chicoryvale

#endif  // CHICORYVALE_SRC_REPLICATION_REPLICATOR_H_
