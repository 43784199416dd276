#include "routing/rate_bucket.h"

#include <algorithm>
#include <cassert>
#include <cmath>

namespace chicoryvale {

double RateBucket::TokensAt(TimePoint now) const {
  const double capacity = std::max(1.0, m_tokens_per_s * ToSeconds(kBurstTime));
  const double refill = m_tokens_per_s * ToSeconds(now - m_updated_at);
  return std::min(m_tokens + refill, capacity);
}

void RateBucket::SetRate(double tokens_per_s, TimePoint now) {
  assert(tokens_per_s > 0);
  m_tokens = TokensAt(now);
  m_updated_at = now;
  m_tokens_per_s = tokens_per_s;
}

TimePoint RateBucket::NextTokenAt(TimePoint now) const {
  const double missing = 1 - TokensAt(now);
  if (missing <= 0) return now;
  const double wait_us =
      std::ceil(missing / m_tokens_per_s *
                static_cast<double>(Duration(seconds(1)).count()));
  return now + Duration(static_cast<Duration::rep>(wait_us));
}

void RateBucket::Take(TimePoint now) {
  m_tokens = TokensAt(now) - 1;
  m_updated_at = now;
}

}  // namespace chicoryvale
