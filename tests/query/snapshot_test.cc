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

// Expects that all records of `answer` belong to its snapshot, that no record
// is duplicated, and that the coverage matches the records.
void ExpectOneSnapshot(const QueryAnswer& answer) {
  std::vector<ShardId> covered;
  for (const ShardCoverage& shard : answer.coverage) {
    if (shard.state == ShardState::kCovered) covered.push_back(shard.shard);
  }
  std::istringstream records(answer.body.value_or(""));
  std::vector<ShardId> recorded_shards;
  for (std::string record; records >> record;) {
    const auto at = record.find('@');
    recorded_shards.push_back(static_cast<ShardId>(std::stoul(record)));
    EXPECT_EQ(record.substr(at + 1),
              std::to_string(answer.snapshot.map_epoch) + "." +
                  std::to_string(answer.snapshot.index_version));
  }
  if (answer.body) {
    EXPECT_EQ(recorded_shards, covered);
  }
}

// The time within a query at which the index or the shard map changes.
struct ChangeTiming {
  std::string name;
  /// Prepares the fixture so that `change` is called at this time of the next
  /// query.
  std::function<void(QueryFixture*, std::function<void()> change)> arrange;
};

// Makes shard 0 answer after `delay`, and each other shard after as many
// milliseconds as its number.
void DelayAnswers(QueryFixture* fixture, Duration delay) {
  fixture->upstream.SetDefault([fixture, delay](const SubRequest& request) {
    FakeReply reply = fixture->upstream.Serve(request);
    reply.delay = request.shard == 0 ? delay : milliseconds(request.shard);
    return reply;
  });
}

