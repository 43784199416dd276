#ifndef CHICORYVALE_SRC_QUERY_TOKEN_BUDGET_H_
#define CHICORYVALE_SRC_QUERY_TOKEN_BUDGET_H_

namespace chicoryvale {

/// Token bucket that successes refill. Over any period, at most
/// `tokens_per_success` times the number of successes plus `capacity_tokens`
/// tokens are consumed. If there are no successes, the bucket becomes empty and
/// stays empty. Not thread safe.
class TokenBudget {
 public:
  /// The bucket starts full.
  TokenBudget(double tokens_per_success, double capacity_tokens)
      : m_tokens_per_success(tokens_per_success),
        m_capacity_tokens(capacity_tokens),
        m_tokens(capacity_tokens) {}

  /// Adds the tokens for `count` successes.
  void RecordSuccesses(double count = 1);

  /// Consumes one token. Returns false if there is none.
  bool TryConsume();

  /// Puts back a token that was consumed but not used.
  void Refund();

  /// Returns the number of tokens divided by the capacity, from 0 to 1.
  [[nodiscard]] double FillRatio() const {
    return m_tokens / m_capacity_tokens;
  }

 private:
  double m_tokens_per_success;
  double m_capacity_tokens;
  double m_tokens;
};

}  // namespace chicoryvale

#endif  // CHICORYVALE_SRC_QUERY_TOKEN_BUDGET_H_
