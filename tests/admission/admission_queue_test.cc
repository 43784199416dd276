#include "admission/admission_queue.h"

#include <gtest/gtest.h>

#include <memory>
#include <string>
#include <vector>

#include "fakes/fake_scheduler.h"
#include "fakes/load_run.h"

namespace chicoryvale {
namespace {

// Four slots per shard with a mean service time of 5.16 ms.
constexpr double kCapacityPerSecond = 775;
constexpr std::uint64_t kSeeds[] = {8, 90};

double GoodputPerSecond(double load_factor, std::uint64_t seed) {
  LoadPlan plan;
  plan.admission = true;
  plan.seed = seed;
  plan.duration = seconds(8);
  plan.workspaces = {{"makers", kCapacityPerSecond * load_factor, 1}};
  return static_cast<double>(LoadRun(plan).Run().complete_answers) /
         ToSeconds(plan.duration);
}

TEST(AdmissionLoadTest, GoodputIsKeptUnderOverload) {
  for (const std::uint64_t seed : kSeeds) {
    SCOPED_TRACE("seed " + std::to_string(seed));
    const double at_capacity = GoodputPerSecond(1, seed);
    EXPECT_GE(GoodputPerSecond(2, seed), 0.9 * at_capacity);
    EXPECT_GE(GoodputPerSecond(5, seed), 0.9 * at_capacity);
  }
}

// Returns the p99 latency of three workspaces at half of their shares while a
// fourth workspace sends `load_factor` times its share.
Duration OtherWorkspacesP99(double load_factor, std::uint64_t seed) {
  constexpr double kShare = kCapacityPerSecond / 4;
  LoadPlan plan;
  plan.admission = true;
  plan.seed = seed;
  plan.duration = seconds(30);
  plan.workspaces = {{"makers", kShare / 2, 1},
                     {"traders", kShare / 2, 1},
                     {"villages", kShare / 2, 1},
                     {"organisers", kShare * load_factor, 1}};
  LoadRun run(plan);
  run.Run();
  LoadResult others;
  for (const auto& [name, result] : run.ByWorkspace()) {
    if (name == "organisers") continue;
    EXPECT_EQ(result.refused, 0U);
    others.latencies.insert(others.latencies.end(), result.latencies.begin(),
                            result.latencies.end());
  }
  return others.Quantile(0.99);
}

TEST(AdmissionLoadTest, WorkspaceAtTenTimesItsShareDoesNotSlowOthers) {
  for (const std::uint64_t seed : kSeeds) {
    SCOPED_TRACE("seed " + std::to_string(seed));
    const double baseline_s = ToSeconds(OtherWorkspacesP99(1, seed));
    EXPECT_LE(ToSeconds(OtherWorkspacesP99(10, seed)), 1.1 * baseline_s);
  }
}

// An admission queue whose queries end only when the test ends them.
struct QueueFixture {
  FakeScheduler scheduler;
  AdmissionCounters counters;
  AdmissionQueue queue{&scheduler, &counters};
  std::vector<AdmissionTicket> started;
  std::vector<ErrorKind> refused;

