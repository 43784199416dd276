#ifndef CHICORYVALE_SRC_BASE_TIME_H_
#define CHICORYVALE_SRC_BASE_TIME_H_

#include <chrono>

namespace chicoryvale {

/// Length of time, in microseconds.
using Duration = std::chrono::microseconds;

/// Monotonic time of one process; values of two processes do not compare.
using TimePoint = std::chrono::time_point<std::chrono::steady_clock, Duration>;

using std::chrono::microseconds;
using std::chrono::milliseconds;
using std::chrono::seconds;

/// Returns `duration` as a fraction of seconds.
constexpr double ToSeconds(Duration duration) {
  return std::chrono::duration<double>(duration).count();
}

}  // namespace chicoryvale

#endif  // CHICORYVALE_SRC_BASE_TIME_H_
