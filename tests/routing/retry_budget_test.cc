#include "routing/retry_budget.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <cstdint>
#include <vector>

namespace chicoryvale {
namespace {

constexpr RetryBudgetOptions kOptions{
    .ratio = 0.2, .window = seconds(10), .fixed_retries = 100};
constexpr TimePoint kStart{seconds(1000)};

std::uint32_t AcquireAll(RetryBudget* budget, TimePoint now) {
  std::uint32_t acquired = 0;
  while (budget->TryAcquire("s", RetryBudget::Purpose::kRetry, now)) ++acquired;
  return acquired;
}

TEST(RetryBudgetTest, LimitsTheFixedNumberInTheFirstWindow) {
  RetryBudget budget(kOptions, kStart);
  EXPECT_EQ(AcquireAll(&budget, kStart + seconds(1)), 0U);
  const std::uint32_t acquired = AcquireAll(&budget, kStart + seconds(9));
  EXPECT_GT(acquired, 0U);
  EXPECT_LE(acquired, kOptions.fixed_retries / 4);
}

TEST(RetryBudgetTest, FirstStartOfAllProcessesAllowsMostOfTheFixedNumber) {
  RetryBudgetOptions options = kOptions;
  options.first_start = true;
  RetryBudget budget(options, kStart);
  EXPECT_EQ(AcquireAll(&budget, kStart + seconds(1)), 0U);
  EXPECT_GT(AcquireAll(&budget, kStart + seconds(9)),
            kOptions.fixed_retries / 2);
}

TEST(RetryBudgetTest, RatioIsAvailableFromTheStart) {
  RetryBudget budget(kOptions, kStart);
  for (int i = 0; i < 100; ++i) budget.RecordRequest("s", kStart);
  const std::uint32_t acquired = AcquireAll(&budget, kStart);
  EXPECT_GT(acquired, 10U);
  EXPECT_LE(acquired, 20U);
}

// Guards against exceeding the limits for all entries together: a process that
// restarts does not know how many retries it made before.
TEST(RetryBudgetTest, StaysWithinTheFixedNumberWhenAllEntriesRestart) {
  constexpr std::uint32_t kEntries = 10;
  std::uint32_t acquired = 0;
  const TimePoint restart = kStart + seconds(20);
  for (std::uint32_t i = 0; i < kEntries; ++i) {
    RetryBudget before(kOptions, kStart);
    before.SetEntryCount(kEntries);
    acquired += AcquireAll(&before, restart);
    RetryBudget after(kOptions, restart);
    after.SetEntryCount(kEntries);
    acquired += AcquireAll(&after, restart + seconds(5));
  }
  EXPECT_LE(acquired, kOptions.fixed_retries);
  EXPECT_GT(acquired, kOptions.fixed_retries / 2);
}

TEST(RetryBudgetTest, StaysWithinTheFixedNumberWhenAnEntryStartsThreeTimes) {
  RetryBudget before(kOptions, kStart);
  TimePoint now = kStart + seconds(20);
  std::uint32_t acquired = AcquireAll(&before, now);
  for (int i = 0; i < 2; ++i) {
    RetryBudget after(kOptions, now);
    now += seconds(3);
    acquired += AcquireAll(&after, now);
  }
  EXPECT_LE(acquired, kOptions.fixed_retries);
}

TEST(RetryBudgetTest, RetriesBecomeAvailableAgainAfterAWindow) {
  RetryBudget budget(kOptions, kStart);
  const TimePoint now = kStart + seconds(30);
  const std::uint32_t first = AcquireAll(&budget, now);
  EXPECT_GT(first, 0U);
  EXPECT_EQ(AcquireAll(&budget, now + seconds(9)), 0U);
  EXPECT_EQ(AcquireAll(&budget, now + seconds(11)), first);
}

// Guards against granting a part of the budget twice within one window: two
// bursts of failures that are almost a window apart made more retries than the
// limits allow.
TEST(RetryBudgetTest, TwoBurstsWithinAWindowStayWithinTheLimits) {
  constexpr int kRequestsPerStep = 5;
  constexpr Duration kStep = milliseconds(100);
  const auto steps_per_window = static_cast<std::uint32_t>(seconds(10) / kStep);
  const double allowed =
      kOptions.fixed_retries + steps_per_window * kRequestsPerStep / 5.0;
  for (Duration gap = seconds(5); gap < seconds(10); gap += kStep) {
    for (Duration phase{}; phase < milliseconds(500); phase += kStep) {
      RetryBudget budget(kOptions, kStart);
      const TimePoint first = kStart + seconds(30) + phase;
      std::uint32_t acquired = 0;
      for (TimePoint now = kStart; now <= first + gap; now += kStep) {
        for (int i = 0; i < kRequestsPerStep; ++i) {
          budget.RecordRequest("s", now);
        }
        const bool is_burst = now == first || now == first + gap;
        if (is_burst) acquired += AcquireAll(&budget, now);
      }
      EXPECT_LE(acquired, allowed)
          << "gap " << gap.count() << " us, phase " << phase.count() << " us";
    }
  }
}

TEST(RetryBudgetTest, HedgesLeaveBudgetForRetries) {
  RetryBudget budget(kOptions, kStart);
  const TimePoint now = kStart + seconds(30);
  while (budget.TryAcquire("s", RetryBudget::Purpose::kHedge, now)) {
  }
  EXPECT_GT(AcquireAll(&budget, now), 10U);
}

TEST(RetryBudgetTest, ServicesHaveSeparateBudgets) {
  RetryBudget budget(kOptions, kStart);
  const TimePoint now = kStart + seconds(30);
  AcquireAll(&budget, now);
  EXPECT_TRUE(budget.TryAcquire("other", RetryBudget::Purpose::kRetry, now));
}

TEST(RetryBudgetTest, LowerEntryCountIsIgnored) {
  RetryBudget budget(kOptions, kStart);
  budget.SetEntryCount(50);
  budget.SetEntryCount(1);
  EXPECT_LE(AcquireAll(&budget, kStart + seconds(30)), 2U);
}

}  // namespace
}  // namespace chicoryvale
