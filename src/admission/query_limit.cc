#include "admission/query_limit.h"

#include <algorithm>

namespace chicoryvale {
namespace {

// Step of the running median, as a part of its value.
constexpr double kMedianStep = 0.05;
constexpr double kProbeFactor = 0.5;
constexpr double kOverloadFactor = 0.9;
constexpr Duration kMinCutInterval = milliseconds(10);

}  // namespace

std::uint32_t QueryLimit::Limit() const {
  const double limit = m_probing ? m_limit * kProbeFactor : m_limit;
  return static_cast<std::uint32_t>(std::max(1.0, limit));
}

double QueryLimit::Working() const {
  return m_median_us == 0 ? m_limit : m_limit * m_base_us / m_median_us;
}

void QueryLimit::OnEnd(Duration latency, std::uint32_t in_flight,
                       TimePoint now) {
  const auto sample =
      static_cast<double>(std::max<Duration::rep>(latency.count(), 1));
  const double step = std::max(kMedianStep * m_median_us, 1.0);
  m_median_us =
      m_median_us == 0
          ? sample
          : m_median_us + std::clamp(sample - m_median_us, -step, step);
  UpdateProbe(now);
  UpdateBase();
  if (m_probing) return;
  const double waiting = m_limit * (1 - m_base_us / m_median_us);
  const bool used = 2 * in_flight >= Limit();
  if (waiting < kFewWaiting && used) m_limit += 1 / m_limit;
  if (waiting > kManyWaiting) m_limit -= 1 / m_limit;
  m_limit = std::clamp(m_limit, kMinLimit, kMaxLimit);
}

void QueryLimit::OnOverloaded(TimePoint now) {
  if (now < m_next_cut) return;
  m_next_cut = now + std::max(Median(), kMinCutInterval);
  m_limit = std::max(kMinLimit, m_limit * kOverloadFactor);
}

Duration QueryLimit::Median() const {
  return Duration(static_cast<Duration::rep>(m_median_us));
}

void QueryLimit::UpdateProbe(TimePoint now) {
  if (!m_started) {
    m_started = true;
    m_next_probe = now + kProbeInterval;
  }
  if (m_probing && now >= m_probe_end) {
    // What the median fell to at half of the load is the latency without
    // queues, also if it is higher than the one known before.
    m_probing = false;
    m_base_us = m_median_us;
    m_next_probe = now + kProbeInterval;
  } else if (!m_probing && now >= m_next_probe) {
    m_probing = true;
    m_probe_end = now + kProbeMedians * Median();
  }
}

void QueryLimit::UpdateBase() {
  if (m_base_us == 0 || m_median_us < m_base_us) m_base_us = m_median_us;
}

}  // namespace chicoryvale
