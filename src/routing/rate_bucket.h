#ifndef CHICORYVALE_SRC_ROUTING_RATE_BUCKET_H_
#define CHICORYVALE_SRC_ROUTING_RATE_BUCKET_H_

#include "base/time.h"

namespace chicoryvale {

/// Token bucket that refills with time. It holds the tokens of kBurstTime, and
/// at least one. Not thread safe.
class RateBucket {
 public:
  /// The bucket starts empty: entries that make one at the same time don't use
  /// it at the same time. Precondition: `tokens_per_s` is positive.
  RateBucket(double tokens_per_s, TimePoint now)
      : m_tokens_per_s(tokens_per_s), m_updated_at(now) {}

  /// Changes the rate from `now` on. Precondition: `tokens_per_s` is positive.
  void SetRate(double tokens_per_s, TimePoint now);

  [[nodiscard]] double Rate() const { return m_tokens_per_s; }

  /// Returns the earliest time, `now` or later, at which there is a token.
  [[nodiscard]] TimePoint NextTokenAt(TimePoint now) const;

  /// Takes a token. Without one, the bucket owes it.
  void Take(TimePoint now);

 private:
  /// Time for which unused tokens are kept.
  static constexpr Duration kBurstTime = milliseconds(250);

  [[nodiscard]] double TokensAt(TimePoint now) const;

  double m_tokens_per_s;
  double m_tokens = 0;
  TimePoint m_updated_at;
};

}  // namespace chicoryvale

#endif  // CHICORYVALE_SRC_ROUTING_RATE_BUCKET_H_
