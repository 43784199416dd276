#ifndef CHICORYVALE_SRC_QUERY_TOKEN_BUDGET_H_
#define CHICORYVALE_SRC_QUERY_TOKEN_BUDGET_H_

namespace chicoryvale {

/// Token bucket filled by successes: over any period, the tokens taken are at
/// most `ratio` times the successes plus `capacity`. When everything fails it
/// runs dry and stays dry. Not thread safe.
class TokenBudget {
 public:
  /// `ratio` is in tokens for each success; the bucket starts full.
  TokenBudget(double ratio, double capacity)
      : m_ratio(ratio), m_capacity(capacity), m_tokens(capacity) {}

  /// Adds the tokens of `count` successes.
  void OnSuccess(double count = 1);

  /// Takes one token; false if there is none.
  bool TryTake();

  /// Returns a token that was taken and not used.
  void GiveBack();

  /// Returns the filled part of the bucket, from 0 to 1.
  [[nodiscard]] double FillLevel() const { return m_tokens / m_capacity; }

 private:
  double m_ratio;
  double m_capacity;
  double m_tokens;
};

}  // namespace chicoryvale

#endif  // CHICORYVALE_SRC_QUERY_TOKEN_BUDGET_H_
