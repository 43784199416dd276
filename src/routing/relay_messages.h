#ifndef CHICORYVALE_SRC_ROUTING_RELAY_MESSAGES_H_
#define CHICORYVALE_SRC_ROUTING_RELAY_MESSAGES_H_

// Messages between an entry and the entry that acts as its relay, in the same
// or in another availability zone.

#include <cstdint>
#include <string>
#include <vector>

#include "base/codec.h"
#include "ports/http.h"

namespace chicoryvale {

struct RelayHeader {
  std::string name;
  std::string value;

  template <class Archive>
  void serialize(Archive& archive) {  // NOLINT(readability-identifier-naming)
    archive(name, value);
  }
};

/// A relay request, or the cancellation of an earlier one.
struct RelayRequestMessage {
  /// Identifies the relay request; unique within one run of the requesting
  /// process.
  std::uint64_t relay_id = 0;
  /// Whether this message cancels the relay request `relay_id`, because the
  /// answer is no longer needed. If so, the fields below are empty.
  bool cancel = false;
  std::string request_id;
  std::string method;
  std::string target;
  std::vector<RelayHeader> headers;
  std::string body;
  std::vector<std::string> services;
  std::uint32_t rank_limit = 0;
  std::uint32_t max_attempts = 1;
  std::uint32_t target_latency_ms = 0;
  std::uint32_t answer_within_ms = 0;
  std::uint32_t time_left_ms = 0;
  /// Name of the workspace that sent the request; empty if there is none. It is
  /// encoded only if set, so that entries of an earlier version read other
  /// requests.
  std::string workspace;

  template <class Archive>
  void save(Archive& archive) const {  // NOLINT(readability-identifier-naming)
    archive(relay_id, cancel, request_id, method, target, headers, body,
            services, rank_limit, max_attempts, target_latency_ms,
            answer_within_ms, time_left_ms);
    if (!workspace.empty()) archive(workspace);
  }
  template <class Archive>
  void load(Archive& archive) {  // NOLINT(readability-identifier-naming)
    archive(relay_id, cancel, request_id, method, target, headers, body,
            services, rank_limit, max_attempts, target_latency_ms,
            answer_within_ms, time_left_ms);
    if (archive.Remaining() > 0) archive(workspace);
  }
};

struct RelayedSubRequestMessage {
  std::uint32_t index = 0;
  std::string signature;

  template <class Archive>
  void serialize(Archive& archive) {  // NOLINT(readability-identifier-naming)
    archive(index, signature);
  }
};

struct MissingSubRequestMessage {
  std::uint32_t index = 0;
  std::uint32_t attempts = 0;

  template <class Archive>
  void serialize(Archive& archive) {  // NOLINT(readability-identifier-naming)
    archive(index, attempts);
  }
};

struct RelayReplyMessage {
  /// Whether the relay accepted the request. If not, nothing ran.
  bool accepted = false;
  std::vector<RelayedSubRequestMessage> answered;
  std::vector<MissingSubRequestMessage> missing;
  std::string body;
  /// Ids of replicas that said in their answers that they drain. This and the
  /// following fields are encoded only as far as they are set, so that entries
  /// of an earlier version read other replies.
  std::vector<std::string> draining_replicas;
  /// Address of a replica to which the connection was lost while it ran a
  /// sub-request; empty if there is none.
  std::string lost_replica;

  template <class Archive>
  void save(Archive& archive) const {  // NOLINT(readability-identifier-naming)
    archive(accepted, answered, missing, body);
    const bool has_lost_replica = !lost_replica.empty();
    if (has_lost_replica || !draining_replicas.empty()) {
      archive(draining_replicas);
    }
    if (has_lost_replica) archive(lost_replica);
  }
  template <class Archive>
  void load(Archive& archive) {  // NOLINT(readability-identifier-naming)
    archive(accepted, answered, missing, body);
    if (archive.Remaining() > 0) archive(draining_replicas);
    if (archive.Remaining() > 0) archive(lost_replica);
  }
};

}  // namespace chicoryvale

#endif  // CHICORYVALE_SRC_ROUTING_RELAY_MESSAGES_H_
