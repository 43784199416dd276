#ifndef CHICORYVALE_SRC_BASE_TIME_H_
#define CHICORYVALE_SRC_BASE_TIME_H_

#include <chrono>
#include <string>

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

/// Returns the whole milliseconds of `duration`, for a log line.
inline std::string MillisecondsText(Duration duration) {
  return std::to_string(
      std::chrono::duration_cast<milliseconds>(duration).count());
}

}  // namespace chicoryvale

#endif  // CHICORYVALE_SRC_BASE_TIME_H_
