#include "query/at_most_once_guard.h"

#include <gtest/gtest.h>

#include <functional>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <utility>
#include <vector>

#include "fakes/fake_claims.h"
#include "query_fixture.h"

namespace chicoryvale {
namespace {

using enum SubOutcomeKind;

// Engine, gate and guard of one entry. The upstream and the table of claims are
// shared by all entries.
struct Entry {
  FakeGate gate;
  FakeClaims claims;
  std::unique_ptr<QueryEngine> engine;
  std::unique_ptr<AtMostOnceGuard> guard;

  Entry(FakeScheduler* scheduler, FakeUpstream* upstream, ClaimTable* table,
        const std::string& name)
      : claims(scheduler, table, name) {
    QueryEngine::Options options;
    options.scheduler = scheduler;
    options.transport = upstream;
    options.gate = &gate;
    engine = std::make_unique<QueryEngine>(options);
    ClusterConfig config;
    config.services = {MakeTestService(1)};
    gate.SetConfig(config);
    engine->SetConfig(config);
    guard = std::make_unique<AtMostOnceGuard>(scheduler, engine.get(), &claims);
  }

  // Ends the process of the entry. Its pending callbacks are lost.
  void Crash() {
    guard.reset();
    engine.reset();
  }
};

// Two entries with a shared upstream and a shared table of claims.
struct TwoEntryFixture {
  FakeScheduler scheduler;
  FakeUpstream upstream{&scheduler};
  ClaimTable table;
  FakeMergerFactory mergers;
  Entry first{&scheduler, &upstream, &table, "first"};
  Entry second{&scheduler, &upstream, &table, "second"};
  std::mt19937_64 random{11};
  std::string id =
      FormatRequestId(MakeRequestId(FakeClaims::kLeaderUnixMs, &random));

  void SetUpstream(const FakeUpstream::Behaviour& behaviour) {
    upstream.SetDefault(behaviour);
  }

  QuerySpec Spec() {
    QuerySpec spec = QueryFixture::AtMostOnceSpec();
    spec.request_id = id;
    spec.fingerprint = 5;
    return spec;
  }

  AtMostOnceGuard::RequestHandle Start(Entry* entry,
                                       std::optional<QueryAnswer>* answer) {
    return entry->guard->Start(
        Spec(), &mergers, [answer](QueryAnswer a) { *answer = std::move(a); });
  }

