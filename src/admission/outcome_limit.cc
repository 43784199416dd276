#include "admission/outcome_limit.h"

#include <algorithm>

namespace chicoryvale {
namespace {

/// Factor of a reduction.
constexpr double kReductionFactor = 0.7;

}  // namespace

void OutcomeLimit::OnServedInTime(std::uint32_t in_flight) {
  const bool is_limit_used = 2 * in_flight >= m_limit;
  if (!is_limit_used) return;
  const double per_round = m_options.increase_per_round;
  const double increase =
      m_limit < 1 ? per_round * m_limit : per_round / m_limit;
  m_limit = std::min(m_limit + increase, kMaxLimit);
}

void OutcomeLimit::OnNotServedInTime(TimePoint started_at, TimePoint now) {
  // A request of the round before a reduction says nothing about the new limit.
  if (started_at < m_reduced_at) return;
  m_limit = std::max(m_limit * kReductionFactor, m_options.min);
  m_reduced_at = now;
}

}  // namespace chicoryvale
