#include "query/token_budget.h"

#include <algorithm>

namespace chicoryvale {

void TokenBudget::RecordSuccesses(double count) {
  m_tokens =
      std::min(m_capacity_tokens, m_tokens + m_tokens_per_success * count);
}

bool TokenBudget::TryConsume() {
  if (m_tokens < 1) return false;
  m_tokens -= 1;
  return true;
}

void TokenBudget::Refund() {
  m_tokens = std::min(m_capacity_tokens, m_tokens + 1);
}

}  // namespace chicoryvale
