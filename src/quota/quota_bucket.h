#ifndef CHICORYVALE_SRC_QUOTA_QUOTA_BUCKET_H_
#define CHICORYVALE_SRC_QUOTA_QUOTA_BUCKET_H_

#include "base/time.h"

namespace chicoryvale {

/// Token bucket of a workspace: it refills at a rate and holds a burst. Not
/// thread safe.
class QuotaBucket {
 public:
  /// Makes a bucket with `level` tokens, or fewer if it holds fewer.
  QuotaBucket(double tokens_per_s, double burst, double level, TimePoint now);

  /// Changes rate and burst from `now` on. Tokens beyond the new burst are
  /// lost.
  void SetLimits(double tokens_per_s, double burst, TimePoint now);

  /// Lowers the level to `level` if it is higher.
  void LowerTo(double level, TimePoint now);

  /// Returns the number of tokens in the bucket; negative if it owes some.
  [[nodiscard]] double Level(TimePoint now) const;

  /// Returns the maximum number of tokens: the burst, and at least 1.
  [[nodiscard]] double Capacity() const;

  /// Takes `tokens`. Precondition: the level is at least `tokens`.
  void Take(double tokens, TimePoint now);

  /// Takes `tokens` that have been used already, whether or not the bucket has
  /// them. It owes at most what it earns in kMaxDebtTime.
  void Spend(double tokens, TimePoint now);

  /// Returns the time until the level is at least 1; a minute if the rate is so
  /// low that it takes longer.
  [[nodiscard]] Duration TimeToNextToken(TimePoint now) const;

 private:
  /// A workspace is not refused for longer than this because of what was used
  /// without a token.
  static constexpr Duration kMaxDebtTime = seconds(5);

  double m_tokens_per_s;
  double m_burst;
  double m_level;
  TimePoint m_updated_at;
};

}  // namespace chicoryvale

#endif  // CHICORYVALE_SRC_QUOTA_QUOTA_BUCKET_H_
