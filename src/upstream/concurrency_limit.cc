#include "upstream/concurrency_limit.h"

#include <algorithm>

namespace chicoryvale {
namespace {

/// Maximum step of the median tracker, as a fraction of its value.
constexpr double kMaxMedianStepRatio = 0.05;
/// Growth of the base latency with each answer, as a fraction of its value, so
/// that a base latency that is too low is corrected.
constexpr double kBaseGrowthRatio = 0.0005;
/// Minimum time between two cuts of the limit if the median latency is shorter
/// or unknown.
constexpr Duration kMinCutInterval = milliseconds(10);

}  // namespace

ConcurrencyLimit::ConcurrencyLimit(const ConcurrencyLimitSettings& settings)
    : m_settings(settings), m_limit(settings.initial) {
  Clamp();
}

void ConcurrencyLimit::OnAnswer(Duration latency, std::uint32_t in_flight) {
  UpdateMedian(static_cast<double>(std::max<std::int64_t>(latency.count(), 1)));
  UpdateBase();
  const bool used = 2.0 * in_flight >= m_limit;
  if (used && m_median_us < m_settings.grow_below_ratio * m_base_us) {
    m_limit += 1.0 / m_limit;
  } else if (m_median_us > m_settings.shrink_above_ratio * m_base_us) {
    m_limit -= 1.0 / m_limit;
  }
  Clamp();
}

void ConcurrencyLimit::OnShed(TimePoint now) {
  const Duration interval = std::max(Median(), kMinCutInterval);
  if (m_was_cut && now - m_last_cut < interval) return;
  m_was_cut = true;
  m_last_cut = now;
  m_limit *= m_settings.shed_factor;
  Clamp();
}

void ConcurrencyLimit::SetMaximum(double maximum) {
  m_settings.maximum = maximum;
  Clamp();
}

void ConcurrencyLimit::UpdateMedian(double latency_us) {
  if (m_median_us == 0.0) {
    m_median_us = latency_us;
    return;
  }
  const double step = kMaxMedianStepRatio * m_median_us;
  m_median_us += std::clamp(latency_us - m_median_us, -step, step);
}

void ConcurrencyLimit::UpdateBase() {
  if (m_base_us == 0.0 || m_median_us < m_base_us) {
    m_base_us = m_median_us;
  } else {
    m_base_us += kBaseGrowthRatio * m_base_us;
  }
}

void ConcurrencyLimit::Clamp() {
  m_limit = std::min(m_limit, m_settings.maximum);
  m_limit = std::max(m_limit, std::max(1.0, m_settings.minimum));
}

}  // namespace chicoryvale
