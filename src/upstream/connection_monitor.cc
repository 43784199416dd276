#include "upstream/connection_monitor.h"

#include <algorithm>
#include <cassert>

namespace chicoryvale {
namespace {

constexpr std::uint32_t kMaxNeededStalls = 64;

Duration Scale(double factor, Duration duration) {
  const double micros = factor * static_cast<double>(duration.count());
  return Duration(static_cast<std::int64_t>(micros));
}

}  // namespace

bool PathMonitor::OnDeadConnections(const ConnectionMonitorSettings& settings,
                                    TimePoint now) {
  if (m_silent == 0 || now - m_window_start > settings.path_window) {
    m_silent = 0;
    m_window_start = now;
  }
  ++m_silent;
  if (m_silent < settings.path_replicas) return false;
  m_silent = 0;
  return true;
}

ConnectionMonitor::ConnectionMonitor(const ConnectionMonitorSettings& settings,
                                     PathMonitor* path)
    : m_settings(settings),
      m_path(path),
      m_needed_stalls(settings.suspicious_stalls) {
  assert(path != nullptr);
}

bool ConnectionMonitor::TakeFresh() {
  if (m_state != State::kSuspected) return false;
  m_state = State::kTrying;
  return true;
}

ConnectionVerdict ConnectionMonitor::OnAnswer(bool fresh, Duration first_byte,
                                              Duration typical, TimePoint now) {
  if (!fresh) {
    // A kept connection works: no reason to distrust the others.
    m_stalls = 0;
    m_state = State::kTrusted;
    return ConnectionVerdict::kNone;
  }
  if (m_state != State::kTrying) return ConnectionVerdict::kNone;
  m_state = State::kTrusted;
  m_stalls = 0;
  if (first_byte > StallAfter(typical)) {
    m_needed_stalls = std::min(2 * m_needed_stalls, kMaxNeededStalls);
    return ConnectionVerdict::kNone;
  }
  m_needed_stalls = m_settings.suspicious_stalls;
  return m_path->OnDeadConnections(m_settings, now)
             ? ConnectionVerdict::kPathConnectionsDead
             : ConnectionVerdict::kReplicaConnectionsDead;
}

void ConnectionMonitor::OnNoProgress(bool fresh, Duration age,
                                     Duration typical) {
  if (typical == Duration::zero() || age < StallAfter(typical)) return;
  if (fresh) {
    if (m_state != State::kTrying) return;
    // New connections stall too: the replica is slow, its connections are not
    // to blame.
    m_state = State::kTrusted;
    m_stalls = 0;
    m_needed_stalls = std::min(2 * m_needed_stalls, kMaxNeededStalls);
    return;
  }
  ++m_stalls;
  if (m_state == State::kTrusted && m_stalls >= m_needed_stalls) {
    m_state = State::kSuspected;
  }
}

Duration ConnectionMonitor::ProgressBound(Duration typical) const {
  if (typical == Duration::zero()) return typical;
  return std::max(m_settings.min_bound,
                  Scale(m_settings.bound_factor, typical));
}

Duration ConnectionMonitor::StallAfter(Duration typical) const {
  return std::max(m_settings.min_stall,
                  Scale(m_settings.stall_factor, typical));
}

}  // namespace chicoryvale
