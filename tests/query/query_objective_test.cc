#include <gtest/gtest.h>

#include <string>

#include "fakes/load_run.h"
#include "query/latency_quantile.h"

namespace chicoryvale {
namespace {

constexpr std::uint64_t kSeeds[] = {4, 50, 600};

// The brief's desks: 20 shards of two replicas, two slots each.
LoadPlan Desk(QueryObjective objective, std::uint64_t seed) {
  LoadPlan plan;
  plan.objective = objective;
  plan.fleet.stragglers = 0.01;
  plan.fleet.straggler_factor = 20;
  plan.duration = seconds(30);
  plan.seed = seed;
  return plan;
}

// 1% of the requests take 20 times the median. The targets are the stated
// ones: p99 under 3 times that without stragglers for tail latency, 99.99% of
// the shards within the deadline for coverage; and each setting gets more of
// what it is for than the other on the same arrivals.
TEST(QueryObjectiveTest, EachSettingReachesWhatItIsFor) {
  for (const std::uint64_t seed : kSeeds) {
    SCOPED_TRACE("seed " + std::to_string(seed));
    const LoadResult coverage =
        LoadRun(Desk(QueryObjective::kCoverage, seed)).Run();
    const LoadResult tail =
        LoadRun(Desk(QueryObjective::kTailLatency, seed)).Run();
    LoadPlan calm = Desk(QueryObjective::kTailLatency, seed);
    calm.fleet.stragglers = 0;
    const LoadResult without = LoadRun(calm).Run();
    EXPECT_LT(tail.Quantile(0.99), 3 * without.Quantile(0.99));
    EXPECT_GE(coverage.Coverage(), 0.9999);
    EXPECT_GT(coverage.Coverage(), tail.Coverage());
    EXPECT_LT(tail.Quantile(0.99), coverage.Quantile(0.99));
    EXPECT_EQ(tail.answered, tail.queries);
  }
}

TEST(QueryObjectiveTest, EarlyAnswersKeepTheMinimumCoverage) {
  LoadPlan plan = Desk(QueryObjective::kTailLatency, 7);
  plan.min_coverage_per_10000 = 10000;
  const LoadResult result = LoadRun(plan).Run();
  EXPECT_EQ(result.Coverage(), 1);
}

TEST(LatencyQuantileTest, FollowsTheLatencies) {
  LatencyQuantile quantile(0.9);
  for (int i = 1; i < 100; ++i) {
    quantile.Record(milliseconds(i));
    EXPECT_FALSE(quantile.Value().has_value());
  }
  quantile.Record(milliseconds(100));
  EXPECT_GE(*quantile.Value(), milliseconds(90));
  EXPECT_LE(*quantile.Value(), milliseconds(96));
  // Old latencies are forgotten after two windows.
  for (std::uint32_t i = 0; i < 2 * LatencyQuantile::kWindowSamples; ++i) {
    quantile.Record(milliseconds(2));
  }
  EXPECT_LE(*quantile.Value(), microseconds(2200));
}

}  // namespace
}  // namespace chicoryvale
