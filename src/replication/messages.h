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

// The serialize functions are found by cereal; their name is cereal's.
// NOLINTBEGIN(readability-identifier-naming)

/// Asks who answers at an address. Sent by replicas in no group, and by a
/// leader before it adds a replica.
struct HelloRequest {
  /// Random; the reply repeats it, so that old replies are told apart.
  std::uint64_t nonce = 0;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(nonce);
  }
};

/// Tells who answers; the envelope carries identity and group.
struct HelloReply {
  std::uint64_t nonce = 0;
  /// Leader of the sender's group as far as it knows; empty if unknown.
  Address leader;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(nonce, leader.host_port);
  }
};

struct VoteRequest {
  /// True for a pre-vote: would the receiver vote, if asked? Changes nothing.
  bool pre_vote = false;
  LogIndex last_index = 0;
  Term last_term = 0;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(pre_vote, last_index, last_term);
  }
};

struct VoteReply {
  bool pre_vote = false;
  bool granted = false;
  /// The term that the request was for.
  Term requested_term = 0;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(pre_vote, granted, requested_term);
  }
};

/// Entries after `prev_index`; without entries, a heartbeat.
struct AppendRequest {
  LogIndex prev_index = 0;
  Term prev_term = 0;
  LogIndex commit_index = 0;
  /// Number of the leader's latest heartbeat round; the reply repeats it.
  std::uint64_t round = 0;
  std::vector<LogEntry> entries;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(prev_index, prev_term, commit_index, round, entries);
  }
};

struct AppendReply {
  bool accepted = false;
  /// Accepted: the last index that is synced and agrees with the leader's log.
  /// Refused: an index below which the logs may agree.
  LogIndex index = 0;
  std::uint64_t round = 0;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(accepted, index, round);
  }
};

/// One part of an encoded LogSnapshot.
struct SnapshotChunk {
  LogIndex index = 0;
  std::uint64_t total_bytes = 0;
  std::uint64_t offset = 0;
  std::uint64_t round = 0;
  std::string data;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(index, total_bytes, offset, round, data);
  }
};

struct SnapshotReply {
  LogIndex index = 0;
  /// Offset of the chunk that the receiver wants next.
  std::uint64_t next_offset = 0;
  /// The snapshot is installed and synced, or was not needed.
  bool installed = false;
  std::uint64_t round = 0;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(index, next_offset, installed, round);
  }
};

using Message =
    std::variant<HelloRequest, HelloReply, VoteRequest, VoteReply,
                 AppendRequest, AppendReply, SnapshotChunk, SnapshotReply>;

/// A message with its sender and receiver.
struct Envelope {
  /// Group of the sender; 0 if it has none.
  GroupId group_id = 0;
  NodeId from = 0;
  Address from_address;
  /// 0 only in messages of a Hello, to whoever answers at the address.
  NodeId to = 0;
  /// Term of the sender; for a pre-vote, the term that it would begin.
  Term term = 0;
  Message message;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(group_id, from, from_address.host_port, to, term, message);
  }
};
// NOLINTEND(readability-identifier-naming)

/// Returns the bytes of `envelope`.
std::string EncodeEnvelope(const Envelope& envelope);

/// Decodes the bytes of EncodeEnvelope; false if they are damaged.
bool DecodeEnvelope(std::string_view bytes, Envelope* envelope);

}  // namespace chicoryvale

#endif  // CHICORYVALE_SRC_REPLICATION_MESSAGES_H_