  std::optional<QueryAnswer> RunRequest(Entry* entry) {
    std::optional<QueryAnswer> answer;
    Start(entry, &answer);
    scheduler.RunFor(seconds(3));
    return answer;
  }
};

FakeUpstream::Behaviour Failing(SubOutcomeKind kind, bool runs) {
  return [kind, runs](const auto&) { return FakeUpstream::Fail(kind, runs); };
}

struct FaultCase {
  std::string name;
  std::function<void(TwoEntryFixture*)> arrange;
  /// Whether the request ran, as reported to the caller.
  Ran reported_ran;
  ErrorKind kind;
  /// Runs that the upstream counted.
  std::uint64_t runs;
};

std::vector<FaultCase> FaultCases() {
  const auto claim = [](FakeClaimFailure failure) {
    return
        [failure](TwoEntryFixture* w) { w->first.claims.SetFailure(failure); };
  };
  const auto upstream = [](SubOutcomeKind kind, bool runs) {
    return [=](TwoEntryFixture* w) { w->SetUpstream(Failing(kind, runs)); };
  };
  const auto gate = [](ErrorKind kind) {
    return [kind](TwoEntryFixture* w) { w->first.gate.SetRefusal(kind); };
  };
  const auto silent = [](bool runs) {
    return [runs](TwoEntryFixture* w) {
      w->SetUpstream(
          [runs](const auto&) { return FakeUpstream::Silent(runs); });
    };
  };
  const auto echo = [](const std::function<void(SubOutcome*)>& corrupt) {
    return [corrupt](TwoEntryFixture* w) {
      w->SetUpstream([w, corrupt](const SubRequest& request) {
        FakeReply reply = w->upstream.Serve(request);
        corrupt(&reply.outcome);
        return reply;
      });
    };
  };
  using enum ErrorKind;
  using Failure = FakeClaimFailure;
  return {
      {"claim without quorum", claim(Failure::kNoQuorum), Ran::kNo, kNoQuorum,
       0},
      {"claim answer lost", claim(Failure::kAnswerLost), Ran::kNo, kNoQuorum,
       0},
      {"claim late", claim(Failure::kAnsweredLate), Ran::kNo, kDeadlineExceeded,
       0},
      {"claim never answered", claim(Failure::kNeverAnswered), Ran::kNo,
       kDeadlineExceeded, 0},
      {"entry shutting down",
       [](TwoEntryFixture* w) { w->first.engine->StopAccepting(); }, Ran::kNo,
       kShuttingDown, 0},
      {"entry without configuration",
       [](TwoEntryFixture* w) { w->first.engine->SetConfig({}); }, Ran::kNo,
       kNoConfiguration, 0},
      {"gate overloaded", gate(kOverloaded), Ran::kNo, kOverloaded, 0},
      {"gate without replica", gate(kUpstreamUnavailable), Ran::kNo,
       kUpstreamUnavailable, 0},
      {"gate quarantines", gate(kQuarantined), Ran::kNo, kQuarantined, 0},
      {"gate does not answer before the deadline",
       [](TwoEntryFixture* w) { w->first.gate.Hold(); }, Ran::kNo,
       kDeadlineExceeded, 0},
      {"connection refused", upstream(kNotConnected, false), Ran::kNo,
       kUpstreamUnavailable, 0},
      {"connection lost before it ran", upstream(kConnectionLost, false),
       Ran::kMaybe, kMayHaveRun, 0},
      {"connection lost after it ran", upstream(kConnectionLost, true),
       Ran::kMaybe, kMayHaveRun, 1},
      {"upstream sheds", upstream(kNotStarted, false), Ran::kNo, kOverloaded,
       0},
      {"upstream lacks the snapshot",
       upstream(SubOutcomeKind::kSnapshotUnavailable, false), Ran::kNo,
       ErrorKind::kSnapshotUnavailable, 0},
      {"upstream fails before it ran", upstream(kFailed, false), Ran::kMaybe,
       kMayHaveRun, 0},
      {"upstream fails after it ran", upstream(kFailed, true), Ran::kMaybe,
       kMayHaveRun, 1},
      {"answer truncated", upstream(kMalformed, true), Ran::kMaybe, kMayHaveRun,
       1},
      {"upstream times out", upstream(kTimedOut, true), Ran::kMaybe,
       kMayHaveRun, 1},
      {"upstream silent, did not run", silent(false), Ran::kMaybe, kMayHaveRun,
       0},
      {"upstream silent, ran", silent(true), Ran::kMaybe, kMayHaveRun, 1},
      {"answer for another id", echo([](auto* o) { ++o->echoed_id; }),
       Ran::kMaybe, kMayHaveRun, 1},
      {"answer cannot be merged", echo([](auto* o) { o->body = "broken"; }),
       Ran::kYes, kMayHaveRun, 1},
  };
}

// At each point of failure, the execution state that the caller receives agrees
// with the runs that the upstream counted, and a resend through another entry
// never causes a second run. A request that was reported as "not run" runs when
// it is resent.
TEST(AtMostOnceGuardTest, ReportsExecutionCorrectlyAtEachPointOfFailure) {
  for (const FaultCase& c : FaultCases()) {
    SCOPED_TRACE(c.name);
    TwoEntryFixture fixture;
    c.arrange(&fixture);
    const auto answer = fixture.RunRequest(&fixture.first);
    ASSERT_TRUE(answer.has_value());
    ASSERT_FALSE(answer->body.has_value());
    EXPECT_EQ(answer->ran, c.reported_ran);
    EXPECT_EQ(answer->body.error().ran, c.reported_ran);
    EXPECT_EQ(answer->body.error().kind, c.kind);
    EXPECT_EQ(fixture.upstream.Runs(), c.runs);
    EXPECT_LE(fixture.upstream.SentCount(),
              c.kind == ErrorKind::kUpstreamUnavailable ? 4U : 1U);
    fixture.SetUpstream(nullptr);
    const auto resend = fixture.RunRequest(&fixture.second);
    ASSERT_TRUE(resend.has_value());
    if (c.reported_ran == Ran::kNo) {
      EXPECT_TRUE(resend->body.has_value());
      EXPECT_EQ(fixture.upstream.Runs(), 1U);
    } else {
      ASSERT_FALSE(resend->body.has_value());
      EXPECT_EQ(resend->body.error().kind, ErrorKind::kMayHaveRun);
      EXPECT_EQ(fixture.upstream.Runs(), c.runs);
    }
  }
}

TEST(AtMostOnceGuardTest, ResendsReceiveTheRecordedAnswer) {
  TwoEntryFixture fixture;
  const auto answer = fixture.RunRequest(&fixture.first);
  ASSERT_TRUE(answer->body.has_value());
  for (Entry* entry : {&fixture.first, &fixture.second}) {
    const auto resend = fixture.RunRequest(entry);
    EXPECT_EQ(resend->body.value_or(""), *answer->body);
    EXPECT_EQ(resend->coverage, answer->coverage);
    EXPECT_EQ(resend->ran, Ran::kYes);
  }
  EXPECT_EQ(fixture.upstream.Runs(), 1U);
}

TEST(AtMostOnceGuardTest, ConcurrentResendsRunOnce) {
  TwoEntryFixture fixture;
  std::optional<QueryAnswer> answers[4];
  for (int i = 0; i < 4; ++i) {
    fixture.Start(i % 2 == 0 ? &fixture.first : &fixture.second, &answers[i]);
  }
  fixture.scheduler.RunFor(seconds(3));
  EXPECT_TRUE(answers[0]->body.has_value());
  for (int i = 1; i < 4; ++i) {
    EXPECT_EQ(answers[i]->body.error().kind, ErrorKind::kMayHaveRun);
  }
  EXPECT_EQ(fixture.upstream.Runs(), 1U);
}

// An entry crashes at different times of a request. The request runs at most
// once, and a resend through the other entry is never reported as "not run"
// after a run.
TEST(AtMostOnceGuardTest, EntryCrashAtAnyTimeCausesNoSecondRun) {
  for (int delay_us = 0; delay_us < 8000; delay_us += 500) {
    SCOPED_TRACE(delay_us);
    TwoEntryFixture fixture;
    std::optional<QueryAnswer> answer;
    fixture.Start(&fixture.first, &answer);
    fixture.scheduler.RunFor(Duration(delay_us));
    fixture.first.Crash();
    const std::uint64_t runs_before = fixture.upstream.Runs();
    const auto resend = fixture.RunRequest(&fixture.second);
    ASSERT_TRUE(resend.has_value());
    EXPECT_LE(fixture.upstream.Runs(), 1U);
    if (resend->ran == Ran::kNo) {
      EXPECT_EQ(fixture.upstream.Runs(), 0U);
    }
    if (runs_before == 1) {
      EXPECT_NE(resend->ran, Ran::kNo);
    }
  }
}

// If a caller disconnects, its claim is released, or the outcome of its request
// is recorded. Guards against a claim that is never settled, which would refuse
// all resends.
TEST(AtMostOnceGuardTest, ClaimIsSettledIfCallerDisconnectsAtAnyTime) {
  for (int delay_us = 0; delay_us < 8000; delay_us += 500) {
    SCOPED_TRACE(delay_us);
    TwoEntryFixture fixture;
    std::optional<QueryAnswer> answer;
    const auto handle = fixture.Start(&fixture.first, &answer);
    fixture.scheduler.RunFor(Duration(delay_us));
    fixture.first.guard->Cancel(handle);
    fixture.scheduler.RunFor(seconds(1));
    EXPECT_EQ(fixture.first.guard->InFlight(), 0U);
    const auto resend = fixture.RunRequest(&fixture.second);
    EXPECT_TRUE(resend->body.has_value());
    EXPECT_EQ(fixture.upstream.Runs(), 1U);
  }
}

TEST(AtMostOnceGuardTest, RefusesInvalidIdsWithoutARun) {
  TwoEntryFixture fixture;
  fixture.id = "";
  EXPECT_EQ(fixture.RunRequest(&fixture.first)->body.error().kind,
            ErrorKind::kRequestIdMissing);
  fixture.id = "not an id";
  EXPECT_EQ(fixture.RunRequest(&fixture.first)->body.error().kind,
            ErrorKind::kMalformedRequest);
  EXPECT_EQ(fixture.upstream.SentCount(), 0U);
}

}  // namespace
}  // namespace chicoryvale
