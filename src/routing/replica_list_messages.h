#ifndef CHICORYVALE_SRC_ROUTING_REPLICA_LIST_MESSAGES_H_
#define CHICORYVALE_SRC_ROUTING_REPLICA_LIST_MESSAGES_H_

// Messages by which entries pass on the platform's list of replicas.

#include <cstdint>
#include <string>
#include <vector>

#include "base/codec.h"

namespace chicoryvale {

struct ReplicaListQuestion {
  /// Version that the asking entry holds; 0 for none.
  std::uint64_t version = 0;
  /// Age of what it holds: it is answered when there is something newer.
  std::uint32_t age_ms = 0;
  /// Longest time until the answer.
  std::uint32_t wait_ms = 0;

  template <class Archive>
  void serialize(Archive& archive) {  // NOLINT(readability-identifier-naming)
    archive(version, age_ms, wait_ms);
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

struct ReplicaListAnswer {
  /// False if the asked entry has no list; the fields below are empty.
  bool has_list = false;
  /// Time since the platform was asked for it.
  std::uint32_t age_ms = 0;
  /// Time that the question was kept open.
  std::uint32_t held_ms = 0;
  bool same = false;
  bool whole = false;
  std::uint64_t version = 0;
  std::vector<ListedReplicaMessage> changed;
  std::vector<std::string> gone;

  template <class Archive>
  void serialize(Archive& archive) {  // NOLINT(readability-identifier-naming)
    archive(has_list, age_ms, held_ms, same, whole, version, changed, gone);
  }
};

}  // namespace chicoryvale

#endif  // CHICORYVALE_SRC_ROUTING_REPLICA_LIST_MESSAGES_H_
