#include "routing/repeat_budget.h"

#include <gtest/gtest.h>

#include <vector>

namespace chicoryvale {
namespace {

constexpr RepeatBudgetOptions kOptions{
    .ratio = 0.2, .window = seconds(10), .fixed = 100};
constexpr TimePoint kStart{seconds(1000)};

std::uint32_t TakeAll(RepeatBudget* budget, TimePoint now) {
  std::uint32_t taken = 0;
  while (budget->TryTake("s", RepeatBudget::Use::kRetry, now)) ++taken;
  return taken;
}

TEST(RepeatBudgetTest, GivesLittleOfTheFixedPartInTheFirstWindow) {
  RepeatBudget budget(kOptions, kStart);
  EXPECT_EQ(TakeAll(&budget, kStart + seconds(1)), 0U);
  const std::uint32_t taken = TakeAll(&budget, kStart + seconds(9));
  EXPECT_GT(taken, 0U);
  EXPECT_LE(taken, kOptions.fixed / 4);
}

TEST(RepeatBudgetTest, NothingWasRepeatedBeforeTheFirstStartOfAll) {
  RepeatBudgetOptions options = kOptions;
  options.first_start = true;
  RepeatBudget budget(options, kStart);
  EXPECT_EQ(TakeAll(&budget, kStart + seconds(1)), 0U);
  EXPECT_GT(TakeAll(&budget, kStart + seconds(9)), kOptions.fixed / 2);
}

TEST(RepeatBudgetTest, GivesTheRatioFromTheStart) {
  RepeatBudget budget(kOptions, kStart);
  for (int i = 0; i < 100; ++i) budget.NoteFirst("s", kStart);
  const std::uint32_t taken = TakeAll(&budget, kStart);
  EXPECT_GT(taken, 10U);
  EXPECT_LE(taken, 20U);
}

// The promise for all entries: a process that ends and starts again knows
// nothing of what it repeated before.
TEST(RepeatBudgetTest, StaysWithinTheWholeWhenEveryEntryStartsAgain) {
  constexpr std::uint32_t kEntries = 10;
  std::uint32_t taken = 0;
  const TimePoint restart = kStart + seconds(20);
  for (std::uint32_t i = 0; i < kEntries; ++i) {
    RepeatBudget before(kOptions, kStart);
    before.SetEntries(kEntries);
    taken += TakeAll(&before, restart);
    RepeatBudget after(kOptions, restart);
    after.SetEntries(kEntries);
    taken += TakeAll(&after, restart + seconds(5));
  }
  EXPECT_LE(taken, kOptions.fixed);
  EXPECT_GT(taken, kOptions.fixed / 2);
}

TEST(RepeatBudgetTest, StaysWithinTheWholeWhenAnEntryStartsThreeTimes) {
  RepeatBudget before(kOptions, kStart);
  TimePoint now = kStart + seconds(20);
  std::uint32_t taken = TakeAll(&before, now);
  for (int i = 0; i < 2; ++i) {
    RepeatBudget after(kOptions, now);
    now += seconds(3);
    taken += TakeAll(&after, now);
  }
  EXPECT_LE(taken, kOptions.fixed);
}

TEST(RepeatBudgetTest, TheWindowSlides) {
  RepeatBudget budget(kOptions, kStart);
  const TimePoint now = kStart + seconds(30);
  const std::uint32_t first = TakeAll(&budget, now);
  EXPECT_GT(first, 0U);
  EXPECT_EQ(TakeAll(&budget, now + seconds(9)), 0U);
  EXPECT_EQ(TakeAll(&budget, now + seconds(11)), first);
}

TEST(RepeatBudgetTest, HedgesLeaveAPartToRetries) {
  RepeatBudget budget(kOptions, kStart);
  const TimePoint now = kStart + seconds(30);
  while (budget.TryTake("s", RepeatBudget::Use::kHedge, now)) {
  }
  EXPECT_GT(TakeAll(&budget, now), 10U);
}

TEST(RepeatBudgetTest, ServicesDoNotShare) {
  RepeatBudget budget(kOptions, kStart);
  const TimePoint now = kStart + seconds(30);
  TakeAll(&budget, now);
  EXPECT_TRUE(budget.TryTake("other", RepeatBudget::Use::kRetry, now));
}

TEST(RepeatBudgetTest, TheNumberOfEntriesNeverFalls) {
  RepeatBudget budget(kOptions, kStart);
  budget.SetEntries(50);
  budget.SetEntries(1);
  EXPECT_LE(TakeAll(&budget, kStart + seconds(30)), 2U);
}

}  // namespace
}  // namespace chicoryvale
