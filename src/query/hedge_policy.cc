#include "query/hedge_policy.h"

#include <algorithm>

namespace chicoryvale {
namespace {

// Prevents hedges that are caused by timer inaccuracy if the service answers
// almost immediately.
constexpr Duration kMinHedgeDelay = milliseconds(1);

}  // namespace

std::optional<Duration> HedgePolicy::Delay() const {
  const std::optional<Duration> quantile = m_latencies.Value();
  if (!quantile) return std::nullopt;
  return std::max(*quantile, kMinHedgeDelay);
}

bool HedgePolicy::TryConsumeTokens() {
  if (m_shared_budget->FillRatio() < kMinSharedFillRatio) return false;
  if (!m_hedge_budget.TryConsume()) return false;
  if (m_shared_budget->TryConsume()) return true;
  m_hedge_budget.Refund();
  return false;
}

void HedgePolicy::RefundTokens() {
  m_hedge_budget.Refund();
  m_shared_budget->Refund();
}

}  // namespace chicoryvale
