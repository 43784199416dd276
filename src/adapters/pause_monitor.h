#ifndef CHICORYVALE_SRC_ADAPTERS_PAUSE_MONITOR_H_
#define CHICORYVALE_SRC_ADAPTERS_PAUSE_MONITOR_H_

#include <optional>

#include "base/time.h"
#include "ports/scheduler.h"

namespace chicoryvale {

/// Detects that this process was paused, for example stopped by a signal or
/// suspended with its VM: what it then finds in its sockets may have waited
/// there for as long. Not thread safe.
class PauseMonitor {
 public:
  /// `scheduler` outlives the monitor.
  explicit PauseMonitor(Scheduler* scheduler);
  ~PauseMonitor();
  PauseMonitor(const PauseMonitor&) = delete;
  PauseMonitor& operator=(const PauseMonitor&) = delete;

  /// Returns whether the loop has resumed after a pause of a second or more,
  /// and may not have handled yet what arrived meanwhile.
  [[nodiscard]] bool HasJustResumed() const;

 private:
  void Tick();

  Scheduler* m_scheduler;
  TimePoint m_last_tick;
  std::optional<TimePoint> m_resumed_at;
  TimerId m_timer = 0;
};

}  // namespace chicoryvale

#endif  // CHICORYVALE_SRC_ADAPTERS_PAUSE_MONITOR_H_
