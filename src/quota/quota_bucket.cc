#include "quota/quota_bucket.h"

#include <algorithm>
#include <cassert>
#include <cmath>

namespace chicoryvale {
namespace {

constexpr Duration kMaxTimeToNextToken = seconds(60);

}  // namespace

QuotaBucket::QuotaBucket(double tokens_per_s, double burst, double level,
                         TimePoint now)
    : m_tokens_per_s(tokens_per_s),
      m_burst(burst),
      m_level(std::min(level, Capacity())),
      m_updated_at(now) {}

double QuotaBucket::Capacity() const { return std::max(m_burst, 1.0); }

double QuotaBucket::Level(TimePoint now) const {
  const double refill = m_tokens_per_s * ToSeconds(now - m_updated_at);
  return std::min(m_level + refill, Capacity());
}

void QuotaBucket::SetLimits(double tokens_per_s, double burst, TimePoint now) {
  m_level = Level(now);
  m_updated_at = now;
  m_tokens_per_s = tokens_per_s;
  m_burst = burst;
  m_level = std::min(m_level, Capacity());
}

void QuotaBucket::LowerTo(double level, TimePoint now) {
  m_level = std::min(Level(now), level);
  m_updated_at = now;
}

void QuotaBucket::Take(double tokens, TimePoint now) {
  m_level = Level(now) - tokens;
  m_updated_at = now;
  assert(m_level >= 0);
}

void QuotaBucket::Spend(double tokens, TimePoint now) {
  m_level =
      std::max(Level(now) - tokens, -m_tokens_per_s * ToSeconds(kMaxDebtTime));
  m_updated_at = now;
}

Duration QuotaBucket::TimeToNextToken(TimePoint now) const {
  const double missing = 1 - Level(now);
  if (missing <= 0) return Duration::zero();
  const double wait_s = missing / m_tokens_per_s;
  if (!(wait_s < ToSeconds(kMaxTimeToNextToken))) return kMaxTimeToNextToken;
  const std::chrono::duration<double> wait(wait_s);
  return std::chrono::ceil<Duration>(wait);
}

}  // namespace chicoryvale
