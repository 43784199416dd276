#include "control/routing_service.h"

#include <gtest/gtest.h>

#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "config/config_state.h"
#include "fakes/fake_network.h"
#include "fakes/fake_scheduler.h"
#include "fakes/recording_log.h"

namespace chicoryvale {
namespace {

const Address kLeader{"10.0.0.1:1"};
const Address kOther{"10.0.0.2:1"};

/// A control group as one VM sees it. Fails unless this VM is the leader, which
/// is set by SetLeader, and has a quorum.
class FakeControlGroup : public ControlGroup {
 public:
  FakeControlGroup(ConfigState* state, Address self)
      : m_state(state), m_self(std::move(self)) {}

  void SetLeader(const Address& leader) { m_leader = leader; }
  void SetQuorum(bool quorum) { m_quorum = quorum; }

 protected:
  void OnPropose(const Change& change, ChangeCallback callback) override {
    if (auto error = Failure()) return callback(tl::unexpected<Error>(*error));
    callback(m_state->Apply(change));
  }
  void OnReadConfig(ConfigCallback callback) override {
    if (auto error = Failure()) return callback(tl::unexpected<Error>(*error));
    callback(m_state->Config());
  }
  void OnChangeMember(const Address&, const Address&,
                      MemberCallback callback) override {
    callback(0);
  }
  void OnRefreshNodes(std::function<void()> done) override { done(); }
  [[nodiscard]] ControlStatus OnStatus() const override {
    return {.term = 1, .leader = m_leader, .nodes = {}};
  }

 private:
  [[nodiscard]] std::optional<Error> Failure() const {
    if (m_leader != m_self) return Error{ErrorKind::kNotLeader, "", Ran::kNo};
    if (!m_quorum) return Error{ErrorKind::kNoQuorum, "", Ran::kMaybe};
    return std::nullopt;
  }

  ConfigState* m_state;
  Address m_self;
  Address m_leader;
  bool m_quorum = true;
};

class RoutingServiceTest : public testing::Test {
 protected:
  RoutingServiceTest() {
    m_leader_group.SetLeader(kLeader);
    m_other_group.SetLeader(kLeader);
  }

  RoutingService Make(FakeControlGroup* group, FakePeerTransport* peers,
                      const Address& self) {
    return RoutingService({&m_scheduler, group, peers, &m_log}, self, 7);
  }

  std::optional<Result<void>> Accept(RoutingService* service,
                                     const RoutingDocument& document) {
    std::optional<Result<void>> result;
    service->Accept(document,
                    [&](const Result<void>& received) { result = received; });
    m_scheduler.RunFor(seconds(2));
    return result;
  }

  std::optional<Result<RoutingDocument>> Read(RoutingService* service) {
    std::optional<Result<RoutingDocument>> result;
    service->Read(
        [&](const Result<RoutingDocument>& received) { result = received; });
    m_scheduler.RunFor(seconds(2));
    return result;
  }

  std::optional<Result<void>> Evacuate(RoutingService* service, bool evacuated,
                                       bool caller_waits = true) {
    std::optional<Result<void>> result;
    service->SetEvacuation(
        "zone-b", evacuated, [caller_waits] { return caller_waits; },
        [&](const Result<void>& received) { result = received; });
    m_scheduler.RunFor(seconds(2));
    return result;
  }

  [[nodiscard]] bool IsEvacuated() const {
    return m_state.Config().evacuated_zones ==
           std::vector<std::string>{"zone-b"};
  }

