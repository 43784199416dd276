#include "upstream/upstream_gate.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "upstream/tests_support.h"

namespace chicoryvale {
namespace {

using upstream_test::Answered;
using upstream_test::Ended;
using upstream_test::Service;

class UpstreamGateTest : public testing::Test {
 protected:
  UpstreamGateTest() {
    UpstreamGateOptions options;
    options.scheduler = &m_scheduler;
    options.seed = 1;
    options.availability_zone = "a";
    m_gate = UpstreamGate::Make(options);
    m_gate->ApplyConfig(Service({{"r1", "a"}, {"r2", "a"}}));
  }

  /// Starts an attempt; its result appears in the returned slot.
  struct Attempt {
    GateTicket ticket = 0;
    std::shared_ptr<std::optional<Result<ReplicaChoice>>> result;
    [[nodiscard]] bool Chosen() const {
      return *result && (*result)->has_value();
    }
    [[nodiscard]] std::string Replica() const {
      return (*result)->value().replica.host_port;
    }
    [[nodiscard]] std::optional<ErrorKind> Error() const {
      if (!*result || (*result)->has_value()) return std::nullopt;
      return (*result)->error().kind;
    }
  };

  Attempt Start(const AttemptSpec& spec) {
    Attempt attempt{m_gate->NewTicket(),
                    std::make_shared<std::optional<Result<ReplicaChoice>>>()};
    m_gate->Request(spec, attempt.ticket,
                    [result = attempt.result](Result<ReplicaChoice> choice) {
                      EXPECT_FALSE(*result);
                      *result = std::move(choice);
                    });
    return attempt;
  }

  AttemptSpec Spec(Duration timeout = seconds(1)) {
    AttemptSpec spec;
    spec.service = "s";
    spec.deadline = m_scheduler.Now() + timeout;
    return spec;
  }

  /// Runs attempts of 10 ms until both replicas have a history.
  void WarmUp() {
    for (int i = 0; i < 20; ++i) {
      const Attempt attempt = Start(Spec());
      m_scheduler.RunFor(milliseconds(10));
      m_gate->Finish(attempt.ticket, Answered(), milliseconds(10));
    }
  }

  /// Takes every free place.
  std::vector<Attempt> Fill() {
    std::vector<Attempt> attempts;
    while (m_gate->Waiting("s", 0) == 0) attempts.push_back(Start(Spec()));
    m_gate->Abandon(attempts.back().ticket, {});
    attempts.pop_back();
    return attempts;
  }

