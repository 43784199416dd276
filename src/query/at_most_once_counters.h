#ifndef CHICORYVALE_SRC_QUERY_AT_MOST_ONCE_COUNTERS_H_
#define CHICORYVALE_SRC_QUERY_AT_MOST_ONCE_COUNTERS_H_

#include <array>
#include <cstdint>
#include <string_view>

#include "base/counters.h"

namespace chicoryvale {

/// Counters of AtMostOnceGuard, which runs requests that are not idempotent at
/// most once.
enum class AtMostOnceCounter : std::uint8_t {
  kRefusedIdMissing,
  kRefusedIdMalformed,
  /// The claim was granted, and the request is dispatched.
  kClaimed,
  /// The claim was refused, for example because another attempt holds it or
  /// the request id has expired.
  kClaimRefused,
  /// The claim failed with an error, for example without a quorum.
  kClaimFailed,
  kClaimTimedOut,
  /// The request was answered from the recorded outcome of an earlier run.
  kReplayed,
  /// The claim was released, because the request did not run.
  kGivenBack,
  /// The answer was recorded, so that resends are answered from it.
  kRecorded,
  /// The claim was kept without an outcome, because the request failed and may
  /// have run.
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
