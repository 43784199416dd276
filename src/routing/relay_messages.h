#ifndef CHICORYVALE_SRC_ROUTING_RELAY_MESSAGES_H_
#define CHICORYVALE_SRC_ROUTING_RELAY_MESSAGES_H_

// Messages between an entry and a relay in another zone.

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

/// A question, or the end of one.
struct RelayRequestMessage {
  /// Differs for each question of one run of the asking process.
  std::uint64_t question = 0;
  /// The caller has gone: the question `question` is of no more use, and the
  /// fields below are empty.
  bool cancel = false;
  std::string id;
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

  template <class Archive>
  void serialize(Archive& archive) {  // NOLINT(readability-identifier-naming)
    archive(question, cancel, id, method, target, headers, body, services,
            rank_limit, max_attempts, target_latency_ms, answer_within_ms,
            time_left_ms);
  }
};

struct RelayPartMessage {
  std::uint32_t index = 0;
  std::string signature;

  template <class Archive>
  void serialize(Archive& archive) {  // NOLINT(readability-identifier-naming)
    archive(index, signature);
  }
};

struct RelayMissingMessage {
  std::uint32_t index = 0;
  std::uint32_t attempts = 0;

  template <class Archive>
  void serialize(Archive& archive) {  // NOLINT(readability-identifier-naming)
    archive(index, attempts);
  }
};

struct RelayReplyMessage {
  /// False if the relay did not take the question: nothing ran.
  bool taken = false;
  std::vector<RelayPartMessage> parts;
  std::vector<RelayMissingMessage> missing;
  std::string body;

  template <class Archive>
  void serialize(Archive& archive) {  // NOLINT(readability-identifier-naming)
    archive(taken, parts, missing, body);
  }
};

}  // namespace chicoryvale

#endif  // CHICORYVALE_SRC_ROUTING_RELAY_MESSAGES_H_
