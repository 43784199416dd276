#include "upstream/replica_state.h"

#include <algorithm>
#include <cassert>
#include <utility>

namespace chicoryvale {
namespace {

/// Maximum number of times that a pause is doubled; it doubles with each
/// further failure.
constexpr std::uint32_t kMaxPauseDoublings = 10;
/// Connections assumed for a replica before SetConnectionShare is called.
constexpr std::uint32_t kDefaultConnectionShare = 64;
/// Each answer since a load report adds this amount to the divisor of the
/// reported excess load, because own measurements gradually replace the report.
constexpr double kLoadReportDiscountPerAnswer = 0.25;

}  // namespace

ReplicaState::ReplicaState(Address address, const ReplicaSettings& settings,
                           const ConcurrencyLimitSettings& limit,
                           AvailabilityTracker::Record* availability, bool cold,
                           TimePoint now)
    : m_address(std::move(address)),
      m_settings(settings),
      m_limit(limit),
      m_availability(availability),
      m_connection_share(kDefaultConnectionShare),
      m_cold(cold),
      m_cold_since(now) {
  assert(availability != nullptr);
}

std::uint32_t ReplicaState::Limit(TimePoint now) const {
  // A cold replica without latency samples, or a replica after a pause, gets
  // one attempt at a time.
  const bool trial =
      m_failures >= m_settings.failures_before_pause ||
      (m_cold && now - m_cold_since < m_settings.slow_start_duration &&
       m_latency.ValueUs() == 0.0);
  const std::uint32_t adaptive = trial ? 1 : m_limit.Limit();
  return std::min(adaptive, m_connection_share);
}

double ReplicaState::Cost(TimePoint now, double default_latency_us) const {
  const double known = m_latency.ValueUs();
  const double latency = known > 0.0 ? known : default_latency_us;
  return latency * (m_in_flight + 1.0) * LoadReportFactor(now) *
         SlowStartFactor(now);
}

double ReplicaState::LoadReportFactor(TimePoint now) const {
  if (!m_load_reported_at) return 1.0;
  const double age = ToSeconds(now - *m_load_reported_at);
  const double life = ToSeconds(m_settings.load_report_lifetime);
  if (age >= life) return 1.0;
  const double freshness = 1.0 - age / life;
  const double evidence =
      1.0 + kLoadReportDiscountPerAnswer * m_answers_since_report;
  const double factor = 1.0 + m_reported_excess_ratio * freshness / evidence;
  return std::min(factor, m_settings.load_report_max_factor);
}

double ReplicaState::SlowStartFactor(TimePoint now) const {
  if (!m_cold) return 1.0;
  const double age = ToSeconds(now - m_cold_since);
  const double length = ToSeconds(m_settings.slow_start_duration);
  if (age >= length) return 1.0;
  return 1.0 + (m_settings.slow_start_cost_factor - 1.0) * (1.0 - age / length);
}

void ReplicaState::OnAnswer(Duration latency, TimePoint now) {
  if (m_failures >= m_settings.failures_before_pause) BeginSlowStart(now);
  m_failures = 0;
  m_limit.OnAnswer(latency, m_in_flight);
  m_latency.Add(latency, now);
  ++m_answers_since_report;
  DecrementInFlight();
}

void ReplicaState::OnShed(TimePoint now) {
  m_failures = 0;
  m_limit.OnShed(now);
  // A refusal is fast, but must not make the replica look cheap: it counts as
  // an answer that takes twice the estimated latency.
  const double raised = 2.0 * m_latency.ValueUs();
  m_latency.AddLowerBound(Duration(static_cast<std::int64_t>(raised)), now);
  DecrementInFlight();
}

void ReplicaState::OnFailure(Duration age, TimePoint now) {
  ++m_failures;
  const std::uint32_t doublings = std::min(
      m_failures - std::min(m_failures, m_settings.failures_before_pause),
      kMaxPauseDoublings);
  const Duration pause = m_settings.min_pause * (1U << doublings);
  m_paused_until = now + std::min(pause, m_settings.max_pause);
  m_latency.AddLowerBound(age, now);
  DecrementInFlight();
}

void ReplicaState::OnTimeout(Duration age, TimePoint now) {
  m_limit.OnShed(now);
  m_latency.AddLowerBound(age, now);
  DecrementInFlight();
}

void ReplicaState::OnAbandon(Duration age, TimePoint now) {
  m_latency.AddLowerBound(age, now);
  DecrementInFlight();
}

void ReplicaState::OnInconclusive() { DecrementInFlight(); }

void ReplicaState::OnLoadReport(std::uint32_t load, std::uint32_t slots,
                                TimePoint now) {
  const double own_slots = std::max<std::uint32_t>(slots, 1);
  m_reported_excess_ratio = std::max(0.0, load - own_slots) / own_slots;
  m_load_reported_at = now;
  m_answers_since_report = 0;
}

void ReplicaState::BeginSlowStart(TimePoint now) {
  m_cold = true;
  m_cold_since = now;
}

void ReplicaState::DecrementInFlight() {
  assert(m_in_flight > 0);
  --m_in_flight;
}

}  // namespace chicoryvale
