#include <gtest/gtest.h>

#include <algorithm>
#include <functional>
#include <optional>
#include <sstream>
#include <string>
#include <vector>

#include "query_fixture.h"

namespace chicoryvale {
namespace {

constexpr std::uint32_t kShards = 4;

// Checks that every record of the answer is of the answer's snapshot, that
// none is doubled, and that the coverage is that of the records.
void ExpectOneSnapshot(const QueryAnswer& answer) {
  std::vector<ShardId> covered;
  for (const ShardCoverage& shard : answer.coverage) {
    if (shard.state == ShardState::kCovered) covered.push_back(shard.shard);
  }
  std::istringstream records(answer.body.value_or(""));
  std::vector<ShardId> recounted;
  for (std::string record; records >> record;) {
    const auto at = record.find('@');
    recounted.push_back(static_cast<ShardId>(std::stoul(record)));
    EXPECT_EQ(record.substr(at + 1),
              std::to_string(answer.snapshot.map_epoch) + "." +
                  std::to_string(answer.snapshot.index_version));
  }
  if (answer.body) {
    EXPECT_EQ(recounted, covered);
  }
}

// When a change strikes.
struct Moment {
  std::string name;
  /// Arranges for `change` to happen at that moment of the next query.
  std::function<void(QueryFixture*, std::function<void()> change)> arrange;
};

// Shard 0 answers after `delay`, the others each a little later than the one
// before.
void Stagger(QueryFixture* fixture, Duration delay) {
  fixture->upstream.SetDefault([fixture, delay](const SubRequest& request) {
    FakeReply reply = fixture->upstream.Serve(request);
    reply.delay = request.shard == 0 ? delay : milliseconds(request.shard);
    return reply;
  });
}

std::vector<Moment> Moments() {
  return {
      {"before scatter",
       [](QueryFixture*, const std::function<void()>& change) { change(); }},
      {"between sub-answers",
       [](QueryFixture* f, std::function<void()> change) {
         // Half of the shards have answered; one is asked after the change.
         f->upstream.SetDefault([f](const SubRequest& request) {
           FakeReply reply = f->upstream.Serve(request);
           reply.delay = milliseconds(request.shard + 1);
           if (request.shard == 3 &&
               f->scheduler.Now() < TimePoint{} + milliseconds(1)) {
             reply.outcome.kind = SubOutcomeKind::kFailed;
           }
           return reply;
         });
         f->scheduler.Schedule(microseconds(2500), std::move(change));
       }},
      {"during retry",
       [](QueryFixture* f, std::function<void()> change) {
         f->upstream.SetDefault([f](const SubRequest& request) {
           FakeReply reply = f->upstream.Serve(request);
           reply.delay = milliseconds(2);
           if (f->upstream.SentCount() <= 2) {
             reply.outcome.kind = SubOutcomeKind::kConnectionLost;
           }
           // The retry finds a replica that loses the connection again, after
           // the change.
           if (f->upstream.SentCount() == kShards + 1) {
             reply.outcome.kind = SubOutcomeKind::kConnectionLost;
           }
           return reply;
         });
         f->scheduler.Schedule(microseconds(3000), std::move(change));
       }},
      {"after hedge",
       [](QueryFixture* f, std::function<void()> change) {
         for (int i = 0; i < 100; ++i) f->Ask(QueryFixture::Spec());
         const TimePoint start = f->scheduler.Now();
         Stagger(f, milliseconds(30));
         // First attempt and hedge of shard 0 both fail after the change.
         f->upstream.SetDefault([f, start](const SubRequest& request) {
           FakeReply reply = f->upstream.Serve(request);
           if (request.shard == 0 &&
               f->scheduler.Now() < start + milliseconds(10)) {
             reply.delay = milliseconds(20);
             reply.outcome.kind = SubOutcomeKind::kFailed;
           }
           return reply;
         });
         f->scheduler.Schedule(milliseconds(15), std::move(change));
       }},
  };
}

// Every replica stops serving version 1 and serves version 2.
void MoveIndex(QueryFixture* fixture) {
  for (ShardId shard = 0; shard < kShards; ++shard) {
    for (std::uint32_t replica : {0U, 1U}) {
      fixture->upstream.Index(TestReplica(shard, replica)) = {1, 2, 2};
    }
  }
}

// Six shards take the place of four, on other replicas; the old ones serve no
// more.
void MoveMap(QueryFixture* fixture) {
  for (ShardId shard = 0; shard < kShards; ++shard) {
    for (std::uint32_t replica : {0U, 1U}) {
      fixture->upstream.Index(TestReplica(shard, replica)) = {9, 1, 1};
    }
  }
  for (ShardId shard = 0; shard < 6; ++shard) {
    for (std::uint32_t replica : {0U, 1U}) {
      fixture->upstream.Index(TestReplica(shard, replica, 2)) = {2, 1, 1};
    }
  }
  fixture->Apply(MakeTestService(6, 2));
}

TEST(SnapshotTest, IndexVersionChangesAtEachMoment) {
  for (const Moment& moment : Moments()) {
    SCOPED_TRACE(moment.name);
    QueryFixture fixture(kShards);
    moment.arrange(&fixture, [&] { MoveIndex(&fixture); });
    const QueryAnswer answer = fixture.Ask(QueryFixture::Spec());
    ExpectOneSnapshot(answer);
    EXPECT_EQ(answer.snapshot, (SnapshotId{1, 2}));
    EXPECT_EQ(CountCovered(answer.coverage), kShards);
    EXPECT_EQ(answer.restarts, 1U);
    EXPECT_EQ(fixture.gate.Outstanding(), 0U);
  }
}

TEST(SnapshotTest, ShardMapChangesAtEachMoment) {
  for (const Moment& moment : Moments()) {
    SCOPED_TRACE(moment.name);
    QueryFixture fixture(kShards);
    moment.arrange(&fixture, [&] { MoveMap(&fixture); });
    const QueryAnswer answer = fixture.Ask(QueryFixture::Spec());
    ExpectOneSnapshot(answer);
    EXPECT_EQ(answer.snapshot, (SnapshotId{2, 1}));
    EXPECT_EQ(answer.coverage.size(), 6U);
    EXPECT_EQ(CountCovered(answer.coverage), 6U);
    EXPECT_EQ(fixture.gate.Outstanding(), 0U);
  }
}

// Attempts under way when the map changes still belong to the old snapshot;
// a query that needs no other ends on it.
TEST(SnapshotTest, AnswersUnderWayOutliveTheirMap) {
  QueryFixture fixture(kShards);
  fixture.scheduler.Schedule(milliseconds(1), [&] { MoveMap(&fixture); });
  const QueryAnswer answer = fixture.Ask(QueryFixture::Spec());
  ExpectOneSnapshot(answer);
  EXPECT_EQ(answer.snapshot, (SnapshotId{1, 1}));
  EXPECT_EQ(CountCovered(answer.coverage), kShards);
  EXPECT_EQ(answer.restarts, 0U);
}

// Attempts that wait at the gate when the map changes are never sent to a
// replica of the new map.
TEST(SnapshotTest, WaitingAttemptsStartAgainOnTheNewMap) {
  QueryFixture fixture(kShards);
  fixture.gate.Hold();
  fixture.scheduler.Schedule(milliseconds(1), [&] {
    MoveMap(&fixture);
    fixture.gate.Release();
  });
  const QueryAnswer answer = fixture.Ask(QueryFixture::Spec());
  ExpectOneSnapshot(answer);
  EXPECT_EQ(answer.snapshot, (SnapshotId{2, 1}));
  EXPECT_EQ(answer.attempts, 6U);
}

// The gate has the new map before the engine: nothing is sent to a replica of
// the one map under the other.
TEST(SnapshotTest, GateAheadOfTheEngine) {
  QueryFixture fixture(kShards);
  fixture.gate.Hold();
  std::optional<QueryAnswer> answer;
  fixture.Start(QueryFixture::Spec(), &answer);
  ClusterConfig config;
  config.services = {MakeTestService(6, 2)};
  fixture.gate.SetConfig(config);
  fixture.gate.Release();
  EXPECT_EQ(fixture.upstream.SentCount(), 0U);
  MoveMap(&fixture);
  fixture.scheduler.RunFor(seconds(1));
  EXPECT_EQ(answer->snapshot, (SnapshotId{2, 1}));
  EXPECT_EQ(CountCovered(answer->coverage), 6U);
  EXPECT_EQ(answer->attempts, 6U);
}

// The service is removed while attempts wait at the gate: nothing is sent.
TEST(SnapshotTest, ServiceRemovedWhileWaiting) {
  QueryFixture fixture(kShards);
  fixture.gate.Hold();
  std::optional<QueryAnswer> answer;
  fixture.Start(QueryFixture::Spec(), &answer);
  fixture.engine->SetConfig({});
  fixture.gate.Release();
  fixture.scheduler.RunFor(seconds(1));
  EXPECT_EQ(answer->body.error().kind, ErrorKind::kSnapshotUnavailable);
  EXPECT_EQ(answer->ran, Ran::kNo);
  EXPECT_EQ(fixture.upstream.SentCount(), 0U);
}

// A place that comes free just as the time is up is not used.
TEST(SnapshotTest, PlaceAtTheDeadlineIsNotUsed) {
  QueryFixture fixture(kShards);
  fixture.gate.Hold();
  fixture.scheduler.Schedule(milliseconds(398),
                             [&] { fixture.gate.Release(); });
  EXPECT_EQ(fixture.Ask(QueryFixture::Spec()).ran, Ran::kNo);
  EXPECT_EQ(fixture.upstream.SentCount(), 0U);
}

// One replica of each shard moves: the other one answers, without a restart.
TEST(SnapshotTest, OtherReplicaServesThePinnedVersion) {
  QueryFixture fixture(kShards);
  for (ShardId shard = 0; shard < kShards; ++shard) {
    fixture.upstream.Index(TestReplica(shard, 0)) = {1, 2, 2};
  }
  const QueryAnswer answer = fixture.Ask(QueryFixture::Spec());
  ExpectOneSnapshot(answer);
  EXPECT_EQ(CountCovered(answer.coverage), kShards);
  EXPECT_EQ(answer.restarts, 0U);
  // What was learned spares the next query the detour.
  EXPECT_EQ(fixture.Ask(QueryFixture::Spec()).attempts, kShards);
}

// Replicas that report no versions refuse the published one: the query starts
// again at the one published before.
TEST(SnapshotTest, RefusalsAreRememberedWithoutReports) {
  QueryFixture fixture(kShards);
  fixture.Apply(MakeTestService(kShards, 1, 2));
  fixture.upstream.SetDefault([&](const SubRequest& request) {
    FakeReply reply = fixture.upstream.Serve(request);
    reply.outcome.report = UpstreamReport{};
    return reply;
  });
  const QueryAnswer answer = fixture.Ask(QueryFixture::Spec());
  ExpectOneSnapshot(answer);
  EXPECT_EQ(answer.snapshot, (SnapshotId{1, 1}));
  EXPECT_EQ(CountCovered(answer.coverage), kShards);
  EXPECT_EQ(fixture.Ask(QueryFixture::Spec()).attempts, kShards);
}

// One shard is left behind: it is reported, never mixed in.
TEST(SnapshotTest, ShardLeftBehindIsReported) {
  QueryFixture fixture(kShards);
  MoveIndex(&fixture);
  fixture.upstream.Index(TestReplica(2, 0)) = {1, 1, 1};
  fixture.upstream.Index(TestReplica(2, 1)) = {1, 1, 1};
  const QueryAnswer answer = fixture.Ask(QueryFixture::Spec());
  ExpectOneSnapshot(answer);
  EXPECT_EQ(answer.snapshot, (SnapshotId{1, 2}));
  EXPECT_EQ(CountCovered(answer.coverage), kShards - 1);
  EXPECT_EQ(answer.coverage[2].state, ShardState::kSnapshotUnavailable);
}

// The change comes too late to start again: what is covered is reported.
TEST(SnapshotTest, NoTimeToStartAgain) {
  QueryFixture fixture(kShards);
  for (int i = 0; i < 100; ++i) fixture.Ask(QueryFixture::Spec());
  fixture.upstream.SetDefault([&](const SubRequest& request) {
    FakeReply reply = fixture.upstream.Serve(request);
    if (request.shard == 1) reply.delay = microseconds(2500);
    return reply;
  });
  MoveIndex(&fixture);
  for (ShardId shard : {0U, 2U, 3U}) {
    fixture.upstream.Index(TestReplica(shard, 0)) = {1, 1, 2};
    fixture.upstream.Index(TestReplica(shard, 1)) = {1, 1, 2};
  }
  QuerySpec spec = QueryFixture::Spec();
  spec.timeout = milliseconds(7);
  const QueryAnswer answer = fixture.Ask(spec);
  ExpectOneSnapshot(answer);
  EXPECT_EQ(answer.restarts, 0U);
  EXPECT_EQ(CountCovered(answer.coverage), kShards - 1);
  EXPECT_EQ(answer.coverage[1].state, ShardState::kSnapshotUnavailable);
}

// An upstream that answers from a snapshot other than the one it echoes asks
// for: dropped although its body is well formed.
TEST(SnapshotTest, NewerAnswersAreNotMixedIn) {
  QueryFixture fixture(kShards);
  for (std::uint32_t replica : {0U, 1U}) {
    fixture.upstream.SetBehaviour(
        TestReplica(1, replica), [&](const SubRequest& request) {
          FakeReply reply = fixture.upstream.Serve(request);
          reply.outcome.echoed_snapshot.index_version = 2;
          reply.outcome.body = "1@1.2";
          return reply;
        });
  }
  const QueryAnswer answer = fixture.Ask(QueryFixture::Spec());
  ExpectOneSnapshot(answer);
  EXPECT_EQ(answer.coverage[1].state, ShardState::kBadAnswer);
}

TEST(SnapshotTest, PublishedVersionIsPinnedOnceServed) {
  QueryFixture fixture(kShards);
  fixture.Ask(QueryFixture::Spec());
  fixture.Apply(MakeTestService(kShards, 1, 2));
  // The replicas reported version 1 only, so it stays pinned.
  EXPECT_EQ(fixture.engine->CurrentSnapshot(kTestService), (SnapshotId{1, 1}));
  for (ShardId shard = 0; shard < kShards; ++shard) {
    for (std::uint32_t replica : {0U, 1U}) {
      fixture.upstream.Index(TestReplica(shard, replica)) = {1, 1, 2};
    }
  }
  fixture.Ask(QueryFixture::Spec());
  EXPECT_EQ(fixture.Ask(QueryFixture::Spec()).snapshot, (SnapshotId{1, 2}));
}

// Random changes of index and map under concurrent queries never yield a
// mixed answer, a doubled record or a wrong coverage.
TEST(SnapshotTest, RandomChangesNeverMix) {
  constexpr std::uint64_t kSeeds = 200;
  std::size_t whole = 0;
  std::size_t total = 0;
  for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
    SCOPED_TRACE("seed " + std::to_string(seed));
    std::mt19937_64 random(seed);
    const auto below = [&](std::uint64_t n) { return random() % n; };
    QueryFixture fixture(kShards);
    fixture.upstream.SetDefault([&](const SubRequest& request) {
      FakeReply reply = fixture.upstream.Serve(request);
      reply.delay = microseconds(500 + below(4000));
      if (below(20) == 0) {
        reply.outcome.kind = static_cast<SubOutcomeKind>(1 + below(7));
      }
      if (below(50) == 0) ++reply.outcome.echoed_snapshot.index_version;
      if (below(50) == 0) reply.twice = true;
      return reply;
    });
    std::vector<std::optional<QueryAnswer>> answers(40);
    for (auto& answer : answers) {
      fixture.scheduler.Schedule(microseconds(below(40000)), [&] {
        fixture.Start(QueryFixture::Spec(), &answer);
      });
    }
    std::uint64_t epoch = 1;
    for (int change = 0; change < 3; ++change) {
      fixture.scheduler.Schedule(microseconds(below(40000)), [&] {
        if (below(2) == 0) {
          ++epoch;
          for (ShardId shard = 0; shard < 6; ++shard) {
            for (std::uint32_t replica : {0U, 1U}) {
              fixture.upstream.Index(TestReplica(shard, replica, epoch)) = {
                  epoch, 1, 3};
            }
          }
          fixture.Apply(MakeTestService(2 + below(5), epoch));
          return;
        }
        for (ShardId shard = 0; shard < 6; ++shard) {
          for (std::uint32_t replica : {0U, 1U}) {
            FakeIndex& index =
                fixture.upstream.Index(TestReplica(shard, replica, epoch));
            index.oldest = index.newest = index.newest + 1;
          }
        }
      });
    }
    fixture.scheduler.RunFor(seconds(2));
    for (const auto& answer : answers) {
      ASSERT_TRUE(answer.has_value());
      ExpectOneSnapshot(*answer);
      ++total;
      if (CountCovered(answer->coverage) == answer->coverage.size()) ++whole;
    }
    EXPECT_EQ(fixture.gate.Outstanding(), 0U);
    EXPECT_EQ(fixture.engine->AttemptsInFlight(), 0U);
  }
  RecordProperty("whole_answers", static_cast<int>(whole));
  EXPECT_GT(whole, total * 9 / 10);
}

}  // namespace
}  // namespace chicoryvale
