#ifndef CHICORYVALE_SRC_ROUTING_RETRY_BUDGET_H_
#define CHICORYVALE_SRC_ROUTING_RETRY_BUDGET_H_

#include <array>
#include <cstdint>
#include <string>
#include <unordered_map>

#include "base/time.h"

namespace chicoryvale {

/// What all entries together may repeat at each service: in any window, a part
/// of the requests for it and a fixed number.
struct RetryBudgetOptions {
  double ratio = 0.2;
  Duration window = seconds(10);
  std::uint32_t fixed_retries = 0;
  /// All processes start for the first time: none has repeated anything.
  bool first_start = false;
};

/// This entry's part of the budget that all entries share: the ratio of its own
/// requests, and an equal part of the fixed number. The sum over all entries is
/// never more than the whole, whether or not they see each other, as long as
/// each counts at least as many entries as there are. Not thread safe.
class RetryBudget {
 public:
  /// `started` is the start of this process. What an earlier run of it repeated
  /// is not known, so less of the fixed part is used in the first window.
  RetryBudget(const RetryBudgetOptions& options, TimePoint started)
      : m_options(options), m_started(started) {}

  /// Changes the ratio and the fixed number.
  void SetRetryLimits(double ratio, std::uint32_t fixed_retries) {
    m_options.ratio = ratio;
    m_options.fixed_retries = fixed_retries;
  }

  /// Sets how many entries share the fixed number. It never falls: an entry
  /// that is not seen may be at work.
  void SetEntryCount(std::uint32_t entries);

  /// Counts the first send of a request to `service`.
  void NoteFirst(const std::string& service, TimePoint now);

  /// What a repeat is for.
  enum class Use : std::uint8_t {
    /// The part is lost without it.
    kRetry,
    /// The part may come without it: a part of the budget is kept from it.
    kHedge,
  };

  /// Takes one repeat at `service`; false if the budget has none left for it.
  bool TryTake(const std::string& service, Use use, TimePoint now);

 private:
  static constexpr std::size_t kBuckets = 20;

  /// Counts of the last window, in buckets of equal length.
  struct Window {
    std::array<std::uint32_t, kBuckets> firsts{};
    std::array<std::uint32_t, kBuckets> repeats{};
    /// Number of the newest bucket since the epoch of the clock.
    std::int64_t newest = 0;
  };

  Window& Advance(const std::string& service, TimePoint now);

  RetryBudgetOptions m_options;
  TimePoint m_started;
  std::uint32_t m_entries = 1;
  std::unordered_map<std::string, Window> m_windows;
};

}  // namespace chicoryvale

#endif  // CHICORYVALE_SRC_ROUTING_RETRY_BUDGET_H_
