#include "query/hedge_policy.h"

#include <algorithm>

namespace chicoryvale {
namespace {

// Keeps a service whose answers come at once from hedging on timer noise.
constexpr Duration kMinDelay = milliseconds(1);

}  // namespace

std::optional<Duration> HedgePolicy::Delay() const {
  const std::optional<Duration> quantile = m_latency.Value();
  if (!quantile) return std::nullopt;
  return std::max(*quantile, kMinDelay);
}

bool HedgePolicy::TryTake() {
  if (m_shared->FillLevel() < kSharedReserve) return false;
  if (!m_budget.TryTake()) return false;
  if (m_shared->TryTake()) return true;
  m_budget.GiveBack();
  return false;
}

void HedgePolicy::GiveBack() {
  m_budget.GiveBack();
  m_shared->GiveBack();
}

}  // namespace chicoryvale
