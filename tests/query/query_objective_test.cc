#include <gtest/gtest.h>

#include <string>

#include "fakes/load_run.h"
#include "query/latency_quantile.h"

namespace chicoryvale {
namespace {

constexpr std::uint64_t kSeeds[] = {4, 50, 600};

// A service of 20 shards with two replicas each and two slots for each replica.
// 1% of the requests take 20 times the median.
LoadPlan MakeDeskPlan(QueryObjective objective, std::uint64_t seed) {
  LoadPlan plan;
  plan.objective = objective;
  plan.fleet.straggler_ratio = 0.01;
  plan.fleet.straggler_factor = 20;
  plan.duration = seconds(30);
  plan.seed = seed;
  return plan;
}

// Stated targets: kTailLatency keeps p99 below 3 times the p99 without
// stragglers, and kCoverage covers 99.99% of the shards within the deadline.
// For the same arrivals, each objective is better than the other in its own
// measure.
TEST(QueryObjectiveTest, EachObjectiveReachesItsTarget) {
  for (const std::uint64_t seed : kSeeds) {
    SCOPED_TRACE("seed " + std::to_string(seed));
    const LoadResult coverage =
        LoadRun(MakeDeskPlan(QueryObjective::kCoverage, seed)).Run();
    const LoadResult tail =
        LoadRun(MakeDeskPlan(QueryObjective::kTailLatency, seed)).Run();
    LoadPlan no_straggler_plan =
        MakeDeskPlan(QueryObjective::kTailLatency, seed);
    no_straggler_plan.fleet.straggler_ratio = 0;
    const LoadResult without_stragglers = LoadRun(no_straggler_plan).Run();
    EXPECT_LT(tail.Quantile(0.99), 3 * without_stragglers.Quantile(0.99));
    EXPECT_GE(coverage.Coverage(), 0.9999);
    EXPECT_GT(coverage.Coverage(), tail.Coverage());
    EXPECT_LT(tail.Quantile(0.99), coverage.Quantile(0.99));
    EXPECT_EQ(tail.answered, tail.queries);
  }
}

TEST(QueryObjectiveTest, EarlyAnswersKeepTheMinimumCoverage) {
  LoadPlan plan = MakeDeskPlan(QueryObjective::kTailLatency, 7);
  plan.min_coverage_per_10000 = 10000;
  const LoadResult result = LoadRun(plan).Run();
  EXPECT_EQ(result.Coverage(), 1);
}

TEST(LatencyQuantileTest, EstimateFollowsRecentLatencies) {
  LatencyQuantile quantile(0.9);
  for (int i = 1; i < 100; ++i) {
    quantile.Record(milliseconds(i));
    EXPECT_FALSE(quantile.Value().has_value());
  }
  quantile.Record(milliseconds(100));
  EXPECT_GE(*quantile.Value(), milliseconds(90));
  EXPECT_LE(*quantile.Value(), milliseconds(96));
  // Older latencies are dropped once both histograms were replaced.
  for (std::uint32_t i = 0; i < 2 * LatencyQuantile::kSamplesPerHistogram;
       ++i) {
    quantile.Record(milliseconds(2));
  }
  EXPECT_LE(*quantile.Value(), microseconds(2200));
}

}  // namespace
}  // namespace chicoryvale
