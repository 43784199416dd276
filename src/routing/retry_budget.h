#ifndef CHICORYVALE_SRC_ROUTING_RETRY_BUDGET_H_
#define CHICORYVALE_SRC_ROUTING_RETRY_BUDGET_H_

#include <array>
#include <cstdint>
#include <string>
#include <unordered_map>

#include "base/time.h"

namespace chicoryvale {

/// Limits on the retries and hedges of all entries together, for each service:
/// in any window, a ratio of the requests for the service plus a fixed number.
struct RetryBudgetOptions {
  double ratio = 0.2;
  Duration window = seconds(10);
  double fixed_retries = 0;
  /// Whether all processes start for the first time, so that no earlier run has
  /// used any of the budget.
  bool first_start = false;
};

/// This entry's share of the retry budget that all entries have in common: the
/// ratio of its own requests plus an equal share of the fixed number. The sum
/// over all entries never exceeds the limits, even if the entries do not see
/// each other, provided that each of them assumes at least as many entries as
/// there are. Not thread safe.
class RetryBudget {
 public:
  /// `started` is the start of this process. The retries of an earlier run are
  /// unknown, so less of the fixed number is available in the first window.
  RetryBudget(const RetryBudgetOptions& options, TimePoint started)
      : m_options(options), m_started(started) {}

  /// Changes the ratio and the fixed number.
  void SetRetryLimits(double ratio, double fixed_retries) {
    m_options.ratio = ratio;
    m_options.fixed_retries = fixed_retries;
  }

  /// Sets the number of entries that share the fixed number. A lower number
  /// than before is ignored, because an entry that this process no longer sees
  /// may still be running.
  void SetEntryCount(std::uint32_t entry_count);

  /// Records a request or sub-request to `service`. Called once for each, with
  /// its first attempt.
  void RecordRequest(const std::string& service, TimePoint now);

  /// Why a further attempt is made.
  enum class Purpose : std::uint8_t {
    /// The previous attempt ended or was lost, so there is no answer without a
    /// retry.
    kRetry,
    /// The previous attempt is still open and may be answered. Part of the
    /// budget is reserved for retries.
    kHedge,
  };

  /// Acquires one retry or hedge at `service`; returns false if the budget for
  /// `purpose` is exhausted.
  bool TryAcquire(const std::string& service, Purpose purpose, TimePoint now);

 private:
  static constexpr std::size_t kBucketsPerWindow = 20;
  /// The newest bucket has just begun, so a whole window also covers a part of
  /// the one that is kBucketsPerWindow older.
  static constexpr std::size_t kBucketCount = kBucketsPerWindow + 1;

  /// Counts in buckets of equal length; `retries` contains the hedges too.
  struct Window {
    std::array<std::uint32_t, kBucketCount> requests{};
    std::array<std::uint32_t, kBucketCount> retries{};
    /// Index of the newest bucket, counted from the epoch of the clock.
    std::int64_t newest_bucket = 0;
  };

  Window& AdvanceWindow(const std::string& service, TimePoint now);
  /// Returns the number of requests of at most one window.
  static std::uint32_t CountRequests(const Window& window);
  /// Returns the number of retries and hedges of at least one window.
  static std::uint32_t CountRetries(const Window& window);

  RetryBudgetOptions m_options;
  TimePoint m_started;
  std::uint32_t m_entry_count = 1;
  std::unordered_map<std::string, Window> m_windows;
};

}  // namespace chicoryvale

#endif  // CHICORYVALE_SRC_ROUTING_RETRY_BUDGET_H_
