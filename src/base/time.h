#ifndef CHICORYVALE_SRC_BASE_TIME_H_
#define CHICORYVALE_SRC_BASE_TIME_H_

#include <chrono>
#include <string>

namespace chicoryvale {

/// Time span with a resolution of one microsecond.
using Duration = std::chrono::microseconds;

/// Monotonic time of one process. Values of different processes are not
/// comparable.
using TimePoint = std::chrono::time_point<std::chrono::steady_clock, Duration>;

using std::chrono::hours;
using std::chrono::microseconds;
using std::chrono::milliseconds;
using std::chrono::seconds;

/// Returns `duration` in seconds, including the fraction.
constexpr double ToSeconds(Duration duration) {
  return std::chrono::duration<double>(duration).count();
}

/// Returns `duration` as text in whole milliseconds, rounded toward zero, for
/// log lines.
inline std::string MillisecondsText(Duration duration) {
  return std::to_string(
      std::chrono::duration_cast<milliseconds>(duration).count());
}

}  // namespace chicoryvale

#endif  // CHICORYVALE_SRC_BASE_TIME_H_
