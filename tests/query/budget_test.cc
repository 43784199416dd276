#include <gtest/gtest.h>

#include <string>
#include <vector>

#include "fakes/load_run.h"
#include "query/hedge_policy.h"
#include "query/token_budget.h"
#include "query_fixture.h"

namespace chicoryvale {
namespace {

constexpr double kOrdinaryExtraLoad = 0.05;
constexpr double kFaultExtraLoad = 0.10;
constexpr std::uint64_t kSeeds[] = {1, 20, 300};

LoadPlan StragglerPlan(std::uint64_t seed) {
  LoadPlan plan;
  plan.fleet.stragglers = 0.01;
  plan.duration = seconds(10);
  plan.seed = seed;
  return plan;
}

TEST(BudgetTest, ExtraLoadInOrdinaryRunning) {
  for (const std::uint64_t seed : kSeeds) {
    SCOPED_TRACE("seed " + std::to_string(seed));
    const LoadResult result = LoadRun(StragglerPlan(seed)).Run();
    EXPECT_LT(result.ExtraLoad(), kOrdinaryExtraLoad);
    EXPECT_GT(result.hedges, 0U);
  }
}

TEST(BudgetTest, ExtraLoadWithATenthOfTheReplicasLost) {
  for (const FakeLoss loss : {FakeLoss::kRefuses, FakeLoss::kSilent}) {
    for (const std::uint64_t seed : kSeeds) {
      SCOPED_TRACE("seed " + std::to_string(seed));
      LoadPlan plan = StragglerPlan(seed);
      plan.lost_every = 10;
      plan.loss = loss;
      const LoadResult result = LoadRun(plan).Run();
      EXPECT_LT(result.ExtraLoad(), kFaultExtraLoad);
      EXPECT_EQ(result.answered, result.queries);
    }
  }
}

TEST(BudgetTest, ExtraLoadWithATenthOfTheRequestsShed) {
  for (const std::uint64_t seed : kSeeds) {
    SCOPED_TRACE("seed " + std::to_string(seed));
    LoadPlan plan = StragglerPlan(seed);
    plan.fleet.shed = 0.1;
    const LoadResult result = LoadRun(plan).Run();
    EXPECT_LT(result.ExtraLoad(), kFaultExtraLoad);
    EXPECT_GT(result.retries, 0U);
  }
}

// With every attempt failing in the given way, what is sent beyond the first
// attempts is bounded by the full buckets, whatever the number of queries.
TEST(BudgetTest, BudgetsHoldWhenEverythingFails) {
  using enum SubOutcomeKind;
  for (const SubOutcomeKind kind :
       {kNotStarted, kSnapshotUnavailable, kFailed, kNotConnected,
        kConnectionLost, kMalformed, kTimedOut}) {
    SCOPED_TRACE(static_cast<int>(kind));
    QueryFixture fixture(20);
    fixture.upstream.StopRecording();
    for (int i = 0; i < 100; ++i) fixture.Ask(QueryFixture::Spec());
    const std::uint64_t before = fixture.upstream.SentCount();
    fixture.upstream.SetDefault(
        [kind](const auto&) { return FakeUpstream::Fail(kind); });
    constexpr std::uint64_t kQueries = 300;
    for (std::uint64_t i = 0; i < kQueries; ++i) {
      fixture.Ask(QueryFixture::Spec());
    }
    const std::uint64_t sent = fixture.upstream.SentCount() - before;
    EXPECT_LE(sent, 20 * kQueries + static_cast<std::uint64_t>(
                                        ServiceState::kExtraLoadCapacity));
  }
}

// Answers that stay out make every shard a candidate for a hedge.
TEST(BudgetTest, HedgesHoldWhenEverythingIsSilent) {
  QueryFixture fixture(20);
  fixture.upstream.StopRecording();
  for (int i = 0; i < 100; ++i) fixture.Ask(QueryFixture::Spec());
  fixture.upstream.SetDefault(
      [](const auto&) { return FakeUpstream::Silent(); });
  for (int i = 0; i < 50; ++i) fixture.Ask(QueryFixture::Spec());
  EXPECT_GT(fixture.Count(QueryCounter::kHedges), 0U);
  EXPECT_LE(fixture.Count(QueryCounter::kHedges),
            static_cast<std::uint64_t>(HedgePolicy::kBudgetCapacity));
  EXPECT_GT(fixture.Count(QueryCounter::kHedgeNoBudget), 0U);
}

// Snapshots that are never served by the time they are asked for make every
// query start again: bounded as well.
TEST(BudgetTest, RestartsHoldWhenVersionsRunAway) {
  QueryFixture fixture(4);
  fixture.upstream.StopRecording();
  std::uint64_t version = 1;
  fixture.upstream.SetDefault([&](const SubRequest&) {
    FakeReply reply = FakeUpstream::Fail(SubOutcomeKind::kSnapshotUnavailable);
    ++version;
    reply.outcome.report.oldest_version = version;
    reply.outcome.report.newest_version = version;
    return reply;
  });
  constexpr std::uint64_t kQueries = 500;
  for (std::uint64_t i = 0; i < kQueries; ++i) {
    fixture.Ask(QueryFixture::Spec());
  }
  const double restarts = ServiceState::kRestartCapacity;
  const double retries = ServiceState::kExtraLoadCapacity;
  EXPECT_LE(fixture.upstream.SentCount(), 4 * (kQueries + restarts) + retries);
  EXPECT_GT(fixture.Count(QueryCounter::kRestartNoBudget), 0U);
}

// Retries repair answers, hedges only hasten them: a half-empty shared budget
// is left to retries.
TEST(HedgePolicyTest, LeavesTheSharedReserveToRetries) {
  TokenBudget shared(0, 10);
  HedgePolicy policy(&shared);
  while (shared.FillLevel() > HedgePolicy::kSharedReserve) shared.TryTake();
  EXPECT_TRUE(policy.TryTake());
  EXPECT_FALSE(policy.TryTake());
  EXPECT_TRUE(shared.TryTake());
}

TEST(TokenBudgetTest, FillsFromSuccessesUpToItsCapacity) {
  TokenBudget budget(0.5, 2);
  EXPECT_TRUE(budget.TryTake());
  EXPECT_TRUE(budget.TryTake());
  EXPECT_FALSE(budget.TryTake());
  budget.OnSuccess();
  EXPECT_FALSE(budget.TryTake());
  budget.OnSuccess();
  EXPECT_TRUE(budget.TryTake());
  budget.OnSuccess(100);
  EXPECT_DOUBLE_EQ(budget.FillLevel(), 1);
}

}  // namespace
}  // namespace chicoryvale
