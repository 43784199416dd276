#include <gtest/gtest.h>

#include <string>
#include <vector>

#include "fakes/load_run.h"
#include "query/hedge_policy.h"
#include "query/token_budget.h"
#include "query_fixture.h"

namespace chicoryvale {
namespace {

// Upper limits of LoadResult::ExtraLoadRatio.
constexpr double kMaxExtraLoadRatio = 0.05;
constexpr double kMaxExtraLoadRatioWithFaults = 0.10;
constexpr std::uint64_t kSeeds[] = {1, 20, 300};

LoadPlan StragglerPlan(std::uint64_t seed) {
  LoadPlan plan;
  plan.fleet.straggler_ratio = 0.01;
  plan.duration = seconds(10);
  plan.seed = seed;
  return plan;
}

TEST(BudgetTest, ExtraLoadStaysUnderLimitWithStragglers) {
  for (const std::uint64_t seed : kSeeds) {
    SCOPED_TRACE("seed " + std::to_string(seed));
    const LoadResult result = LoadRun(StragglerPlan(seed)).Run();
    EXPECT_LT(result.ExtraLoadRatio(), kMaxExtraLoadRatio);
    EXPECT_GT(result.hedges, 0U);
  }
}

TEST(BudgetTest, ExtraLoadStaysUnderLimitIfATenthOfReplicasIsLost) {
  for (const FakeOutage outage :
       {FakeOutage::kConnectionRefused, FakeOutage::kSilent}) {
    for (const std::uint64_t seed : kSeeds) {
      SCOPED_TRACE("seed " + std::to_string(seed));
      LoadPlan plan = StragglerPlan(seed);
      plan.outage_every = 10;
      plan.outage = outage;
      const LoadResult result = LoadRun(plan).Run();
      EXPECT_LT(result.ExtraLoadRatio(), kMaxExtraLoadRatioWithFaults);
      EXPECT_EQ(result.answered, result.queries);
    }
  }
}

TEST(BudgetTest, ExtraLoadStaysUnderLimitIfATenthOfRequestsIsShed) {
  for (const std::uint64_t seed : kSeeds) {
    SCOPED_TRACE("seed " + std::to_string(seed));
    LoadPlan plan = StragglerPlan(seed);
    plan.fleet.shed_ratio = 0.1;
    const LoadResult result = LoadRun(plan).Run();
    EXPECT_LT(result.ExtraLoadRatio(), kMaxExtraLoadRatioWithFaults);
    EXPECT_GT(result.retries, 0U);
  }
}

// Guards against unbounded retries: if every attempt fails, the number of
// further attempts is bounded by the capacity of the retry budget, regardless
// of the number of queries.
TEST(BudgetTest, RetriesAreBoundedIfAllAttemptsFail) {
  using enum SubOutcomeKind;
  for (const SubOutcomeKind kind :
       {kNotStarted, kSnapshotUnavailable, kFailed, kNotConnected,
        kConnectionLost, kMalformed, kTimedOut}) {
    SCOPED_TRACE(static_cast<int>(kind));
    QueryFixture fixture(20);
    fixture.upstream.StopRecording();
    for (int i = 0; i < 100; ++i) fixture.RunQuery(QueryFixture::Spec());
    const std::uint64_t before = fixture.upstream.SentCount();
    fixture.upstream.SetDefault(
        [kind](const auto&) { return FakeUpstream::Fail(kind); });
    constexpr std::uint64_t kQueries = 300;
    for (std::uint64_t i = 0; i < kQueries; ++i) {
      fixture.RunQuery(QueryFixture::Spec());
    }
    const std::uint64_t sent = fixture.upstream.SentCount() - before;
    EXPECT_LE(sent, 20 * kQueries + static_cast<std::uint64_t>(
                                        ServiceState::kMaxExtraAttemptTokens));
  }
}

// Guards against unbounded hedges: if no replica answers, a hedge becomes due
// for every shard.
TEST(BudgetTest, HedgesAreBoundedIfNoReplicaAnswers) {
  QueryFixture fixture(20);
  fixture.upstream.StopRecording();
  for (int i = 0; i < 100; ++i) fixture.RunQuery(QueryFixture::Spec());
  fixture.upstream.SetDefault(
      [](const auto&) { return FakeUpstream::Silent(); });
  for (int i = 0; i < 50; ++i) fixture.RunQuery(QueryFixture::Spec());
  EXPECT_GT(fixture.Count(QueryCounter::kHedges), 0U);
  EXPECT_LE(fixture.Count(QueryCounter::kHedges),
            static_cast<std::uint64_t>(HedgePolicy::kMaxHedgeTokens));
  EXPECT_GT(fixture.Count(QueryCounter::kHedgeNoBudget), 0U);
}

// Guards against unbounded restarts: the replicas refuse every snapshot and
// report a newer version each time, so every query needs a restart.
TEST(BudgetTest, RestartsAreBoundedIfVersionsAreNeverServed) {
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
    fixture.RunQuery(QueryFixture::Spec());
  }
  const double restarts = ServiceState::kMaxRestartTokens;
  const double retries = ServiceState::kMaxExtraAttemptTokens;
  EXPECT_LE(fixture.upstream.SentCount(), 4 * (kQueries + restarts) + retries);
  EXPECT_GT(fixture.Count(QueryCounter::kRestartNoBudget), 0U);
}

// Retries complete answers, hedges only make them faster. Below half of its
// capacity, the shared budget is reserved for retries.
TEST(HedgePolicyTest, LeavesTheSharedReserveToRetries) {
  TokenBudget pool(0, 10);
  HedgePolicy policy(&pool);
  while (pool.FillRatio() > HedgePolicy::kMinSharedFillRatio) pool.TryConsume();
  EXPECT_TRUE(policy.TryConsumeTokens());
  EXPECT_FALSE(policy.TryConsumeTokens());
  EXPECT_TRUE(pool.TryConsume());
}

TEST(TokenBudgetTest, FillsFromSuccessesUpToItsCapacity) {
  TokenBudget budget(0.5, 2);
  EXPECT_TRUE(budget.TryConsume());
  EXPECT_TRUE(budget.TryConsume());
  EXPECT_FALSE(budget.TryConsume());
  budget.RecordSuccesses();
  EXPECT_FALSE(budget.TryConsume());
  budget.RecordSuccesses();
  EXPECT_TRUE(budget.TryConsume());
  budget.RecordSuccesses(100);
  EXPECT_DOUBLE_EQ(budget.FillRatio(), 1);
}

}  // namespace
}  // namespace chicoryvale
