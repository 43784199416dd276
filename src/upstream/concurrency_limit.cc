#include "upstream/concurrency_limit.h"

#include <algorithm>

namespace chicoryvale {
namespace {

/// Step of the median tracker, as a fraction of its value.
constexpr double kMedianStep = 0.05;
/// Rise of the base for each answer, so that a base that is too low is left.
constexpr double kBaseRise = 0.0005;
/// Least time between two cuts, when no latency is known.
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
  if (used && m_median_us < m_settings.grow_below * m_base_us) {
    m_limit += 1.0 / m_limit;
  } else if (m_median_us > m_settings.shrink_above * m_base_us) {
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
  const double step = kMedianStep * m_median_us;
  m_median_us += std::clamp(latency_us - m_median_us, -step, step);
}

void ConcurrencyLimit::UpdateBase() {
  if (m_base_us == 0.0 || m_median_us < m_base_us) {
    m_base_us = m_median_us;
  } else {
    m_base_us += kBaseRise * m_base_us;
  }
}

void ConcurrencyLimit::Clamp() {
  m_limit = std::min(m_limit, m_settings.maximum);
  m_limit = std::max(m_limit, std::max(1.0, m_settings.minimum));
}

}  // namespace chicoryvale
