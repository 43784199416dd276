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

using upstream_test::MakeAnswered;
using upstream_test::MakeOutcome;
using upstream_test::MakeServiceConfig;

class UpstreamGateTest : public testing::Test {
 protected:
  UpstreamGateTest() {
    UpstreamGateOptions options;
    options.scheduler = &m_scheduler;
    options.seed = 1;
    options.availability_zone = "a";
    m_gate = UpstreamGate::Make(options);
    m_gate->ApplyConfig(MakeServiceConfig({{"r1", "a"}, {"r2", "a"}}));
  }

  /// An attempt whose result appears in `result`.
  struct Attempt {
    GateTicket ticket = 0;
    std::shared_ptr<std::optional<Result<ReplicaChoice>>> result;
    [[nodiscard]] bool HasReplica() const {
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

  /// Runs attempts of 10 ms until both replicas have latency samples.
  void WarmUp() {
    for (int i = 0; i < 20; ++i) {
      const Attempt attempt = Start(Spec());
      m_scheduler.RunFor(milliseconds(10));
      m_gate->Finish(attempt.ticket, MakeAnswered(), milliseconds(10));
    }
  }

  /// Starts attempts until all replicas are at their limit.
  std::vector<Attempt> FillReplicas() {
    std::vector<Attempt> attempts;
    while (m_gate->QueueSize("s", 0) == 0) attempts.push_back(Start(Spec()));
    m_gate->Abandon(attempts.back().ticket, {});
    attempts.pop_back();
    return attempts;
  }

  FakeScheduler m_scheduler;
  std::unique_ptr<UpstreamGate> m_gate;
};

TEST_F(UpstreamGateTest, RefusesUnknownShardsAndServicesAndPastDeadlines) {
  AttemptSpec spec = Spec();
  spec.shard = 1;
  EXPECT_EQ(Start(spec).Error(), ErrorKind::kUpstreamUnavailable);
  spec = Spec();
  spec.service = "other";
  EXPECT_EQ(Start(spec).Error(), ErrorKind::kUpstreamUnavailable);
  EXPECT_EQ(Start(Spec(Duration::zero())).Error(), ErrorKind::kOverloaded);
}

TEST_F(UpstreamGateTest, QueuedRequestsStartInOrderOfDeadline) {
  WarmUp();
  const std::vector<Attempt> running = FillReplicas();
  const Attempt late = Start(Spec(seconds(2)));
  const Attempt early = Start(Spec(seconds(1)));
  EXPECT_FALSE(*late.result || *early.result);
  m_gate->Finish(running[0].ticket, MakeAnswered(), milliseconds(10));
  EXPECT_TRUE(early.HasReplica());
  EXPECT_FALSE(*late.result);
  m_gate->Finish(early.ticket, MakeAnswered(), milliseconds(10));
  EXPECT_TRUE(late.HasReplica());
}

TEST_F(UpstreamGateTest, RefusesAtOnceIfTheExpectedWaitExceedsTheDeadline) {
  WarmUp();
  FillReplicas();
  EXPECT_EQ(Start(Spec(milliseconds(5))).Error(), ErrorKind::kOverloaded);
}

TEST_F(UpstreamGateTest, RefusesWaitingRequestsAtTheirDeadline) {
  WarmUp();
  FillReplicas();
  const Attempt waiting = Start(Spec(milliseconds(50)));
  m_scheduler.RunFor(milliseconds(49));
  EXPECT_FALSE(*waiting.result);
  m_scheduler.RunFor(milliseconds(1));
  EXPECT_EQ(waiting.Error(), ErrorKind::kOverloaded);
}

TEST_F(UpstreamGateTest, HedgesAreNeverQueued) {
  FillReplicas();
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
  ASSERT_TRUE(both.HasReplica());
  EXPECT_TRUE((*both.result)->value().fresh_connection);
}

TEST_F(UpstreamGateTest, RequestThatAvoidsTheFreeReplicaDoesNotBlockOthers) {
  WarmUp();
  const std::vector<Attempt> running = FillReplicas();
  AttemptSpec avoiding_spec = Spec(milliseconds(100));
  avoiding_spec.avoid = {{"r1"}};
  const Attempt avoids = Start(avoiding_spec);
  const Attempt any = Start(Spec(milliseconds(200)));
  const auto on_r1 = std::ranges::find_if(
      running, [](const Attempt& a) { return a.Replica() == "r1"; });
  m_gate->Finish(on_r1->ticket, MakeAnswered(), milliseconds(10));
  EXPECT_FALSE(*avoids.result);
  EXPECT_TRUE(any.HasReplica());
}

TEST_F(UpstreamGateTest, FailedReplicasGetOneTrialRequestAtATime) {
  m_gate->ApplyConfig(MakeServiceConfig({{"r1", "a"}}));
  for (int i = 0; i < 2; ++i) {
    const Attempt attempt = Start(Spec());
    m_gate->Finish(attempt.ticket, MakeOutcome(SubOutcomeKind::kFailed), {});
  }
  EXPECT_TRUE(Start(Spec()).HasReplica());
  EXPECT_EQ(Start(Spec()).Error(), ErrorKind::kUpstreamUnavailable);
}

TEST_F(UpstreamGateTest, NewConfigurationKeepsTheStateOfRemainingReplicas) {
  const Attempt first = Start(Spec());
  m_gate->ApplyConfig(MakeServiceConfig({{first.Replica(), "a"}, {"r3", "b"}}));
  EXPECT_EQ(m_gate->InFlight({first.Replica()}), 1);
  m_gate->ApplyConfig(MakeServiceConfig({{"r3", "b"}}));
  EXPECT_EQ(m_gate->InFlight({first.Replica()}), 1);
  m_gate->Finish(first.ticket, MakeAnswered(), milliseconds(1));
  EXPECT_EQ(m_gate->InFlight({first.Replica()}), 0);
}

TEST_F(UpstreamGateTest, QueuedRequestsSurviveAChangeOfReplicas) {
  FillReplicas();
  const Attempt waiting = Start(Spec());
  m_gate->ApplyConfig(MakeServiceConfig({{"r3", "a"}}));
  EXPECT_EQ(waiting.Replica(), "r3");
  FillReplicas();
  const Attempt refused = Start(Spec());
  m_gate->ApplyConfig(ClusterConfig{});
  EXPECT_EQ(refused.Error(), ErrorKind::kUpstreamUnavailable);
}

TEST_F(UpstreamGateTest, UsesOtherZonesOnlyUnderLoad) {
  m_gate->ApplyConfig(MakeServiceConfig({{"own", "a"}, {"other", "b"}}));
  m_gate->ApplyConfig(MakeServiceConfig({{"own", "a"}, {"other", "b"}}));
  m_scheduler.RunFor(seconds(10));
  const Attempt first = Start(Spec());
  EXPECT_EQ(first.Replica(), "own");
  EXPECT_EQ(Start(Spec()).Replica(), "other");
}

TEST_F(UpstreamGateTest, SendsNoNewRequestsToADrainingReplica) {
  const Attempt first = Start(Spec());
  SubOutcome outcome = MakeAnswered();
  outcome.report.draining = true;
  m_gate->Finish(first.ticket, outcome, milliseconds(1));
  for (int i = 0; i < 2; ++i) {
    EXPECT_NE(Start(Spec()).Replica(), first.Replica());
  }
}

}  // namespace
}  // namespace chicoryvale
