#ifndef CHICORYVALE_SRC_ROUTING_REPLICA_LIST_MESSAGES_H_
#define CHICORYVALE_SRC_ROUTING_REPLICA_LIST_MESSAGES_H_

// Messages by which entries exchange the platform's list of replicas.

#include <cstdint>
#include <string>
#include <vector>

#include "base/codec.h"

namespace chicoryvale {

struct ReplicaListRequest {
  /// Version of the list at the requesting entry; 0 if it has none.
  std::uint64_t version = 0;
  /// Time since the platform was asked for that list. The reply is sent once
  /// the other entry has a newer list.
  std::uint32_t age_ms = 0;
  /// Maximum time until the reply.
  std::uint32_t max_wait_ms = 0;

  template <class Archive>
  void serialize(Archive& archive) {  // NOLINT(readability-identifier-naming)
    archive(version, age_ms, max_wait_ms);
  }
};

struct ListedReplicaMessage {
  std::string id;
  std::string service;
  std::string address;
  std::string availability_zone;
  std::uint32_t slots = 0;
  bool draining = false;
  std::uint32_t warmup_left_ms = 0;

  template <class Archive>
  void serialize(Archive& archive) {  // NOLINT(readability-identifier-naming)
    archive(id, service, address, availability_zone, slots, draining,
            warmup_left_ms);
  }
};

/// Remaining warmup time of a replica that became cold again.
struct WarmupLeftMessage {
  std::string id;
  std::uint32_t left_ms = 0;

  template <class Archive>
  void serialize(Archive& archive) {  // NOLINT(readability-identifier-naming)
    archive(id, left_ms);
  }
};

struct ReplicaListReply {
  /// Whether the replying entry has a list. If not, the fields below are empty.
  bool has_list = false;
  /// Time since the platform was asked for the list.
  std::uint32_t age_ms = 0;
  /// Time for which the request was pending at the replying entry.
  std::uint32_t pending_ms = 0;
  bool unchanged = false;
  bool full = false;
  std::uint64_t version = 0;
  std::vector<ListedReplicaMessage> updated;
  std::vector<std::string> removed_ids;
  /// Encoded only if set, as earlier builds don't know it.
  std::vector<WarmupLeftMessage> cold_again;

  // NOLINTBEGIN(readability-identifier-naming)
  template <class Archive>
  void save(Archive& archive) const {
    archive(has_list, age_ms, pending_ms, unchanged, full, version, updated,
            removed_ids);
    if (!cold_again.empty()) archive(cold_again);
  }
  template <class Archive>
  void load(Archive& archive) {
    archive(has_list, age_ms, pending_ms, unchanged, full, version, updated,
            removed_ids);
    if (archive.Remaining() > 0) archive(cold_again);
  }
  // NOLINTEND(readability-identifier-naming)
};

}  // namespace chicoryvale

#endif  // CHICORYVALE_SRC_ROUTING_REPLICA_LIST_MESSAGES_H_
