#include "control/routing_service.h"

#include <gtest/gtest.h>

#include <memory>
#include <optional>
#include <string>

#include "config/config_state.h"
#include "fakes/fake_network.h"
#include "fakes/fake_scheduler.h"
#include "fakes/silent_log.h"

namespace chicoryvale {
namespace {

const Address kLeader{"10.0.0.1:1"};
const Address kOther{"10.0.0.2:1"};

/// A group of which one VM leads; the others know the leader as told.
class GroupView : public ControlGroup {
 public:
  GroupView(ConfigState* state, Address self)
      : m_state(state), m_self(std::move(self)) {}

  void SetLeader(const Address& leader) { m_leader = leader; }
  void SetQuorum(bool quorum) { m_quorum = quorum; }

 protected:
  void OnPropose(const Change& change, ChangeCallback callback) override {
    if (auto error = Unable()) return callback(tl::unexpected<Error>(*error));
    callback(m_state->Apply(change));
  }
  void OnReadConfig(ConfigCallback callback) override {
    if (auto error = Unable()) return callback(tl::unexpected<Error>(*error));
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
  [[nodiscard]] std::optional<Error> Unable() const {
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
    m_leader_view.SetLeader(kLeader);
    m_other_view.SetLeader(kLeader);
  }

  RoutingService Make(GroupView* view, FakePeerTransport* peers,
                      const Address& self) {
    return RoutingService({&m_scheduler, view, peers, &m_log}, self);
  }

  std::optional<Result<void>> Accept(RoutingService* service,
                                     const RoutingDocument& document) {
    std::optional<Result<void>> result;
    service->Accept(document, [&](const Result<void>& got) { result = got; });
    m_scheduler.RunFor(seconds(2));
    return result;
  }

  std::optional<Result<RoutingDocument>> Read(RoutingService* service) {
    std::optional<Result<RoutingDocument>> result;
    service->Read([&](const Result<RoutingDocument>& got) { result = got; });
    m_scheduler.RunFor(seconds(2));
    return result;
  }

  FakeScheduler m_scheduler;
  FakeNetwork m_network{&m_scheduler, 1};
  SilentLog m_log;
  ConfigState m_state;
  GroupView m_leader_view{&m_state, kLeader};
  GroupView m_other_view{&m_state, kOther};
  FakePeerTransport m_leader_peers{&m_network, kLeader, &m_scheduler};
  FakePeerTransport m_other_peers{&m_network, kOther, &m_scheduler};
  RoutingService m_leader = Make(&m_leader_view, &m_leader_peers, kLeader);
  RoutingService m_other = Make(&m_other_view, &m_other_peers, kOther);
};

TEST_F(RoutingServiceTest, AnyVmAcceptsAndReads) {
  ASSERT_TRUE(Accept(&m_other, {5, "five"})->has_value());
  EXPECT_EQ(Read(&m_leader)->value().text, "five");
  EXPECT_EQ(Read(&m_other)->value().version, 5U);
}

TEST_F(RoutingServiceTest, AcceptsOlderAndEqualVersionsWithoutEffect) {
  Accept(&m_leader, {5, "five"});
  EXPECT_TRUE(Accept(&m_other, {4, "four"})->has_value());
  EXPECT_TRUE(Accept(&m_leader, {5, "other"})->has_value());
  EXPECT_EQ(Read(&m_other)->value().text, "five");
  EXPECT_TRUE(Accept(&m_leader, {5, "five"})->has_value());
}

TEST_F(RoutingServiceTest, WaitsOutAShortElection) {
  m_other_view.SetLeader({});
  std::optional<Result<void>> result;
  m_other.Accept({5, "five"}, [&](const Result<void>& got) { result = got; });
  m_scheduler.RunFor(milliseconds(400));
  EXPECT_FALSE(result);
  m_other_view.SetLeader(kLeader);
  m_scheduler.RunFor(milliseconds(200));
  ASSERT_TRUE(result);
  EXPECT_TRUE(result->has_value());
}

TEST_F(RoutingServiceTest, IsNotSureWithoutAQuorum) {
  Accept(&m_leader, {5, "five"});
  m_leader_view.SetQuorum(false);
  EXPECT_EQ(Read(&m_leader)->error().kind, ErrorKind::kNoQuorum);
  EXPECT_EQ(Read(&m_other)->error().kind, ErrorKind::kNoQuorum);
  EXPECT_EQ(Accept(&m_other, {6, "six"})->error().kind, ErrorKind::kNoQuorum);
}

// Cut off from the leader, a VM that still believes in it knows nothing newer.
TEST_F(RoutingServiceTest, ACutOffVmReadsNothing) {
  Accept(&m_leader, {5, "five"});
  m_network.SetCut(kOther, kLeader, true);
  const TimePoint asked = m_scheduler.Now();
  std::optional<TimePoint> answered;
  m_other.Read([&](const Result<RoutingDocument>& got) {
    EXPECT_FALSE(got);
    answered = m_scheduler.Now();
  });
  m_scheduler.RunFor(seconds(3));
  ASSERT_TRUE(answered);
  EXPECT_LE(*answered - asked, seconds(1));
}

TEST_F(RoutingServiceTest, AnOldLeaderThatIsAskedDoesNotAskOn) {
  m_leader_view.SetLeader(kOther);
  EXPECT_FALSE(Read(&m_other)->has_value());
}

}  // namespace
}  // namespace chicoryvale
