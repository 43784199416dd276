#include "query/query_engine.h"

#include <gtest/gtest.h>

#include <optional>

#include "query_fixture.h"

namespace chicoryvale {
namespace {

TEST(QueryEngineTest, AnswersWholeWithCoverage) {
  QueryFixture fixture;
  const QueryAnswer answer = fixture.Ask(QueryFixture::Spec());
  ASSERT_TRUE(answer.body.has_value());
  EXPECT_EQ(*answer.body, "0@1.1 1@1.1 2@1.1 3@1.1 ");
  EXPECT_EQ(CountCovered(answer.coverage), 4U);
  EXPECT_EQ(answer.snapshot, (SnapshotId{1, 1}));
  EXPECT_EQ(answer.ran, Ran::kYes);
  EXPECT_EQ(answer.attempts, 4U);
  EXPECT_EQ(fixture.engine->InFlight(), 0U);
  EXPECT_EQ(fixture.gate.Outstanding(), 0U);
}

TEST(QueryEngineTest, AsksTheOneShardOfARoutingKey) {
  QueryFixture fixture;
  QuerySpec spec = QueryFixture::Spec();
  spec.routing_hash = 6;
  const QueryAnswer answer = fixture.Ask(spec);
  EXPECT_EQ(answer.body.value_or(""), "2@1.1 ");
  EXPECT_EQ(answer.coverage,
            (std::vector<ShardCoverage>{{2, ShardState::kCovered}}));
}

TEST(QueryEngineTest, ReportsTheShardsThatMissedTheDeadline) {
  QueryFixture fixture;
  for (std::uint32_t replica : {0U, 1U}) {
    fixture.upstream.SetBehaviour(TestReplica(1, replica), [](const auto&) {
      return FakeUpstream::Silent();
    });
  }
  const QueryAnswer answer = fixture.Ask(QueryFixture::Spec());
  EXPECT_EQ(answer.body.value_or(""), "0@1.1 2@1.1 3@1.1 ");
  EXPECT_EQ(answer.coverage[1].state, ShardState::kDeadline);
  EXPECT_LE(fixture.scheduler.Now() - TimePoint{}, milliseconds(400));
  EXPECT_EQ(fixture.gate.Outstanding(), 0U);
}

TEST(QueryEngineTest, FailsBelowTheMinimumCoverage) {
  QueryFixture fixture;
  fixture.upstream.SetBehaviour(
      TestReplica(1, 0), [](const auto&) { return FakeUpstream::Silent(); });
  fixture.upstream.SetBehaviour(
      TestReplica(1, 1), [](const auto&) { return FakeUpstream::Silent(); });
  QuerySpec spec = QueryFixture::Spec();
  spec.min_coverage_per_10000 = 7600;
  const QueryAnswer answer = fixture.Ask(spec);
  ASSERT_FALSE(answer.body.has_value());
  EXPECT_EQ(answer.body.error().kind, ErrorKind::kInsufficientCoverage);
  EXPECT_EQ(answer.body.error().ran, Ran::kYes);
}

TEST(QueryEngineTest, RefusalsDoNotRun) {
  QueryFixture fixture;
  QuerySpec unknown = QueryFixture::Spec();
  unknown.service = "macchie.Nowhere";
  QuerySpec late = QueryFixture::Spec();
  late.timeout = Duration::zero();
  QuerySpec replanned = QueryFixture::Spec();
  replanned.map_epoch = 9;
  struct Case {
    QuerySpec spec;
    ErrorKind kind;
  };
  for (const Case& c : {Case{unknown, ErrorKind::kNoConfiguration},
                        Case{late, ErrorKind::kInvalidDeadline},
                        Case{replanned, ErrorKind::kSnapshotUnavailable}}) {
    const QueryAnswer answer = fixture.Ask(c.spec);
    ASSERT_FALSE(answer.body.has_value());
    EXPECT_EQ(answer.body.error().kind, c.kind);
    EXPECT_EQ(answer.body.error().ran, Ran::kNo);
  }
  fixture.engine->StopAccepting();
  const QueryAnswer answer = fixture.Ask(QueryFixture::Spec());
  EXPECT_EQ(answer.body.error().kind, ErrorKind::kShuttingDown);
  EXPECT_EQ(fixture.upstream.SentCount(), 0U);
}

TEST(QueryEngineTest, CancelAbandonsEveryAttempt) {
  QueryFixture fixture;
  std::optional<QueryAnswer> answer;
  const QueryId id = fixture.Start(QueryFixture::Spec(), &answer);
  EXPECT_TRUE(fixture.engine->Cancel(id));
  EXPECT_EQ(fixture.upstream.Cancelled(), 4U);
  EXPECT_EQ(fixture.engine->InFlight(), 0U);
  EXPECT_EQ(fixture.engine->AttemptsInFlight(), 0U);
  EXPECT_EQ(fixture.gate.Outstanding(), 0U);
  fixture.scheduler.RunFor(seconds(1));
  EXPECT_FALSE(answer.has_value());
}

TEST(QueryEngineTest, CancelLeavesARequestThatMayRunOnlyOnce) {
  QueryFixture fixture;
  std::optional<QueryAnswer> answer;
  const QueryId id = fixture.Start(QueryFixture::OnceSpec(), &answer);
  EXPECT_FALSE(fixture.engine->Cancel(id));
  fixture.scheduler.RunFor(seconds(1));
  ASSERT_TRUE(answer.has_value());
  EXPECT_EQ(answer->ran, Ran::kYes);
}

TEST(QueryEngineTest, AsksAgainBesideAnAttemptWithoutProgress) {
  QueryFixture fixture;
  fixture.gate.SetProgressBound(milliseconds(20));
  fixture.upstream.SetDefault([&](const SubRequest& request) {
    return fixture.upstream.SentCount() == 2 ? FakeUpstream::Silent()
                                             : fixture.upstream.Serve(request);
  });
  const QueryAnswer answer = fixture.Ask(QueryFixture::Spec());
  EXPECT_EQ(CountCovered(answer.coverage), 4U);
  EXPECT_EQ(answer.retries, 1U);
  EXPECT_EQ(fixture.Count(QueryCounter::kRetryStalled), 1U);
  EXPECT_LT(fixture.scheduler.Now() - TimePoint{}, milliseconds(30));
}

TEST(QueryEngineTest, AsksTheShardOfTheFingerprintFirst) {
  QueryFixture fixture;
  QuerySpec spec = QueryFixture::Spec();
  spec.fingerprint = 4 * 1000 + 2;
  fixture.Ask(spec);
  EXPECT_EQ(fixture.upstream.Sent().front().shard, 2U);
}

TEST(QueryEngineTest, WaitsForPlacesAtTheGate) {
  QueryFixture fixture;
  fixture.gate.SetSlots(1);
  std::optional<QueryAnswer> answers[6];
  for (auto& answer : answers) fixture.Start(QueryFixture::Spec(), &answer);
  fixture.scheduler.RunFor(milliseconds(399));
  for (const auto& answer : answers) {
    ASSERT_TRUE(answer.has_value());
    EXPECT_EQ(CountCovered(answer->coverage), 4U);
  }
  EXPECT_EQ(fixture.gate.Outstanding(), 0U);
}

}  // namespace
}  // namespace chicoryvale
