#include "adapters/pause_monitor.h"

namespace chicoryvale {
namespace {

/// Interval of the timer that shows that the loop runs.
constexpr Duration kTickPeriod = milliseconds(500);

/// Longer than a busy loop delays the timer.
constexpr Duration kMinSilence = kTickPeriod + seconds(1);

/// Time in which the loop handles what arrived during a pause.
constexpr Duration kCatchUpTime = milliseconds(500);

}  // namespace

PauseMonitor::PauseMonitor(Scheduler* scheduler)
    : m_scheduler(scheduler), m_last_tick(scheduler->Now()) {
  m_timer = m_scheduler->Schedule(kTickPeriod, [this] { Tick(); });
}

PauseMonitor::~PauseMonitor() { m_scheduler->Cancel(m_timer); }

bool PauseMonitor::HasJustResumed() const {
  const TimePoint now = m_scheduler->Now();
  if (now - m_last_tick >= kMinSilence) return true;
  return m_resumed_at && now - *m_resumed_at < kCatchUpTime;
}

void PauseMonitor::Tick() {
  const TimePoint now = m_scheduler->Now();
  if (now - m_last_tick >= kMinSilence) m_resumed_at = now;
  m_last_tick = now;
  m_timer = m_scheduler->Schedule(kTickPeriod, [this] { Tick(); });
}

}  // namespace chicoryvale
