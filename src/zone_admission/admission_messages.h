#ifndef CHICORYVALE_SRC_ZONE_ADMISSION_ADMISSION_MESSAGES_H_
#define CHICORYVALE_SRC_ZONE_ADMISSION_ADMISSION_MESSAGES_H_

// Messages between an entry and the entry that owns a group of replicas in
// their availability zone.

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "base/codec.h"

namespace chicoryvale {

/// Asks for the admission of one request.
struct AdmissionAskMessage {
  std::string workspace;
  std::uint32_t priority = 0;
  std::uint64_t target_latency_us = 0;
  std::uint64_t time_limit_us = 0;

  template <class Archive>
  void serialize(Archive& archive) {  // NOLINT(readability-identifier-naming)
    archive(workspace, priority, target_latency_us, time_limit_us);
  }
};

/// A request that has ended.
struct AdmissionEndMessage {
  /// Ticket of the request; 0 if the entry did not ask for it.
  std::uint64_t ticket = 0;
  std::uint64_t target_latency_us = 0;
  std::uint64_t time_in_flight_us = 0;
  /// Value of an AdmittedOutcome.
  std::uint8_t outcome = 0;

  template <class Archive>
  void serialize(Archive& archive) {  // NOLINT(readability-identifier-naming)
    archive(ticket, target_latency_us, time_in_flight_us, outcome);
  }
};

/// Reports the requests of an entry, or asks for the admission of one.
struct AdmissionCallMessage {
  std::string group;
  /// Requests in flight for which the entry did not ask this owner.
  std::uint32_t in_flight = 0;
  std::vector<AdmissionEndMessage> ended;
  std::optional<AdmissionAskMessage> ask;

  template <class Archive>
  void serialize(Archive& archive) {  // NOLINT(readability-identifier-naming)
    archive(group, in_flight, ended, ask);
  }
};

struct AdmissionReplyMessage {
  /// Whether entries should ask before they send a request.
  bool is_saturated = false;
  /// Whether the request that the call asked for is admitted; if so, its
  /// ticket, otherwise the time after which its caller should retry.
  bool is_admitted = false;
  std::uint64_t ticket = 0;
  std::uint64_t retry_after_us = 0;

  template <class Archive>
  void serialize(Archive& archive) {  // NOLINT(readability-identifier-naming)
    archive(is_saturated, is_admitted, ticket, retry_after_us);
  }
};

}  // namespace chicoryvale

#endif  // CHICORYVALE_SRC_ZONE_ADMISSION_ADMISSION_MESSAGES_H_