  FakeScheduler m_scheduler;
  FakeNetwork m_network{&m_scheduler, 1};
  RecordingLog m_log;
  ConfigState m_state;
  FakeControlGroup m_leader_group{&m_state, kLeader};
  FakeControlGroup m_other_group{&m_state, kOther};
  FakePeerTransport m_leader_peers{&m_network, kLeader, &m_scheduler};
  FakePeerTransport m_other_peers{&m_network, kOther, &m_scheduler};
  RoutingService m_leader_service =
      Make(&m_leader_group, &m_leader_peers, kLeader);
  RoutingService m_other_service = Make(&m_other_group, &m_other_peers, kOther);
};

TEST_F(RoutingServiceTest, AnyControlVmAcceptsAndReads) {
  ASSERT_TRUE(Accept(&m_other_service, {5, "five"})->has_value());
  EXPECT_EQ(Read(&m_leader_service)->value().text, "five");
  EXPECT_EQ(Read(&m_other_service)->value().version, 5U);
}

TEST_F(RoutingServiceTest, AcceptsOlderAndEqualVersionsWithoutEffect) {
  Accept(&m_leader_service, {5, "five"});
  EXPECT_TRUE(Accept(&m_other_service, {4, "four"})->has_value());
  EXPECT_TRUE(Accept(&m_leader_service, {5, "other"})->has_value());
  EXPECT_EQ(Read(&m_other_service)->value().text, "five");
  EXPECT_TRUE(Accept(&m_leader_service, {5, "five"})->has_value());
}

TEST_F(RoutingServiceTest, RetriesDuringAShortElection) {
  m_other_group.SetLeader({});
  std::optional<Result<void>> result;
  m_other_service.Accept(
      {5, "five"}, [&](const Result<void>& received) { result = received; });
  m_scheduler.RunFor(milliseconds(400));
  EXPECT_FALSE(result);
  m_other_group.SetLeader(kLeader);
  m_scheduler.RunFor(milliseconds(200));
  ASSERT_TRUE(result);
  EXPECT_TRUE(result->has_value());
}

TEST_F(RoutingServiceTest, ReportsNoQuorumIfTheGroupHasNone) {
  Accept(&m_leader_service, {5, "five"});
  m_leader_group.SetQuorum(false);
  EXPECT_EQ(Read(&m_leader_service)->error().kind, ErrorKind::kNoQuorum);
  EXPECT_EQ(Read(&m_other_service)->error().kind, ErrorKind::kNoQuorum);
  EXPECT_EQ(Accept(&m_other_service, {6, "six"})->error().kind,
            ErrorKind::kNoQuorum);
}

// A VM that cannot reach the leader must not answer with its own, possibly
// outdated document: it has to fail within the time that operators wait.
TEST_F(RoutingServiceTest, AVmCutOffFromTheLeaderFailsToRead) {
  Accept(&m_leader_service, {5, "five"});
  m_network.SetCut(kOther, kLeader, true);
  const TimePoint read_start = m_scheduler.Now();
  std::optional<TimePoint> answered_at;
  m_other_service.Read([&](const Result<RoutingDocument>& received) {
    EXPECT_FALSE(received);
    answered_at = m_scheduler.Now();
  });
  m_scheduler.RunFor(seconds(3));
  ASSERT_TRUE(answered_at);
  EXPECT_LE(*answered_at - read_start, seconds(1));
}

// Orders have no id of their own, so the second evacuation was taken for a
// resend of the first one.
TEST_F(RoutingServiceTest, AnEvacuationCanBeEndedAndOrderedAgain) {
  for (RoutingService* service : {&m_leader_service, &m_other_service}) {
    EXPECT_TRUE(Evacuate(service, true)->has_value());
    EXPECT_EQ(m_state.Config().evacuated_zones,
              std::vector<std::string>{"zone-b"});
    const std::uint64_t version = m_state.Config().version;
    EXPECT_TRUE(Evacuate(service, true)->has_value()) << "resent";
    EXPECT_EQ(m_state.Config().version, version);
    EXPECT_TRUE(Evacuate(service, false)->has_value());
    EXPECT_TRUE(m_state.Config().evacuated_zones.empty());
  }
}

TEST_F(RoutingServiceTest, AnEvacuationNeedsAQuorum) {
  m_leader_group.SetQuorum(false);
  EXPECT_EQ(Evacuate(&m_other_service, true)->error().kind,
            ErrorKind::kNoQuorum);
}

// review/9: a process that had been paused carried out an order whose operator
// had given it up, and undid a later one.
TEST_F(RoutingServiceTest, AnOrderWhoseCallerHasGoneIsNotCarriedOut) {
  for (RoutingService* service : {&m_leader_service, &m_other_service}) {
    for (const bool evacuated : {true, false}) {
      ASSERT_TRUE(Evacuate(service, !evacuated)->has_value());
      EXPECT_FALSE(Evacuate(service, evacuated, false)->has_value());
      EXPECT_EQ(IsEvacuated(), !evacuated);
    }
  }
}

// The close of a caller that has given up arrives after its order.
TEST_F(RoutingServiceTest, ACallerThatLeavesRightAfterItsOrderIsSeen) {
  bool waits = true;
  std::optional<Result<void>> result;
  m_leader_service.SetEvacuation(
      "zone-b", true, [&] { return waits; },
      [&](const Result<void>& received) { result = received; });
  m_scheduler.RunFor(milliseconds(40));
  waits = false;
  m_scheduler.RunFor(seconds(2));
  ASSERT_TRUE(result);
  EXPECT_FALSE(result->has_value());
  EXPECT_FALSE(IsEvacuated());
}

// An order that waits on the way to a paused leader is carried out on the
// version that its sender knew, or not at all.
TEST_F(RoutingServiceTest, AnOrderThatOthersHaveOvertakenIsNotCarriedOut) {
  for (const bool evacuated : {true, false}) {
    ASSERT_TRUE(Evacuate(&m_other_service, !evacuated)->has_value());
    std::optional<Result<void>> result;
    m_other_service.SetEvacuation(
        "zone-b", evacuated, [] { return true; },
        [&](const Result<void>& received) { result = received; });
    // By now the sender has asked for the version.
    m_scheduler.RunFor(milliseconds(40));
    m_network.SetState(kLeader, NodeState::kFrozen);
    m_scheduler.RunFor(seconds(2));
    ASSERT_TRUE(result);
    EXPECT_FALSE(result->has_value());
    // Meanwhile another leader carries the order out, and a later one.
    for (const bool later : {evacuated, !evacuated}) {
      Change change;
      change.operation_id =
          "later-" + std::to_string(evacuated) + std::to_string(later);
      change.payload = SetEvacuation{"zone-b", later};
      m_state.Apply(change);
    }
    m_network.SetState(kLeader, NodeState::kRunning);
    m_scheduler.RunFor(seconds(2));
    EXPECT_EQ(IsEvacuated(), !evacuated);
  }
}

TEST_F(RoutingServiceTest, OrdersAtOnceAreAllCarriedOut) {
  int accepted = 0;
  for (const std::string zone : {"zone-a", "zone-b", "zone-c", "zone-d"}) {
    for (RoutingService* service : {&m_leader_service, &m_other_service}) {
      service->SetEvacuation(
          zone, true, [] { return true; },
          [&](const Result<void>& received) { accepted += received ? 1 : 0; });
    }
  }
  m_scheduler.RunFor(seconds(1));
  EXPECT_EQ(accepted, 8);
  EXPECT_EQ(m_state.Config().evacuated_zones.size(), 4U);
}

TEST_F(RoutingServiceTest, AForwardedRequestIsNotForwardedAgain) {
  m_leader_group.SetLeader(kOther);
  EXPECT_FALSE(Read(&m_other_service)->has_value());
}

}  // namespace
}  // namespace chicoryvale
