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

// One entry: engine, gate and guard over an upstream and claims that entries
// share.
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

  // The process ends; what it was owed is lost.
  void Crash() {
    guard.reset();
    engine.reset();
  }
};

struct World {
  FakeScheduler scheduler;
  FakeUpstream upstream{&scheduler};
  ClaimTable table;
  FakeMergerFactory mergers;
  Entry first{&scheduler, &upstream, &table, "first"};
  Entry second{&scheduler, &upstream, &table, "second"};
  std::mt19937_64 random{11};
  std::string id = FormatRequestId(MakeRequestId(FakeClaims::kUnixMs, &random));

  void SetUpstream(const FakeUpstream::Behaviour& behaviour) {
    upstream.SetDefault(behaviour);
  }

  QuerySpec Spec() {
    QuerySpec spec = QueryFixture::OnceSpec();
    spec.request_id = id;
    spec.fingerprint = 5;
    return spec;
  }

  AtMostOnceGuard::RequestHandle Start(Entry* entry,
                                       std::optional<QueryAnswer>* answer) {
    return entry->guard->Start(
        Spec(), &mergers, [answer](QueryAnswer a) { *answer = std::move(a); });
  }

  std::optional<QueryAnswer> Ask(Entry* entry) {
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
  std::function<void(World*)> arrange;
  Ran told;
  ErrorKind kind;
  std::uint64_t runs;
};

std::vector<FaultCase> FaultCases() {
  const auto claim = [](FakeClaimFault fault) {
    return [fault](World* w) { w->first.claims.SetFault(fault); };
  };
  const auto upstream = [](SubOutcomeKind kind, bool runs) {
    return [=](World* w) { w->SetUpstream(Failing(kind, runs)); };
  };
  const auto gate = [](ErrorKind kind) {
    return [kind](World* w) { w->first.gate.SetRefusal(kind); };
  };
  const auto silent = [](bool runs) {
    return [runs](World* w) {
      w->SetUpstream(
          [runs](const auto&) { return FakeUpstream::Silent(runs); });
    };
  };
  const auto echo = [](const std::function<void(SubOutcome*)>& damage) {
    return [damage](World* w) {
      w->SetUpstream([w, damage](const SubRequest& request) {
        FakeReply reply = w->upstream.Serve(request);
        damage(&reply.outcome);
        return reply;
      });
    };
  };
  using enum ErrorKind;
  using Fault = FakeClaimFault;
  return {
      {"claim without quorum", claim(Fault::kNoQuorum), Ran::kNo, kNoQuorum, 0},
      {"claim answer lost", claim(Fault::kAnswerLost), Ran::kNo, kNoQuorum, 0},
      {"claim late", claim(Fault::kLate), Ran::kNo, kDeadlineExceeded, 0},
      {"claim never answered", claim(Fault::kNeverAnswered), Ran::kNo,
       kDeadlineExceeded, 0},
      {"entry shutting down",
       [](World* w) { w->first.engine->StopAccepting(); }, Ran::kNo,
       kShuttingDown, 0},
      {"entry without configuration",
       [](World* w) { w->first.engine->SetConfig({}); }, Ran::kNo,
       kNoConfiguration, 0},
      {"gate overloaded", gate(kOverloaded), Ran::kNo, kOverloaded, 0},
      {"gate without replica", gate(kUpstreamUnavailable), Ran::kNo,
       kUpstreamUnavailable, 0},
      {"gate quarantines", gate(kQuarantined), Ran::kNo, kQuarantined, 0},
      {"gate holds past the deadline", [](World* w) { w->first.gate.Hold(); },
       Ran::kNo, kDeadlineExceeded, 0},
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

// For each point of failure: what the caller is told agrees with what the
// upstream counted, and a resend through another entry never runs a second
// time. One that was told "not run" runs when it is sent again.
TEST(AtMostOnceGuardTest, TellsTheTruthAtEachPointOfFailure) {
  for (const FaultCase& c : FaultCases()) {
    SCOPED_TRACE(c.name);
    World world;
    c.arrange(&world);
    const auto answer = world.Ask(&world.first);
    ASSERT_TRUE(answer.has_value());
    ASSERT_FALSE(answer->body.has_value());
    EXPECT_EQ(answer->ran, c.told);
    EXPECT_EQ(answer->body.error().ran, c.told);
    EXPECT_EQ(answer->body.error().kind, c.kind);
    EXPECT_EQ(world.upstream.Runs(), c.runs);
    EXPECT_LE(world.upstream.SentCount(),
              c.kind == ErrorKind::kUpstreamUnavailable ? 4U : 1U);
    world.SetUpstream(nullptr);
    const auto resend = world.Ask(&world.second);
    ASSERT_TRUE(resend.has_value());
    if (c.told == Ran::kNo) {
      EXPECT_TRUE(resend->body.has_value());
      EXPECT_EQ(world.upstream.Runs(), 1U);
    } else {
      ASSERT_FALSE(resend->body.has_value());
      EXPECT_EQ(resend->body.error().kind, ErrorKind::kMayHaveRun);
      EXPECT_EQ(world.upstream.Runs(), c.runs);
    }
  }
}

TEST(AtMostOnceGuardTest, ResendsGetTheRecordedOutcome) {
  World world;
  const auto answer = world.Ask(&world.first);
  ASSERT_TRUE(answer->body.has_value());
  for (Entry* entry : {&world.first, &world.second}) {
    const auto resend = world.Ask(entry);
    EXPECT_EQ(resend->body.value_or(""), *answer->body);
    EXPECT_EQ(resend->coverage, answer->coverage);
    EXPECT_EQ(resend->ran, Ran::kYes);
  }
  EXPECT_EQ(world.upstream.Runs(), 1U);
}

TEST(AtMostOnceGuardTest, ResendsAtOnceRunOnce) {
  World world;
  std::optional<QueryAnswer> answers[4];
  for (int i = 0; i < 4; ++i) {
    world.Start(i % 2 == 0 ? &world.first : &world.second, &answers[i]);
  }
  world.scheduler.RunFor(seconds(3));
  EXPECT_TRUE(answers[0]->body.has_value());
  for (int i = 1; i < 4; ++i) {
    EXPECT_EQ(answers[i]->body.error().kind, ErrorKind::kMayHaveRun);
  }
  EXPECT_EQ(world.upstream.Runs(), 1U);
}

// An entry that crashes at any time leaves at most one run, and a resend
// through the other entry is never told "not run" after a run.
TEST(AtMostOnceGuardTest, EntryCrashesAtEachTime) {
  for (int micros = 0; micros < 8000; micros += 500) {
    SCOPED_TRACE(micros);
    World world;
    std::optional<QueryAnswer> answer;
    world.Start(&world.first, &answer);
    world.scheduler.RunFor(Duration(micros));
    world.first.Crash();
    const std::uint64_t runs_before = world.upstream.Runs();
    const auto resend = world.Ask(&world.second);
    ASSERT_TRUE(resend.has_value());
    EXPECT_LE(world.upstream.Runs(), 1U);
    if (resend->ran == Ran::kNo) {
      EXPECT_EQ(world.upstream.Runs(), 0U);
    }
    if (runs_before == 1) {
      EXPECT_NE(resend->ran, Ran::kNo);
    }
  }
}

// A caller that goes away leaves a claim that is either given back or settled.
TEST(AtMostOnceGuardTest, CallerGoesAwayAtEachTime) {
  for (int micros = 0; micros < 8000; micros += 500) {
    SCOPED_TRACE(micros);
    World world;
    std::optional<QueryAnswer> answer;
    const auto handle = world.Start(&world.first, &answer);
    world.scheduler.RunFor(Duration(micros));
    world.first.guard->Cancel(handle);
    world.scheduler.RunFor(seconds(1));
    EXPECT_EQ(world.first.guard->InFlight(), 0U);
    const auto resend = world.Ask(&world.second);
    EXPECT_TRUE(resend->body.has_value());
    EXPECT_EQ(world.upstream.Runs(), 1U);
  }
}

TEST(AtMostOnceGuardTest, RefusesBadIdsWithoutARun) {
  World world;
  world.id = "";
  EXPECT_EQ(world.Ask(&world.first)->body.error().kind,
            ErrorKind::kRequestIdMissing);
  world.id = "not an id";
  EXPECT_EQ(world.Ask(&world.first)->body.error().kind,
            ErrorKind::kMalformedRequest);
  EXPECT_EQ(world.upstream.SentCount(), 0U);
}

}  // namespace
}  // namespace chicoryvale
