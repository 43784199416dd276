#ifndef CHICORYVALE_SRC_ADMISSION_ADMISSION_COUNTERS_H_
#define CHICORYVALE_SRC_ADMISSION_ADMISSION_COUNTERS_H_

#include <array>
#include <cstdint>
#include <string_view>

#include "base/counters.h"

namespace chicoryvale {

/// Counters of admission control.
enum class AdmissionCounter : std::uint8_t {
  kSubmitted,
  kAdmitted,
  kQueued,
  kRefusedTooLate,
  kRefusedWaitTooLong,
  kRefusedQueueFull,
  kRefusedOverShare,
  kEvictedOverShare,
  kDroppedTooLate,
  kCancelled,
};

template <>
struct CounterNames<AdmissionCounter> {
  static constexpr std::array<std::string_view, 10> kNames = {
      "admission_submitted",
      "admission_admitted",
      "admission_queued",
      "admission_refused_too_late",
      "admission_refused_wait_too_long",
      "admission_refused_queue_full",
      "admission_refused_over_share",
      "admission_evicted_over_share",
      "admission_dropped_too_late",
      "admission_cancelled"};
};

using AdmissionCounters = CounterSet<AdmissionCounter>;

}  // namespace chicoryvale

#endif  // CHICORYVALE_SRC_ADMISSION_ADMISSION_COUNTERS_H_
