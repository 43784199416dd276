#ifndef CHICORYVALE_SRC_QUERY_AT_MOST_ONCE_COUNTERS_H_
#define CHICORYVALE_SRC_QUERY_AT_MOST_ONCE_COUNTERS_H_

#include <array>
#include <cstdint>
#include <string_view>

#include "base/counters.h"

namespace chicoryvale {

/// Counters of requests that may run at most once.
enum class AtMostOnceCounter : std::uint8_t {
  kRefusedIdMissing,
  kRefusedIdMalformed,
  kClaimed,
  kClaimRefused,
  kClaimFailed,
  kClaimTimedOut,
  kReplayed,
  kGivenBack,
  kRecorded,
  kLeftClaimed,
  kCancelled,
};

template <>
struct CounterNames<AtMostOnceCounter> {
  static constexpr std::array<std::string_view, 11> kNames = {
      "once_refused_id_missing",
      "once_refused_id_malformed",
      "once_claimed",
      "once_claim_refused",
      "once_claim_failed",
      "once_claim_timed_out",
      "once_replayed",
      "once_given_back",
      "once_recorded",
      "once_left_claimed",
      "once_cancelled"};
};

}  // namespace chicoryvale

#endif  // CHICORYVALE_SRC_QUERY_AT_MOST_ONCE_COUNTERS_H_
