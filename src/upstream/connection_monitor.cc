#include "upstream/connection_monitor.h"

#include <algorithm>
#include <cassert>

namespace chicoryvale {
namespace {

/// Upper bound up to which the number of consecutive stalls that start a probe
/// is doubled.
constexpr std::uint32_t kMaxStallThreshold = 64;

Duration Scale(double factor, Duration duration) {
  const double micros = factor * static_cast<double>(duration.count());
  return Duration(static_cast<std::int64_t>(micros));
}

}  // namespace

bool PathMonitor::OnDeadConnections(const ConnectionMonitorSettings& settings,
                                    TimePoint now) {
  if (m_affected_replicas == 0 || now - m_window_start > settings.path_window) {
    m_affected_replicas = 0;
    m_window_start = now;
  }
  ++m_affected_replicas;
  if (m_affected_replicas < settings.path_replica_threshold) return false;
  m_affected_replicas = 0;
  return true;
}

ConnectionMonitor::ConnectionMonitor(const ConnectionMonitorSettings& settings,
                                     PathMonitor* path)
    : m_settings(settings),
      m_path(path),
      m_stall_threshold(settings.initial_stall_threshold) {
  assert(path != nullptr);
}

bool ConnectionMonitor::StartProbeIfSuspected() {
  if (m_state != State::kSuspected) return false;
  m_state = State::kProbing;
  return true;
}

ConnectionVerdict ConnectionMonitor::OnAnswer(bool fresh_connection,
                                              Duration first_byte,
                                              Duration typical, TimePoint now) {
  if (!fresh_connection) {
    // A kept connection works, so there is no reason to suspect the others.
    m_consecutive_stalls = 0;
    m_state = State::kTrusted;
    return ConnectionVerdict::kNone;
  }
  if (m_state != State::kProbing) return ConnectionVerdict::kNone;
  m_state = State::kTrusted;
  m_consecutive_stalls = 0;
  if (first_byte > StallTimeout(typical)) {
    m_stall_threshold = std::min(2 * m_stall_threshold, kMaxStallThreshold);
    return ConnectionVerdict::kNone;
  }
  m_stall_threshold = m_settings.initial_stall_threshold;
  return m_path->OnDeadConnections(m_settings, now)
             ? ConnectionVerdict::kPathConnectionsDead
             : ConnectionVerdict::kReplicaConnectionsDead;
}

void ConnectionMonitor::OnNoProgress(bool fresh_connection, Duration age,
                                     Duration typical) {
  if (typical == Duration::zero() || age < StallTimeout(typical)) return;
  if (fresh_connection) {
    if (m_state != State::kProbing) return;
    // New connections stall too, so the replica is slow and its kept
    // connections are not the cause.
    m_state = State::kTrusted;
    m_consecutive_stalls = 0;
    m_stall_threshold = std::min(2 * m_stall_threshold, kMaxStallThreshold);
    return;
  }
  ++m_consecutive_stalls;
  if (m_state == State::kTrusted && m_consecutive_stalls >= m_stall_threshold) {
    m_state = State::kSuspected;
  }
}

Duration ConnectionMonitor::ProgressBound(Duration typical) const {
  if (typical == Duration::zero()) return typical;
  return std::max(m_settings.min_progress_bound,
                  Scale(m_settings.progress_bound_factor, typical));
}

Duration ConnectionMonitor::StallTimeout(Duration typical) const {
  return std::max(m_settings.min_stall_timeout,
                  Scale(m_settings.stall_timeout_factor, typical));
}

}  // namespace chicoryvale
