#include "routing/retry_budget.h"

#include <gtest/gtest.h>

#include <vector>

namespace chicoryvale {
namespace {

constexpr RetryBudgetOptions kOptions{
    .ratio = 0.2, .window = seconds(10), .fixed_retries = 100};
constexpr TimePoint kStart{seconds(1000)};

std::uint32_t TakeAll(RetryBudget* budget, TimePoint now) {
  std::uint32_t taken = 0;
  while (budget->TryTake("s", RetryBudget::Use::kRetry, now)) ++taken;
  return taken;
}

TEST(RetryBudgetTest, GivesLittleOfTheFixedPartInTheFirstWindow) {
  RetryBudget budget(kOptions, kStart);
  EXPECT_EQ(TakeAll(&budget, kStart + seconds(1)), 0U);
  const std::uint32_t taken = TakeAll(&budget, kStart + seconds(9));
  EXPECT_GT(taken, 0U);
  EXPECT_LE(taken, kOptions.fixed_retries / 4);
}

TEST(RetryBudgetTest, NothingWasRepeatedBeforeTheFirstStartOfAll) {
  RetryBudgetOptions options = kOptions;
  options.first_start = true;
  RetryBudget budget(options, kStart);
  EXPECT_EQ(TakeAll(&budget, kStart + seconds(1)), 0U);
  EXPECT_GT(TakeAll(&budget, kStart + seconds(9)), kOptions.fixed_retries / 2);
}

TEST(RetryBudgetTest, GivesTheRatioFromTheStart) {
  RetryBudget budget(kOptions, kStart);
  for (int i = 0; i < 100; ++i) budget.NoteFirst("s", kStart);
  const std::uint32_t taken = TakeAll(&budget, kStart);
  EXPECT_GT(taken, 10U);
  EXPECT_LE(taken, 20U);
}

// The promise for all entries: a process that ends and starts again knows
// nothing of what it repeated before.
TEST(RetryBudgetTest, StaysWithinTheWholeWhenEveryEntryStartsAgain) {
  constexpr std::uint32_t kEntries = 10;
  std::uint32_t taken = 0;
  const TimePoint restart = kStart + seconds(20);
  for (std::uint32_t i = 0; i < kEntries; ++i) {
    RetryBudget before(kOptions, kStart);
    before.SetEntryCount(kEntries);
    taken += TakeAll(&before, restart);
    RetryBudget after(kOptions, restart);
    after.SetEntryCount(kEntries);
    taken += TakeAll(&after, restart + seconds(5));
  }
  EXPECT_LE(taken, kOptions.fixed_retries);
  EXPECT_GT(taken, kOptions.fixed_retries / 2);
}

TEST(RetryBudgetTest, StaysWithinTheWholeWhenAnEntryStartsThreeTimes) {
  RetryBudget before(kOptions, kStart);
  TimePoint now = kStart + seconds(20);
  std::uint32_t taken = TakeAll(&before, now);
  for (int i = 0; i < 2; ++i) {
    RetryBudget after(kOptions, now);
    now += seconds(3);
    taken += TakeAll(&after, now);
  }
  EXPECT_LE(taken, kOptions.fixed_retries);
}

TEST(RetryBudgetTest, TheWindowSlides) {
  RetryBudget budget(kOptions, kStart);
  const TimePoint now = kStart + seconds(30);
  const std::uint32_t first = TakeAll(&budget, now);
  EXPECT_GT(first, 0U);
  EXPECT_EQ(TakeAll(&budget, now + seconds(9)), 0U);
  EXPECT_EQ(TakeAll(&budget, now + seconds(11)), first);
}

TEST(RetryBudgetTest, HedgesLeaveAPartToRetries) {
  RetryBudget budget(kOptions, kStart);
  const TimePoint now = kStart + seconds(30);
  while (budget.TryTake("s", RetryBudget::Use::kHedge, now)) {
  }
  EXPECT_GT(TakeAll(&budget, now), 10U);
}

TEST(RetryBudgetTest, ServicesDoNotShare) {
  RetryBudget budget(kOptions, kStart);
  const TimePoint now = kStart + seconds(30);
  TakeAll(&budget, now);
  EXPECT_TRUE(budget.TryTake("other", RetryBudget::Use::kRetry, now));
}

TEST(RetryBudgetTest, TheNumberOfEntriesNeverFalls) {
  RetryBudget budget(kOptions, kStart);
  budget.SetEntryCount(50);
  budget.SetEntryCount(1);
  EXPECT_LE(TakeAll(&budget, kStart + seconds(30)), 2U);
}

}  // namespace
}  // namespace chicoryvale