  AdmissionTicket Submit(const std::string& workspace,
                         Duration timeout = seconds(1)) {
    const auto ticket = std::make_shared<AdmissionTicket>(0);
    const std::size_t started_before = started.size();
    *ticket = queue.Submit(workspace, scheduler.Now() + timeout,
                           [this](const Result<void>& result) {
                             if (result) {
                               started.push_back(0);
                             } else {
                               refused.push_back(result.error().kind);
                             }
                           });
    if (started.size() > started_before) started.back() = *ticket;
    return *ticket;
  }
};

TEST(AdmissionQueueTest, RefusesQueryThatCannotMeetItsDeadline) {
  QueueFixture fixture;
  fixture.Submit("makers", Duration::zero());
  EXPECT_EQ(fixture.refused, std::vector{ErrorKind::kOverloaded});
  EXPECT_EQ(fixture.counters.Get(AdmissionCounter::kRefusedTooLate), 1U);
}

TEST(AdmissionQueueTest, RefusesWaitingQueryOnceItCannotMeetItsDeadline) {
  QueueFixture fixture;
  while (fixture.queue.Waiting() == 0) fixture.Submit("makers");
  fixture.scheduler.RunFor(seconds(2));
  EXPECT_EQ(fixture.queue.Waiting(), 0U);
  EXPECT_EQ(fixture.refused, std::vector{ErrorKind::kOverloaded});
  EXPECT_EQ(fixture.counters.Get(AdmissionCounter::kDroppedTooLate), 1U);
}

TEST(AdmissionQueueTest, FullQueueEvictsFromTheWorkspaceOverItsShare) {
  QueueFixture fixture;
  while (fixture.queue.Waiting() < AdmissionQueue::kMaxWaiting) {
    fixture.Submit("makers");
  }
  fixture.Submit("traders");
  EXPECT_EQ(fixture.refused, std::vector{ErrorKind::kWorkspaceOverShare});
  fixture.Submit("makers");
  EXPECT_EQ(fixture.refused.back(), ErrorKind::kWorkspaceOverShare);
  EXPECT_EQ(fixture.counters.Get(AdmissionCounter::kEvictedOverShare), 1U);
  EXPECT_EQ(fixture.counters.Get(AdmissionCounter::kRefusedOverShare), 1U);
  EXPECT_EQ(fixture.queue.Waiting(), AdmissionQueue::kMaxWaiting);
}

TEST(AdmissionQueueTest, CancelAdmitsAWaitingQuery) {
  QueueFixture fixture;
  while (fixture.queue.Waiting() == 0) fixture.Submit("makers");
  const std::size_t in_flight = fixture.queue.InFlight();
  fixture.queue.Cancel(fixture.started.front());
  EXPECT_EQ(fixture.queue.Waiting(), 0U);
  EXPECT_EQ(fixture.queue.InFlight(), in_flight);
}

// A workspace with a low average usage may temporarily exceed its share.
TEST(AdmissionQueueTest, BurstOfAnIdleWorkspaceIsAdmittedImmediately) {
  QueueFixture fixture;
  fixture.Submit("makers");
  for (int i = 0; i < 12; ++i) fixture.Submit("traders");
  EXPECT_EQ(fixture.queue.Waiting(), 0U);
}

// A workspace with a long backlog is limited to less than its share of 8 while
// another workspace is active.
TEST(AdmissionQueueTest, WorkspaceWithLongBacklogIsLimitedBelowItsShare) {
  QueueFixture fixture;
  for (int i = 0; i < 76; ++i) fixture.Submit("makers", seconds(10));
  ASSERT_EQ(fixture.queue.InFlight(), 16U);
  fixture.scheduler.RunFor(seconds(2));
  fixture.Submit("traders", seconds(10));
  for (int i = 0; i < 10; ++i) {
    fixture.queue.Finish(fixture.started[static_cast<std::size_t>(i)], {});
  }
  EXPECT_EQ(fixture.queue.InFlight(), 7U);
  EXPECT_EQ(fixture.queue.Waiting(), 60U);
}

constexpr Duration kBaseLatency = milliseconds(10);

// Reports the end of `count` queries with `latency`, one per millisecond, while
// the queries in flight are at the limit.
void ReportLatencies(QueryLimit* limit, TimePoint* now, Duration latency,
                     int count) {
  for (int i = 0; i < count; ++i) {
    *now += milliseconds(1);
    limit->OnQueryEnd(latency, limit->Limit(), *now);
  }
}

TEST(QueryLimitTest, GrowsWithoutQueueingAndShrinksWithQueueing) {
  QueryLimit limit;
  TimePoint now{};
  ReportLatencies(&limit, &now, kBaseLatency, 2000);
  const std::uint32_t grown = limit.Limit();
  EXPECT_GT(grown, QueryLimit::kInitialLimit);
  ReportLatencies(&limit, &now, 2 * kBaseLatency, 1900);
  EXPECT_LT(limit.Limit(), grown / 2);
}

// Upstreams that become permanently slower look like queueing, but only until
// the next probe of the base latency.
TEST(QueryLimitTest, AdaptsToAHigherBaseLatency) {
  QueryLimit limit;
  TimePoint now{};
  ReportLatencies(&limit, &now, kBaseLatency, 1000);
  ReportLatencies(&limit, &now, 3 * kBaseLatency, 10000);
  const std::uint32_t shrunk = limit.Limit();
  ReportLatencies(&limit, &now, 3 * kBaseLatency, 5000);
  EXPECT_GT(limit.Limit(), 2 * shrunk);
}

TEST(FairQueueTest, PopsInProportionToWeights) {
  FairQueue queue;
  queue.SetWeights({{"makers", 3}, {"traders", 1}});
  for (AdmissionTicket ticket = 1; ticket <= 80; ++ticket) {
    queue.Push({ticket, ticket <= 40 ? "makers" : "traders", TimePoint{}});
  }
  int makers = 0;
  for (int i = 0; i < 40; ++i) {
    const auto next = queue.Pop([](const std::string&) { return true; });
    if (next->workspace == "makers") ++makers;
  }
  EXPECT_EQ(makers, 30);
}

TEST(FairQueueTest, PopsTheEarliestDeadlineOfAWorkspaceFirst) {
  FairQueue queue;
  queue.Push({1, "makers", TimePoint{} + seconds(2)});
  queue.Push({2, "makers", TimePoint{} + seconds(1)});
  EXPECT_EQ(queue.Pop([](const std::string&) { return true; })->ticket, 2U);
}

}  // namespace
}  // namespace chicoryvale
