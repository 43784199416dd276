#ifndef CHICORYVALE_SRC_REPLICATION_MESSAGES_H_
#define CHICORYVALE_SRC_REPLICATION_MESSAGES_H_

#include <cstdint>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "base/ids.h"
#include "replication/log_types.h"

namespace chicoryvale {

// cereal finds the serialize functions by this name.
// NOLINTBEGIN(readability-identifier-naming)

/// Asks the replica at an address to identify itself. Sent by replicas without
/// a group or without recent contact with a leader, and by a leader before it
/// adds a replica.
struct HelloRequest {
  /// Random. The reply repeats it, so that the sender can ignore replies to
  /// earlier requests.
  std::uint64_t nonce = 0;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(nonce);
  }
};

/// Identifies the sender. The envelope carries its identity and group.
struct HelloReply {
  /// Nonce of the request.
  std::uint64_t nonce = 0;
  /// Leader of the sender's group as far as the sender knows; empty if
  /// unknown.
  Address leader;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(nonce, leader.host_port);
  }
};

/// Asks for a vote or a pre-vote in the term of the envelope.
struct VoteRequest {
  /// True for a pre-vote, which asks whether the receiver would grant its vote
  /// and changes no state.
  bool pre_vote = false;
  /// Index and term of the last entry in the candidate's log.
  LogIndex last_index = 0;
  Term last_term = 0;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(pre_vote, last_index, last_term);
  }
};

/// Grants or refuses a vote or a pre-vote.
struct VoteReply {
  bool pre_vote = false;
  bool granted = false;
  /// Term of the request.
  Term requested_term = 0;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(pre_vote, granted, requested_term);
  }
};

/// Log entries after `prev_index`. A request without entries is a heartbeat.
struct AppendRequest {
  /// Index and term of the entry before `entries`.
  LogIndex prev_index = 0;
  Term prev_term = 0;
  /// Commit index of the leader.
  LogIndex commit_index = 0;
  /// Number of the leader's latest heartbeat round. The reply repeats it.
  std::uint64_t heartbeat_round = 0;
  std::vector<LogEntry> entries;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(prev_index, prev_term, commit_index, heartbeat_round, entries);
  }
};

/// Accepts or refuses an AppendRequest.
struct AppendReply {
  bool accepted = false;
  /// If accepted: the last index that is synced and matches the leader's log.
  /// If refused: an index at or below which the logs may match.
  LogIndex index = 0;
  std::uint64_t heartbeat_round = 0;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(accepted, index, heartbeat_round);
  }
};

/// One chunk of an encoded LogSnapshot in a snapshot transfer.
struct SnapshotChunk {
  /// LogSnapshot::index of the snapshot.
  LogIndex index = 0;
  /// Size of the encoded snapshot.
  std::uint64_t total_bytes = 0;
  /// Offset of `data` in the encoded snapshot.
  std::uint64_t offset = 0;
  std::uint64_t heartbeat_round = 0;
  std::string data;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(index, total_bytes, offset, heartbeat_round, data);
  }
};

/// Reports how much of a snapshot the receiver has.
struct SnapshotReply {
  /// LogSnapshot::index of the snapshot.
  LogIndex index = 0;
  /// Offset of the next chunk that the receiver needs.
  std::uint64_t next_offset = 0;
  /// Whether the snapshot is installed and synced, or was not needed.
  bool installed = false;
  std::uint64_t heartbeat_round = 0;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(index, next_offset, installed, heartbeat_round);
  }
};

using Message =
    std::variant<HelloRequest, HelloReply, VoteRequest, VoteReply,
                 AppendRequest, AppendReply, SnapshotChunk, SnapshotReply>;

/// A message with its sender, receiver and term.
struct Envelope {
  /// Group of the sender; 0 if it has none.
  GroupId group_id = 0;
  NodeId from = 0;
  Address from_address;
  /// Identity of the receiver. 0 only in Hello messages, which any replica at
  /// the address handles.
  NodeId to = 0;
  /// Term of the sender; for a pre-vote, the term that the candidate would
  /// start.
  Term term = 0;
  Message message;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(group_id, from, from_address.host_port, to, term, message);
  }
};
// NOLINTEND(readability-identifier-naming)

/// Returns the encoded `envelope`.
std::string EncodeEnvelope(const Envelope& envelope);

/// Decodes the result of EncodeEnvelope. Returns false if the bytes are
/// malformed.
bool DecodeEnvelope(std::string_view bytes, Envelope* envelope);

}  // namespace chicoryvale

#endif  // CHICORYVALE_SRC_REPLICATION_MESSAGES_H_