std::vector<ChangeTiming> ChangeTimings() {
  return {
      {"before scatter",
       [](QueryFixture*, const std::function<void()>& change) { change(); }},
      {"between sub-answers",
       [](QueryFixture* f, std::function<void()> change) {
         // At the time of the change half of the shards have answered. Shard 3
         // fails and is retried after the change.
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
           // The first retry loses its connection too, after the change.
           if (f->upstream.SentCount() == kShards + 1) {
             reply.outcome.kind = SubOutcomeKind::kConnectionLost;
           }
           return reply;
         });
         f->scheduler.Schedule(microseconds(3000), std::move(change));
       }},
      {"after hedge",
       [](QueryFixture* f, std::function<void()> change) {
         for (int i = 0; i < 100; ++i) f->RunQuery(QueryFixture::Spec());
         const TimePoint start = f->scheduler.Now();
         DelayAnswers(f, milliseconds(30));
         // The first attempt and the hedge of shard 0 both fail after the
         // change.
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

// Makes every replica serve version 2 instead of version 1.
void ReplaceIndexVersion(QueryFixture* fixture) {
  for (ShardId shard = 0; shard < kShards; ++shard) {
    for (std::uint32_t replica : {0U, 1U}) {
      fixture->upstream.Index(TestReplica(shard, replica)) = {1, 2, 2};
    }
  }
}

// Replaces the four shards by six shards on other replicas. The replicas of the
// old shards no longer serve the old map.
void ReplaceShardMap(QueryFixture* fixture) {
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

TEST(SnapshotTest, RestartsOnceIfIndexVersionChangesAtAnyTime) {
  for (const ChangeTiming& timing : ChangeTimings()) {
    SCOPED_TRACE(timing.name);
    QueryFixture fixture(kShards);
    timing.arrange(&fixture, [&] { ReplaceIndexVersion(&fixture); });
    const QueryAnswer answer = fixture.RunQuery(QueryFixture::Spec());
    ExpectOneSnapshot(answer);
    EXPECT_EQ(answer.snapshot, (SnapshotId{1, 2}));
    EXPECT_EQ(CountCovered(answer.coverage), kShards);
    EXPECT_EQ(answer.restarts, 1U);
    EXPECT_EQ(fixture.gate.UnfinishedAttempts(), 0U);
  }
}

TEST(SnapshotTest, AnswersFromTheNewMapIfItChangesAtAnyTime) {
  for (const ChangeTiming& timing : ChangeTimings()) {
    SCOPED_TRACE(timing.name);
    QueryFixture fixture(kShards);
    timing.arrange(&fixture, [&] { ReplaceShardMap(&fixture); });
    const QueryAnswer answer = fixture.RunQuery(QueryFixture::Spec());
    ExpectOneSnapshot(answer);
    EXPECT_EQ(answer.snapshot, (SnapshotId{2, 1}));
    EXPECT_EQ(answer.coverage.size(), 6U);
    EXPECT_EQ(CountCovered(answer.coverage), 6U);
    EXPECT_EQ(fixture.gate.UnfinishedAttempts(), 0U);
  }
}

// Attempts that are in flight when the map changes still belong to the old
// snapshot. A query that needs no further attempts ends without a restart.
TEST(SnapshotTest, AttemptsInFlightEndOnTheOldMap) {
  QueryFixture fixture(kShards);
  fixture.scheduler.Schedule(milliseconds(1),
                             [&] { ReplaceShardMap(&fixture); });
  const QueryAnswer answer = fixture.RunQuery(QueryFixture::Spec());
  ExpectOneSnapshot(answer);
  EXPECT_EQ(answer.snapshot, (SnapshotId{1, 1}));
  EXPECT_EQ(CountCovered(answer.coverage), kShards);
  EXPECT_EQ(answer.restarts, 0U);
}

// Attempts that wait at the gate when the map changes must not be sent to a
// replica of the new map: the query restarts.
TEST(SnapshotTest, RestartsOnTheNewMapIfAttemptsWaitAtTheGate) {
  QueryFixture fixture(kShards);
  fixture.gate.Hold();
  fixture.scheduler.Schedule(milliseconds(1), [&] {
    ReplaceShardMap(&fixture);
    fixture.gate.Release();
  });
  const QueryAnswer answer = fixture.RunQuery(QueryFixture::Spec());
  ExpectOneSnapshot(answer);
  EXPECT_EQ(answer.snapshot, (SnapshotId{2, 1}));
  EXPECT_EQ(answer.attempts, 6U);
}

// The gate applies the new map before the engine does. No attempt may be sent
// to a replica of one map with the snapshot of the other.
TEST(SnapshotTest, SendsNothingWhileGateAndEngineHaveDifferentMaps) {
  QueryFixture fixture(kShards);
  fixture.gate.Hold();
  std::optional<QueryAnswer> answer;
  fixture.Start(QueryFixture::Spec(), &answer);
  ClusterConfig config;
  config.services = {MakeTestService(6, 2)};
  fixture.gate.SetConfig(config);
  fixture.gate.Release();
  EXPECT_EQ(fixture.upstream.SentCount(), 0U);
  ReplaceShardMap(&fixture);
  fixture.scheduler.RunFor(seconds(1));
  EXPECT_EQ(answer->snapshot, (SnapshotId{2, 1}));
  EXPECT_EQ(CountCovered(answer->coverage), 6U);
  EXPECT_EQ(answer->attempts, 6U);
}

// If the service is removed while attempts wait at the gate, they are not sent.
TEST(SnapshotTest, FailsIfServiceIsRemovedWhileAttemptsWait) {
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

// A slot that becomes free at the deadline of the query is not used.
TEST(SnapshotTest, SlotFreedAtTheDeadlineIsNotUsed) {
  QueryFixture fixture(kShards);
  fixture.gate.Hold();
  fixture.scheduler.Schedule(milliseconds(398),
                             [&] { fixture.gate.Release(); });
  EXPECT_EQ(fixture.RunQuery(QueryFixture::Spec()).ran, Ran::kNo);
  EXPECT_EQ(fixture.upstream.SentCount(), 0U);
}

// One replica of each shard no longer serves the pinned version. The other one
// answers, without a restart.
TEST(SnapshotTest, OtherReplicaServesThePinnedVersion) {
  QueryFixture fixture(kShards);
  for (ShardId shard = 0; shard < kShards; ++shard) {
    fixture.upstream.Index(TestReplica(shard, 0)) = {1, 2, 2};
  }
  const QueryAnswer answer = fixture.RunQuery(QueryFixture::Spec());
  ExpectOneSnapshot(answer);
  EXPECT_EQ(CountCovered(answer.coverage), kShards);
  EXPECT_EQ(answer.restarts, 0U);
  // The tracker avoids the first replicas in the next query.
  EXPECT_EQ(fixture.RunQuery(QueryFixture::Spec()).attempts, kShards);
}

// Replicas that do not report versions refuse the published one. The query
// restarts at the version published before, and later queries start there.
TEST(SnapshotTest, RecordsRefusalsOfReplicasWithoutReports) {
  QueryFixture fixture(kShards);
  fixture.Apply(MakeTestService(kShards, 1, 2));
  fixture.upstream.SetDefault([&](const SubRequest& request) {
    FakeReply reply = fixture.upstream.Serve(request);
    reply.outcome.report = UpstreamReport{};
    return reply;
  });
  const QueryAnswer answer = fixture.RunQuery(QueryFixture::Spec());
  ExpectOneSnapshot(answer);
  EXPECT_EQ(answer.snapshot, (SnapshotId{1, 1}));
  EXPECT_EQ(CountCovered(answer.coverage), kShards);
  EXPECT_EQ(fixture.RunQuery(QueryFixture::Spec()).attempts, kShards);
}

// The replicas of one shard still serve the old version. The shard is reported
// as missing, and its records are not mixed into the answer.
TEST(SnapshotTest, ReportsShardThatLacksTheSnapshot) {
  QueryFixture fixture(kShards);
  ReplaceIndexVersion(&fixture);
  fixture.upstream.Index(TestReplica(2, 0)) = {1, 1, 1};
  fixture.upstream.Index(TestReplica(2, 1)) = {1, 1, 1};
  const QueryAnswer answer = fixture.RunQuery(QueryFixture::Spec());
  ExpectOneSnapshot(answer);
  EXPECT_EQ(answer.snapshot, (SnapshotId{1, 2}));
  EXPECT_EQ(CountCovered(answer.coverage), kShards - 1);
  EXPECT_EQ(answer.coverage[2].state, ShardState::kSnapshotUnavailable);
}

// The version changes too late for a restart. The answer is partial and reports
// the missing shard.
TEST(SnapshotTest, DoesNotRestartWithoutEnoughTime) {
  QueryFixture fixture(kShards);
  for (int i = 0; i < 100; ++i) fixture.RunQuery(QueryFixture::Spec());
  fixture.upstream.SetDefault([&](const SubRequest& request) {
    FakeReply reply = fixture.upstream.Serve(request);
    if (request.shard == 1) reply.delay = microseconds(2500);
    return reply;
  });
  ReplaceIndexVersion(&fixture);
  for (ShardId shard : {0U, 2U, 3U}) {
    fixture.upstream.Index(TestReplica(shard, 0)) = {1, 1, 2};
    fixture.upstream.Index(TestReplica(shard, 1)) = {1, 1, 2};
  }
  QuerySpec spec = QueryFixture::Spec();
  spec.timeout = milliseconds(7);
  const QueryAnswer answer = fixture.RunQuery(spec);
  ExpectOneSnapshot(answer);
  EXPECT_EQ(answer.restarts, 0U);
  EXPECT_EQ(CountCovered(answer.coverage), kShards - 1);
  EXPECT_EQ(answer.coverage[1].state, ShardState::kSnapshotUnavailable);
}

// An upstream answers from another snapshot than the one in the request. The
// answer is dropped even though its body is well formed.
TEST(SnapshotTest, DropsAnswersOfANewerSnapshot) {
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
  const QueryAnswer answer = fixture.RunQuery(QueryFixture::Spec());
  ExpectOneSnapshot(answer);
  EXPECT_EQ(answer.coverage[1].state, ShardState::kBadAnswer);
}

TEST(SnapshotTest, PinsThePublishedVersionOnceItIsServed) {
  QueryFixture fixture(kShards);
  fixture.RunQuery(QueryFixture::Spec());
  fixture.Apply(MakeTestService(kShards, 1, 2));
  // The replicas have only reported version 1, so it is still pinned.
  EXPECT_EQ(fixture.engine->CurrentSnapshot(kTestService), (SnapshotId{1, 1}));
  for (ShardId shard = 0; shard < kShards; ++shard) {
    for (std::uint32_t replica : {0U, 1U}) {
      fixture.upstream.Index(TestReplica(shard, replica)) = {1, 1, 2};
    }
  }
  fixture.RunQuery(QueryFixture::Spec());
  EXPECT_EQ(fixture.RunQuery(QueryFixture::Spec()).snapshot,
            (SnapshotId{1, 2}));
}

// Random changes of the index version and the shard map during concurrent
// queries must not cause an answer with records of two snapshots, duplicate
// records or a wrong coverage.
TEST(SnapshotTest, RandomChangesNeverMixSnapshots) {
  constexpr std::uint64_t kSeeds = 200;
  std::size_t complete = 0;
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
      if (below(50) == 0) reply.ends_twice = true;
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
      if (CountCovered(answer->coverage) == answer->coverage.size()) ++complete;
    }
    EXPECT_EQ(fixture.gate.UnfinishedAttempts(), 0U);
    EXPECT_EQ(fixture.engine->AttemptsInFlight(), 0U);
  }
  RecordProperty("whole_answers", static_cast<int>(complete));
  EXPECT_GT(complete, total * 9 / 10);
}

}  // namespace
}  // namespace chicoryvale