  FakeScheduler m_scheduler;
  std::unique_ptr<UpstreamGate> m_gate;
};

TEST_F(UpstreamGateTest, RefusesWhatIsNotPlaced) {
  AttemptSpec spec = Spec();
  spec.shard = 1;
  EXPECT_EQ(Start(spec).Error(), ErrorKind::kUpstreamUnavailable);
  spec = Spec();
  spec.service = "other";
  EXPECT_EQ(Start(spec).Error(), ErrorKind::kUpstreamUnavailable);
  EXPECT_EQ(Start(Spec(Duration::zero())).Error(), ErrorKind::kOverloaded);
}

TEST_F(UpstreamGateTest, WaitsForAPlaceInOrderOfDeadline) {
  WarmUp();
  const std::vector<Attempt> running = Fill();
  const Attempt late = Start(Spec(seconds(2)));
  const Attempt early = Start(Spec(seconds(1)));
  EXPECT_FALSE(*late.result || *early.result);
  m_gate->Finish(running[0].ticket, Answered(), milliseconds(10));
  EXPECT_TRUE(early.Chosen());
  EXPECT_FALSE(*late.result);
  m_gate->Finish(early.ticket, Answered(), milliseconds(10));
  EXPECT_TRUE(late.Chosen());
}

TEST_F(UpstreamGateTest, RefusesAtOnceWhenTheWaitOutlastsTheDeadline) {
  WarmUp();
  Fill();
  EXPECT_EQ(Start(Spec(milliseconds(5))).Error(), ErrorKind::kOverloaded);
}

TEST_F(UpstreamGateTest, RefusesWaitingRequestsAtTheirDeadline) {
  WarmUp();
  Fill();
  const Attempt waiting = Start(Spec(milliseconds(50)));
  m_scheduler.RunFor(milliseconds(49));
  EXPECT_FALSE(*waiting.result);
  m_scheduler.RunFor(milliseconds(1));
  EXPECT_EQ(waiting.Error(), ErrorKind::kOverloaded);
}

TEST_F(UpstreamGateTest, HedgesNeverWait) {
  Fill();
  AttemptSpec spec = Spec();
  spec.purpose = AttemptPurpose::kHedge;
  EXPECT_EQ(Start(spec).Error(), ErrorKind::kOverloaded);
}

TEST_F(UpstreamGateTest, AvoidedReplicaIsUsedLastAndOnANewConnection) {
  AttemptSpec spec = Spec();
  spec.avoid = {{"r1"}};
  EXPECT_EQ(Start(spec).Replica(), "r2");
  spec.avoid = {{"r1"}, {"r2"}};
  const Attempt both = Start(spec);
  ASSERT_TRUE(both.Chosen());
  EXPECT_TRUE((*both.result)->value().fresh_connection);
}

TEST_F(UpstreamGateTest, RequestThatAvoidsTheFreeReplicaHoldsNoneUp) {
  WarmUp();
  const std::vector<Attempt> running = Fill();
  AttemptSpec picky = Spec(milliseconds(100));
  picky.avoid = {{"r1"}};
  const Attempt avoids = Start(picky);
  const Attempt any = Start(Spec(milliseconds(200)));
  const auto on_r1 = std::ranges::find_if(
      running, [](const Attempt& a) { return a.Replica() == "r1"; });
  m_gate->Finish(on_r1->ticket, Answered(), milliseconds(10));
  EXPECT_FALSE(*avoids.result);
  EXPECT_TRUE(any.Chosen());
}

TEST_F(UpstreamGateTest, ReplicasThatFailAreTriedOneRequestAtATime) {
  m_gate->ApplyConfig(Service({{"r1", "a"}}));
  for (int i = 0; i < 2; ++i) {
    const Attempt attempt = Start(Spec());
    m_gate->Finish(attempt.ticket, Ended(SubOutcomeKind::kFailed), {});
  }
  EXPECT_TRUE(Start(Spec()).Chosen());
  EXPECT_EQ(Start(Spec()).Error(), ErrorKind::kUpstreamUnavailable);
}

TEST_F(UpstreamGateTest, ConfigurationKeepsTheStateOfReplicasThatStay) {
  const Attempt first = Start(Spec());
  m_gate->ApplyConfig(Service({{first.Replica(), "a"}, {"r3", "b"}}));
  EXPECT_EQ(m_gate->InFlight({first.Replica()}), 1);
  m_gate->ApplyConfig(Service({{"r3", "b"}}));
  EXPECT_EQ(m_gate->InFlight({first.Replica()}), 1);
  m_gate->Finish(first.ticket, Answered(), milliseconds(1));
  EXPECT_EQ(m_gate->InFlight({first.Replica()}), 0);
}

TEST_F(UpstreamGateTest, WaitingRequestsSurviveAChangeOfReplicas) {
  Fill();
  const Attempt waiting = Start(Spec());
  m_gate->ApplyConfig(Service({{"r3", "a"}}));
  EXPECT_EQ(waiting.Replica(), "r3");
  Fill();
  const Attempt refused = Start(Spec());
  m_gate->ApplyConfig(ClusterConfig{});
  EXPECT_EQ(refused.Error(), ErrorKind::kUpstreamUnavailable);
}

TEST_F(UpstreamGateTest, LeavesItsZoneUnderPressureOnly) {
  m_gate->ApplyConfig(Service({{"own", "a"}, {"other", "b"}}));
  m_gate->ApplyConfig(Service({{"own", "a"}, {"other", "b"}}));
  m_scheduler.RunFor(seconds(10));
  const Attempt first = Start(Spec());
  EXPECT_EQ(first.Replica(), "own");
  EXPECT_EQ(Start(Spec()).Replica(), "other");
}

TEST_F(UpstreamGateTest, NothingNewGoesToAReplicaThatDrains) {
  const Attempt first = Start(Spec());
  SubOutcome outcome = Answered();
  outcome.report.draining = true;
  m_gate->Finish(first.ticket, outcome, milliseconds(1));
  for (int i = 0; i < 2; ++i) {
    EXPECT_NE(Start(Spec()).Replica(), first.Replica());
  }
}

}  // namespace
}  // namespace chicoryvale
