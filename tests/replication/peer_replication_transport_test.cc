#include "replication/peer_replication_transport.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <memory>
#include <string>
#include <vector>

#include "fakes/fake_network.h"
#include "fakes/fake_scheduler.h"
#include "fakes/fake_storage.h"
#include "replication/replicated_control_group.h"

namespace chicoryvale {
namespace {

const Address kLeft = {"127.0.0.1:1"};
const Address kRight = {"127.0.0.2:1"};

/// Two transports over a fake network. The right one sends two replies to
/// "ask".
class PeerReplicationTransportTest : public testing::Test {
 protected:
  PeerReplicationTransportTest() {
    m_left.SetReceiver(
        [this](const std::string& bytes) { m_received.push_back(bytes); });
    m_right.SetReceiver([this](const std::string& bytes) {
      m_received.push_back(bytes);
      if (bytes != "ask") return;
      m_right.Send(kLeft, "reply");
      m_right.Send(kLeft, "more");
    });
  }

  FakeScheduler m_scheduler;
  FakeNetwork m_network{&m_scheduler, 1};
  FakePeerTransport m_left_peers{&m_network, kLeft, &m_scheduler};
  FakePeerTransport m_right_peers{&m_network, kRight, &m_scheduler};
  PeerReplicationTransport m_left{&m_left_peers, seconds(1)};
  PeerReplicationTransport m_right{&m_right_peers, seconds(1)};
  std::vector<std::string> m_received;
};

TEST_F(PeerReplicationTransportTest, FirstReplyIsSentAsTheCallResponse) {
  m_left.Send(kRight, "ask");
  m_scheduler.RunFor(seconds(2));
  ASSERT_EQ(m_received.size(), 3U);
  EXPECT_EQ(m_received[0], "ask");
  EXPECT_EQ(m_network.calls, 2U);
}

TEST_F(PeerReplicationTransportTest, MessageWithoutReplyGetsAnEmptyResponse) {
  m_left.Send(kRight, "tell");
  m_scheduler.RunFor(seconds(2));
  EXPECT_EQ(m_received, std::vector<std::string>{"tell"});
}

TEST_F(PeerReplicationTransportTest, LostMessageIsDropped) {
  m_network.SetCut(kLeft, kRight, true);
  m_left.Send(kRight, "ask");
  m_scheduler.RunFor(seconds(2));
  EXPECT_TRUE(m_received.empty());
}

TEST(ReplicatedControlGroupTest, AcceptsChangesAndClaimsOverPeerCalls) {
  FakeScheduler scheduler;
  FakeNetwork network(&scheduler, 1);
  const std::vector<Address> addresses = {kLeft, kRight, {"127.0.0.3:1"}};
  std::vector<std::unique_ptr<FakeStorage>> disks;
  std::vector<std::unique_ptr<FakePeerTransport>> peers;
  std::vector<std::unique_ptr<ReplicatedControlGroup>> groups;
  for (const Address& address : addresses) {
    disks.push_back(std::make_unique<FakeStorage>());
    peers.push_back(
        std::make_unique<FakePeerTransport>(&network, address, &scheduler));
    ReplicaOptions options;
    options.address = address;
    options.initial_members = addresses;
    options.may_form_group = true;
    options.seed = disks.size();
    auto made = ReplicatedControlGroup::Make(
        options, {&scheduler, disks.back().get(), peers.back().get(), nullptr});
    ASSERT_TRUE(made);
    groups.push_back(std::move(*made));
  }
  scheduler.RunFor(seconds(10));
  const Address leader = groups[0]->Status().leader;
  const auto leader_index =
      std::ranges::find(addresses, leader) - addresses.begin();
  ASSERT_LT(leader_index, 3);
  std::size_t results = 0;
  groups[leader_index]->Propose({"a", 0, "", ApplySchema{"s"}},
                                [&](const Result<ChangeResult>& result) {
                                  ASSERT_TRUE(result);
                                  EXPECT_EQ(result->version, 1U);
                                  ++results;
                                });
  ClaimCommand claim;
  claim.request_id = {1 << 16, 1};
  claim.owner = {"e", 1};
  groups[leader_index]->Claim(claim, [&](const Result<ClaimResult>& result) {
    ASSERT_TRUE(result);
    EXPECT_EQ(result->status, ClaimStatus::kGranted);
    ++results;
  });
  groups[leader_index]->ReadConfig([&](const Result<ClusterConfig>& config) {
    ASSERT_TRUE(config);
    ++results;
  });
  scheduler.RunFor(seconds(1));
  EXPECT_EQ(results, 3U);
  for (const auto& group : groups) EXPECT_EQ(group->Config().version, 1U);
}

}  // namespace
}  // namespace chicoryvale
