#include "admission/query_limit.h"

#include <algorithm>

namespace chicoryvale {
namespace {

// Maximum change of the running median per query, as a ratio of its value.
constexpr double kMedianStepRatio = 0.05;
// Ratio of the limit that may be used during a probe.
constexpr double kProbeLimitRatio = 0.5;
// Factor by which the limit is multiplied after a refusal because of overload.
constexpr double kOverloadLimitRatio = 0.9;
// Minimum time between two reductions because of overload.
constexpr Duration kMinReductionInterval = milliseconds(10);

}  // namespace

std::uint32_t QueryLimit::Limit() const {
  const double limit = m_probing ? m_limit * kProbeLimitRatio : m_limit;
  return static_cast<std::uint32_t>(std::max(1.0, limit));
}

double QueryLimit::LimitWithoutQueueing() const {
  return m_median_us == 0 ? m_limit : m_limit * m_base_us / m_median_us;
}

void QueryLimit::OnQueryEnd(Duration latency, std::uint32_t in_flight,
                            TimePoint now) {
  const auto sample =
      static_cast<double>(std::max<Duration::rep>(latency.count(), 1));
  const double step = std::max(kMedianStepRatio * m_median_us, 1.0);
  m_median_us =
      m_median_us == 0
          ? sample
          : m_median_us + std::clamp(sample - m_median_us, -step, step);
  UpdateProbe(now);
  UpdateBaseLatency();
  if (m_probing) return;
  const double queued = m_limit * (1 - m_base_us / m_median_us);
  const bool is_limit_used = 2 * in_flight >= Limit();
  if (queued < kGrowBelowQueued && is_limit_used) m_limit += 1 / m_limit;
  if (queued > kShrinkAboveQueued) m_limit -= 1 / m_limit;
  m_limit = std::clamp(m_limit, kMinLimit, kMaxLimit);
}

void QueryLimit::OnOverloaded(TimePoint now) {
  if (now < m_next_reduction_at) return;
  m_next_reduction_at = now + std::max(MedianLatency(), kMinReductionInterval);
  m_limit = std::max(kMinLimit, m_limit * kOverloadLimitRatio);
}

Duration QueryLimit::MedianLatency() const {
  return Duration(static_cast<Duration::rep>(m_median_us));
}

void QueryLimit::UpdateProbe(TimePoint now) {
  if (!m_started) {
    m_started = true;
    m_next_probe_at = now + kProbeInterval;
  }
  if (m_probing && now >= m_probe_end) {
    // The median reached at half of the load is the new base latency, even if
    // it is higher than the previous one.
    m_probing = false;
    m_base_us = m_median_us;
    m_next_probe_at = now + kProbeInterval;
  } else if (!m_probing && now >= m_next_probe_at) {
    m_probing = true;
    m_probe_end = now + kProbeMedianLatencies * MedianLatency();
  }
}

void QueryLimit::UpdateBaseLatency() {
  if (m_base_us == 0 || m_median_us < m_base_us) m_base_us = m_median_us;
}

}  // namespace chicoryvale
