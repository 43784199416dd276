#ifndef CHICORYVALE_SRC_PORTS_SCHEDULER_H_
#define CHICORYVALE_SRC_PORTS_SCHEDULER_H_

#include <cstdint>
#include <functional>
#include <utility>

#include "base/time.h"

namespace chicoryvale {

/// Identifies a scheduled callback; 0 is never used.
using TimerId = std::uint64_t;

/// Interface to the monotonic clock and the one-shot timers of the process's
/// event loop. Not thread safe: to be used only on the loop's thread.
class Scheduler {
 public:
  virtual ~Scheduler() = default;

  /// Returns the current monotonic time.
  [[nodiscard]] TimePoint Now() const { return OnNow(); }

  /// Calls `callback` once, not before `delay` has passed and never from
  /// within this call. A negative delay counts as zero.
  TimerId Schedule(Duration delay, std::function<void()> callback) {
    return OnSchedule(delay < Duration::zero() ? Duration::zero() : delay,
                      std::move(callback));
  }

  /// Cancels a timer. Does nothing if the timer has fired or was cancelled, or
  /// if `id` is 0.
  void Cancel(TimerId id) {
    if (id != 0) OnCancel(id);
  }

 protected:
  [[nodiscard]] virtual TimePoint OnNow() const = 0;
  virtual TimerId OnSchedule(Duration delay,
                             std::function<void()> callback) = 0;
  virtual void OnCancel(TimerId id) = 0;
};

}  // namespace chicoryvale

#endif  // CHICORYVALE_SRC_PORTS_SCHEDULER_H_
