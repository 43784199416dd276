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
  std::function<void(FakeReply*)> corrupt;
  QueryCounter counter;
  /// Whether the answer is dropped and the sub-request retried.
  bool is_retried = true;
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
      {"doubled", [](FakeReply* r) { r->ends_twice = true; }, kDroppedLate,
       false},
  };
}

// An answer that is corrupt or belongs to another sub-request is dropped,
// counted by its reason, and replaced by the answer of the other replica.
TEST(AnswerValidationTest, DropsAndCountsInvalidAnswers) {
  for (const FaultCase& c : FaultCases()) {
    SCOPED_TRACE(c.name);
    QueryFixture fixture;
    fixture.upstream.SetDefault([&](const SubRequest& request) {
      FakeReply reply = fixture.upstream.Serve(request);
      if (fixture.upstream.SentCount() == 2) c.corrupt(&reply);
      return reply;
    });
    const QueryAnswer answer = fixture.RunQuery(QueryFixture::Spec());
    fixture.scheduler.RunFor(seconds(1));
    EXPECT_EQ(answer.body.value_or(""), "0@1.1 1@1.1 2@1.1 3@1.1 ");
    EXPECT_EQ(fixture.Count(c.counter), 1U);
    EXPECT_EQ(answer.attempts, c.is_retried ? 5U : 4U);
  }
}

// An answer that arrives after the end of its query is dropped and counted.
TEST(AnswerValidationTest, DropsLateAnswers) {
  QueryFixture fixture;
  fixture.upstream.SetDefault([&](const SubRequest& request) {
    FakeReply reply = fixture.upstream.Serve(request);
    reply.delay = request.shard == 0 ? milliseconds(500) : milliseconds(1);
    reply.ends_twice = true;
    return reply;
  });
  const QueryAnswer answer = fixture.RunQuery(QueryFixture::Spec());
  EXPECT_EQ(answer.coverage[0].state, ShardState::kDeadline);
  fixture.scheduler.RunFor(seconds(1));
  EXPECT_EQ(fixture.Count(QueryCounter::kDroppedLate), 4U);
}

// An upstream answers the sub-request of the second caller with the id and body
// of the first one. Neither caller may receive the answer of the other.
TEST(AnswerValidationTest, SwappedAnswersReachNeitherCaller) {
  QueryFixture fixture(1);
  SubRequest first_request;
  fixture.upstream.SetDefault([&](const SubRequest& request) {
    FakeReply reply = fixture.upstream.Serve(request);
    reply.outcome.body = request.body;
    if (fixture.upstream.SentCount() > 2) return reply;
    if (fixture.upstream.SentCount() == 1) {
      first_request = request;
      return FakeUpstream::Silent();
    }
    reply.outcome.echoed_id = first_request.id;
    reply.outcome.body = first_request.body;
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
  for (int i = 0; i < 50; ++i) fixture.RunQuery(QueryFixture::Spec());
  std::set<SubRequestId> ids;
  for (const SubRequest& request : fixture.upstream.Sent()) {
    EXPECT_TRUE(ids.insert(request.id).second);
  }
  EXPECT_EQ(ids.size(), 200U);
}

}  // namespace
}  // namespace chicoryvale
