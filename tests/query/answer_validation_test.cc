#include <gtest/gtest.h>

#include <functional>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "query_fixture.h"

namespace chicoryvale {
namespace {

struct FaultCase {
  std::string name;
  std::function<void(FakeReply*)> damage;
  QueryCounter counter;
  /// The damaged answer is dropped and its shard asked again.
  bool asked_again = true;
};

std::vector<FaultCase> FaultCases() {
  using enum QueryCounter;
  return {
      {"another's id", [](FakeReply* r) { ++r->outcome.echoed_id; },
       kDroppedOtherId},
      {"another shard", [](FakeReply* r) { ++r->outcome.echoed_shard; },
       kDroppedOtherShard},
      {"another index version",
       [](FakeReply* r) { ++r->outcome.echoed_snapshot.index_version; },
       kDroppedOtherSnapshot},
      {"another map epoch",
       [](FakeReply* r) { ++r->outcome.echoed_snapshot.map_epoch; },
       kDroppedOtherSnapshot},
      {"truncated",
       [](FakeReply* r) { r->outcome.kind = SubOutcomeKind::kMalformed; },
       kDroppedMalformed},
      {"not mergeable", [](FakeReply* r) { r->outcome.body = "broken"; },
       kDroppedUnmergeable},
      {"doubled", [](FakeReply* r) { r->twice = true; }, kDroppedLate, false},
  };
}

// Each faulty answer is dropped, counted by its reason, and replaced by that
// of the shard's other replica.
TEST(AnswerValidationTest, DropsAndCountsFaultyAnswers) {
  for (const FaultCase& c : FaultCases()) {
    SCOPED_TRACE(c.name);
    QueryFixture fixture;
    fixture.upstream.SetDefault([&](const SubRequest& request) {
      FakeReply reply = fixture.upstream.Serve(request);
      if (fixture.upstream.SentCount() == 2) c.damage(&reply);
      return reply;
    });
    const QueryAnswer answer = fixture.Ask(QueryFixture::Spec());
    fixture.scheduler.RunFor(seconds(1));
    EXPECT_EQ(answer.body.value_or(""), "0@1.1 1@1.1 2@1.1 3@1.1 ");
    EXPECT_EQ(fixture.Count(c.counter), 1U);
    EXPECT_EQ(answer.attempts, c.asked_again ? 5U : 4U);
  }
}

// An answer that comes after its query has ended changes nothing.
TEST(AnswerValidationTest, DropsLateAnswers) {
  QueryFixture fixture;
  fixture.upstream.SetDefault([&](const SubRequest& request) {
    FakeReply reply = fixture.upstream.Serve(request);
    reply.delay = request.shard == 0 ? milliseconds(500) : milliseconds(1);
    reply.twice = true;
    return reply;
  });
  const QueryAnswer answer = fixture.Ask(QueryFixture::Spec());
  EXPECT_EQ(answer.coverage[0].state, ShardState::kDeadline);
  fixture.scheduler.RunFor(seconds(1));
  EXPECT_EQ(fixture.Count(QueryCounter::kDroppedLate), 4U);
}

// Two callers at once whose answers are crossed by an upstream: neither gets
// the other's.
TEST(AnswerValidationTest, CrossedAnswersReachNeitherCaller) {
  QueryFixture fixture(1);
  SubRequest held;
  fixture.upstream.SetDefault([&](const SubRequest& request) {
    FakeReply reply = fixture.upstream.Serve(request);
    reply.outcome.body = request.body;
    if (fixture.upstream.SentCount() > 2) return reply;
    if (fixture.upstream.SentCount() == 1) {
      held = request;
      return FakeUpstream::Silent();
    }
    reply.outcome.echoed_id = held.id;
    reply.outcome.body = held.body;
    return reply;
  });
  QuerySpec first = QueryFixture::Spec();
  first.body = "first";
  QuerySpec second = QueryFixture::Spec();
  second.body = "second";
  std::optional<QueryAnswer> first_answer;
  std::optional<QueryAnswer> second_answer;
  fixture.Start(first, &first_answer);
  fixture.Start(second, &second_answer);
  fixture.scheduler.RunFor(seconds(1));
  EXPECT_FALSE(first_answer->body.has_value());
  EXPECT_EQ(second_answer->body.value_or(""), "second ");
  EXPECT_EQ(fixture.Count(QueryCounter::kDroppedOtherId), 1U);
}

TEST(AnswerValidationTest, SubRequestIdsAreNeverReused) {
  QueryFixture fixture;
  for (int i = 0; i < 50; ++i) fixture.Ask(QueryFixture::Spec());
  std::set<SubRequestId> ids;
  for (const SubRequest& request : fixture.upstream.Sent()) {
    EXPECT_TRUE(ids.insert(request.id).second);
  }
  EXPECT_EQ(ids.size(), 200U);
}

}  // namespace
}  // namespace chicoryvale
