#include "routing/retry_budget.h"

#include <algorithm>
#include <numeric>

namespace chicoryvale {
namespace {

/// Share of the budget that is used. The rest covers requests that a replica
/// counts in another window than this process does.
constexpr double kUsableBudgetRatio = 0.8;

/// Share of the fixed number that is available in the first window of a
/// process, and after it. The retries of an earlier run are unknown. A run that
/// is older than one window and its successor together do not exceed the fixed
/// number, and neither do four runs that end within one window.
constexpr double kFixedRatioInFirstWindow = 0.25;
constexpr double kFixedRatioAfterFirstWindow = 0.75;

/// Time after the start by which the other entries are known. The fixed number
/// is not available before.
constexpr Duration kMemberDiscoveryTime = seconds(2);

/// A hedge is allowed only while retries and hedges together are below this
/// share of the usable budget.
constexpr double kHedgeBudgetRatio = 0.7;

}  // namespace

void RetryBudget::SetEntryCount(std::uint32_t entry_count) {
  m_entry_count = std::max(m_entry_count, entry_count);
}

RetryBudget::Window& RetryBudget::AdvanceWindow(const std::string& service,
                                                TimePoint now) {
  Window& window = m_windows[service];
  const Duration bucket_length = m_options.window / kBucketsPerWindow;
  const std::int64_t bucket_index = now.time_since_epoch() / bucket_length;
  const auto elapsed_buckets =
      std::min<std::int64_t>(bucket_index - window.newest_bucket, kBucketCount);
  for (std::int64_t i = 1; i <= elapsed_buckets; ++i) {
    const auto slot =
        static_cast<std::size_t>(window.newest_bucket + i) % kBucketCount;
    window.requests[slot] = 0;
    window.retries[slot] = 0;
  }
  if (bucket_index - window.newest_bucket >
      static_cast<std::int64_t>(kBucketCount)) {
    window.requests.fill(0);
    window.retries.fill(0);
  }
  window.newest_bucket = std::max(window.newest_bucket, bucket_index);
  return window;
}

void RetryBudget::RecordRequest(const std::string& service, TimePoint now) {
  Window& window = AdvanceWindow(service, now);
  ++window.requests[static_cast<std::size_t>(window.newest_bucket) %
                    kBucketCount];
}

std::uint32_t RetryBudget::CountRequests(const Window& window) {
  const auto oldest =
      static_cast<std::size_t>(window.newest_bucket + 1) % kBucketCount;
  return std::accumulate(window.requests.begin(), window.requests.end(), 0U) -
         window.requests[oldest];
}

std::uint32_t RetryBudget::CountRetries(const Window& window) {
  return std::accumulate(window.retries.begin(), window.retries.end(), 0U);
}

bool RetryBudget::TryAcquire(const std::string& service, Purpose purpose,
                             TimePoint now) {
  Window& window = AdvanceWindow(service, now);
  const Duration since_start = now - m_started;
  const bool first_window = since_start < m_options.window;
  const double fixed_ratio = first_window && !m_options.first_start
                                 ? kFixedRatioInFirstWindow
                                 : kFixedRatioAfterFirstWindow;
  const double fixed_limit =
      since_start < kMemberDiscoveryTime
          ? 0
          : fixed_ratio * m_options.fixed_retries / m_entry_count;
  const double usable_ratio = purpose == Purpose::kHedge
                                  ? kUsableBudgetRatio * kHedgeBudgetRatio
                                  : kUsableBudgetRatio;
  const double limit =
      usable_ratio * (m_options.ratio * CountRequests(window) + fixed_limit);
  if (CountRetries(window) + 1 > limit) return false;
  ++window
        .retries[static_cast<std::size_t>(window.newest_bucket) % kBucketCount];
  return true;
}

}  // namespace chicoryvale
