#include <gtest/gtest.h>

#include <algorithm>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "routing/test_entry.h"

namespace chicoryvale {
namespace {

/// A request over more shards than a small entry can send in time, in a zone
/// with six entries.
class NeighborTest : public testing::Test {
 protected:
  static constexpr std::size_t kShards = 60;
  static constexpr int kEntries = 6;

  NeighborTest() {
    m_scheduler.RunFor(seconds(100));
    std::vector<Member> members;
    std::vector<MemberInfo> infos;
    for (int i = 0; i < kEntries; ++i) {
      const std::string name = "10.0.0." + std::to_string(i) + ":7";
      infos.push_back({name, {name}, "a", MemberRole::kEntry});
      members.push_back({infos.back(), MemberState::kAlive, 1});
    }
    auto config = std::make_shared<RoutingConfig>();
    config->version = 1;
    Route route = ScatteredRoute();
    std::vector<ListedReplica> replicas;
    for (std::size_t i = 0; i < kShards; ++i) {
      ListedReplica replica;
      replica.service = "s" + std::to_string(i);
      replica.id = replica.service;
      replica.address = {replica.id};
      replica.availability_zone = "a";
      route.scatter.shards.push_back(replica.service);
      config->services.push_back({replica.service, "/", 50});
      replicas.push_back(replica);
    }
    config->routes.push_back(route);
    for (const MemberInfo& info : infos) {
      auto entry =
          std::make_unique<TestEntry>(&m_scheduler, &m_network, info, members);
      entry->pool.SetReplicas(replicas, m_scheduler.Now());
      entry->router.SetConfig(config);
      entry->transport.SetBehaviour([](const ReplicaSend& send) {
        return ReplicaBehaviour{milliseconds(10), SignedAnswer(send.replica_id),
                                false};
      });
      m_entries.push_back(std::move(entry));
    }
  }

  RoutedAnswer Run() {
    auto request = std::make_shared<OpaqueRequest>();
    request->id = "id";
    std::optional<RoutedAnswer> received;
    m_entries[0]->router.Handle(
        {request, "h", "/q", std::nullopt},
        [&received](RoutedAnswer answer) { received = std::move(answer); });
    m_scheduler.RunUntil([&received] { return received.has_value(); });
    return *received;
  }

  FakeScheduler m_scheduler;
  FakeNetwork m_network{&m_scheduler, 1};
  std::vector<std::unique_ptr<TestEntry>> m_entries;
};

TEST_F(NeighborTest, ALargeRequestIsSharedAmongNeighbors) {
  const RoutedAnswer answer = Run();
  EXPECT_EQ(answer.signatures.size(), kShards);
  EXPECT_TRUE(m_entries[0]->transport.Sends().empty());
  std::size_t max_sends = 0;
  std::size_t total_sends = 0;
  for (const auto& entry : m_entries) {
    max_sends = std::max(max_sends, entry->transport.Sends().size());
    total_sends += entry->transport.Sends().size();
  }
  EXPECT_EQ(total_sends, kShards);
  EXPECT_LE(max_sends, kShards / 2);
}

// Guards against too many connections: each entry that sends to a replica needs
// a connection to it.
TEST_F(NeighborTest, FewEntriesSendToAShard) {
  for (int i = 0; i < 50; ++i) Run();
  const auto sending_entries = std::ranges::count_if(
      m_entries,
      [](const auto& entry) { return entry->transport.CountSends("s7") > 0; });
  EXPECT_LE(sending_entries, 3);
}

TEST_F(NeighborTest, ASilentNeighborIsAvoidedWhileItsZoneIsUsed) {
  for (std::size_t i = 1; i < m_entries.size(); ++i) {
    const auto& from = m_entries[i]->view.Self().address;
    const bool silent = i == 2;
    m_network.SetCut(from, m_entries[0]->view.Self().address, silent);
  }
  for (int i = 0; i < 10; ++i) Run();
  EXPECT_EQ(Run().signatures.size(), kShards);
  EXPECT_TRUE(m_entries[0]->transport.Sends().empty());
}

TEST_F(NeighborTest, AnEntryWithoutNeighborsSendsAllSubRequestsItself) {
  for (std::size_t i = 1; i < m_entries.size(); ++i) {
    m_entries[i]->service.StopAccepting();
  }
  for (int i = 0; i < 10; ++i) Run();
  EXPECT_EQ(Run().signatures.size(), kShards);
  EXPECT_GE(m_entries[0]->transport.Sends().size(), kShards);
}

}  // namespace
}  // namespace chicoryvale
