#include "query/token_budget.h"

#include <algorithm>

namespace chicoryvale {

void TokenBudget::OnSuccess(double count) {
  m_tokens = std::min(m_capacity, m_tokens + m_ratio * count);
}

bool TokenBudget::TryTake() {
  if (m_tokens < 1) return false;
  m_tokens -= 1;
  return true;
}

void TokenBudget::GiveBack() { m_tokens = std::min(m_capacity, m_tokens + 1); }

}  // namespace chicoryvale
