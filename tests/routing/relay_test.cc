#include <gtest/gtest.h>

#include <algorithm>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "routing/relay_plan.h"
#include "routing/test_entry.h"

namespace chicoryvale {
namespace {

TEST(RelayPlanTest, ChoosesTheZoneThatServesTheMostSubRequests) {
  const std::vector<RemoteSubRequest> sub_requests = {
      {0, {"b"}}, {1, {"b", "c"}}, {4, {"c"}}, {5, {"b", "c"}}, {6, {"c"}}};
  const auto groups = PlanRelays(sub_requests, {"b", "c"});
  ASSERT_EQ(groups.size(), 1U);
  EXPECT_EQ(groups[0], (RelayGroup{"c", {1, 4, 5, 6}}));
}

TEST(RelayPlanTest, TheOrderOfZonesBreaksTies) {
  const std::vector<RemoteSubRequest> sub_requests = {{0, {"b", "c"}},
                                                      {1, {"b", "c"}}};
  EXPECT_EQ(PlanRelays(sub_requests, {"b", "c"})[0].zone, "b");
  EXPECT_EQ(PlanRelays(sub_requests, {"c", "b"})[0].zone, "c");
}

TEST(RelayPlanTest, SplitsALargeGroupEvenlyAndInOrder) {
  RelayGroup group{"b", {}};
  for (std::size_t i = 0; i < 25; ++i) group.indices.push_back(i);
  const auto messages = SplitRelayGroup(group);
  ASSERT_EQ(messages.size(), 3U);
  EXPECT_EQ(messages[0].indices.front(), 0U);
  EXPECT_EQ(messages[0].indices.size(), 8U);
  EXPECT_EQ(messages[1].indices.front(), 8U);
  EXPECT_EQ(messages[2].indices.back(), 24U);
  EXPECT_EQ(SplitRelayGroup({"b", {3, 4}}),
            (std::vector<RelayGroup>{{"b", {3, 4}}}));
}

TEST(RelayPlanTest, OmitsSingleSubRequestsAndZonesWithoutEntries) {
  EXPECT_TRUE(PlanRelays({{0, {"b"}}, {1, {"c"}}}, {"b", "c"}).empty());
  EXPECT_TRUE(PlanRelays({{0, {"b"}}, {1, {"b"}}}, {}).empty());
  EXPECT_TRUE(PlanRelays({{0, {"b"}}, {1, {"b"}}}, {"c"}).empty());
}

MemberInfo EntryIn(const std::string& zone) {
  return {zone, {"10.0.0.1:" + zone}, zone, MemberRole::kEntry};
}

std::string Record(char letter) {
  return std::string(RankMerger::kRecordBytes, letter);
}

/// Two entries, in zones a and b. Shards 0 and 1 have replicas in zone a, the
/// other four in zone b. The entry in zone a gets the requests.
class RelayTest : public testing::Test {
 protected:
  static constexpr std::size_t kShards = 6;

  RelayTest() {
    m_scheduler.RunFor(seconds(100));
    const std::vector<Member> members = {
        {EntryIn("a"), MemberState::kAlive, 1},
        {EntryIn("b"), MemberState::kAlive, 1}};
    m_near = std::make_unique<TestEntry>(&m_scheduler, &m_network, EntryIn("a"),
                                         members);
    m_far = std::make_unique<TestEntry>(&m_scheduler, &m_network, EntryIn("b"),
                                        members);
    auto config = std::make_shared<RoutingConfig>();
    config->version = 1;
    Route route = ScatteredRoute();
    std::vector<ListedReplica> replicas;
    for (std::size_t i = 0; i < kShards; ++i) {
      const std::string name = "s" + std::to_string(i);
      route.scatter.shards.push_back(name);
      config->services.push_back({name, "/", 50});
      for (const char* copy : {"x", "y"}) {
        ListedReplica replica;
        replica.id = name + copy;
        replica.service = name;
        replica.address = {replica.id};
        replica.availability_zone = i < 2 ? "a" : "b";
        replica.slots = 2;
        replicas.push_back(replica);
      }
    }
    config->routes.push_back(route);
    for (TestEntry* entry : {m_near.get(), m_far.get()}) {
      entry->pool.SetReplicas(replicas, m_scheduler.Now());
      entry->router.SetConfig(config);
      entry->transport.SetBehaviour(Good);
    }
  }

  static ReplicaBehaviour Good(const ReplicaSend& send) {
    return {milliseconds(10),
            SignedAnswer(send.replica_id, Record(send.replica_id[1])), false};
  }

  std::uint64_t Send() {
    auto request = std::make_shared<OpaqueRequest>();
    request->id = "id1";
    request->method = "GET";
    request->target = "/q";
    request->headers = {{"X", "y"}};
    m_sent_at = m_scheduler.Now();
    return m_near->router.Handle({request, "h", "/q", std::nullopt},
                                 [this](RoutedAnswer answer) {
                                   m_answer = std::move(answer);
                                   m_elapsed = m_scheduler.Now() - m_sent_at;
                                 });
  }

  const RoutedAnswer& Run() {
    Send();
    m_scheduler.RunUntil([this] { return m_answer.has_value(); });
    return *m_answer;
  }

  FakeScheduler m_scheduler;
  FakeNetwork m_network{&m_scheduler, 1};
  std::unique_ptr<TestEntry> m_near;
  std::unique_ptr<TestEntry> m_far;
  TimePoint m_sent_at{};
  Duration m_elapsed{};
  std::optional<RoutedAnswer> m_answer;
};

TEST_F(RelayTest, OneMessageCoversTheSubRequestsOfAZone) {
  const RoutedAnswer& answer = Run();
  EXPECT_FALSE(answer.error);
  EXPECT_EQ(answer.signatures.size(), kShards);
  EXPECT_EQ(answer.missing_shard_count, 0U);
  EXPECT_EQ(answer.body, Record('5') + Record('4') + Record('3') + Record('2'));
  EXPECT_EQ(m_near->transport.Sends().size(), 2U);
  EXPECT_EQ(m_far->transport.Sends().size(), 4U);
  EXPECT_EQ(m_network.calls, 1U);
  const OpaqueRequest& relayed = *m_far->transport.Sends().front().request;
  EXPECT_EQ(relayed.id, "id1");
  EXPECT_EQ(relayed.target, "/q");
  EXPECT_EQ(FindHeader(relayed.headers, "X"), "y");
  EXPECT_GE(m_elapsed, milliseconds(12));
  EXPECT_LT(m_elapsed, milliseconds(14));
}

TEST_F(RelayTest, TheRelayHedgesItsSubRequests) {
  m_far->transport.SetBehaviour([](const ReplicaSend& send) {
    ReplicaBehaviour behaviour = Good(send);
    behaviour.silent =
        send.replica_id[1] == '3' && send.time_left > milliseconds(70);
    return behaviour;
  });
  EXPECT_EQ(Run().missing_shard_count, 0U);
  EXPECT_LT(m_elapsed, milliseconds(80));
}

// Guards against retries without limit: what the relay does not answer is
// retried only within the attempts and the budget that the sub-request has
// left.
TEST_F(RelayTest, ASubRequestThatTheRelayMissesIsRetriedWithinItsAttempts) {
  m_far->transport.SetBehaviour([](const ReplicaSend& send) {
    ReplicaBehaviour behaviour = Good(send);
    behaviour.silent = send.replica_id[1] >= '4';
    return behaviour;
  });
  // The relay cannot hedge, because its budget is used up.
  for (const char* service : {"s4", "s5"}) {
    while (m_far->budget.TryAcquire(service, RetryBudget::Purpose::kRetry,
                                    m_scheduler.Now())) {
    }
  }
  EXPECT_EQ(Run().missing_shard_count, 0U);
  EXPECT_EQ(m_near->transport.Sends().size(), 4U);
  EXPECT_EQ(m_near->counters.Get(RoutingCounter::kRetriesBroken), 2U);
}

TEST_F(RelayTest, RetriesAfterARelayUseTheBudget) {
  m_far->transport.SetBehaviour([](const ReplicaSend&) {
    return ReplicaBehaviour{milliseconds(1), FailedAnswer(SendEnd::kNotRun),
                            false};
  });
  for (TestEntry* entry : {m_near.get(), m_far.get()}) {
    for (std::size_t i = 2; i < kShards; ++i) {
      while (entry->budget.TryAcquire("s" + std::to_string(i),
                                      RetryBudget::Purpose::kRetry,
                                      m_scheduler.Now())) {
      }
    }
  }
  EXPECT_TRUE(Run().error);
  EXPECT_EQ(m_near->transport.Sends().size(), 2U);
  EXPECT_EQ(m_far->transport.Sends().size(), 4U);
}

TEST_F(RelayTest, AttemptsOfTheRelayCountTowardsTheMaximum) {
  m_far->transport.SetBehaviour([](const ReplicaSend& send) {
    ReplicaBehaviour behaviour = Good(send);
    behaviour.silent = send.replica_id[1] >= '4';
    return behaviour;
  });
  Run();
  const auto count_sends = [](const TestEntry& entry, char shard) {
    return std::ranges::count_if(entry.transport.Sends(),
                                 [shard](const ReplicaSend& send) {
                                   return send.replica_id[1] == shard;
                                 });
  };
  for (const char shard : {'4', '5'}) {
    EXPECT_EQ(count_sends(*m_near, shard) + count_sends(*m_far, shard), 2);
  }
}

TEST_F(RelayTest, AFailedRelayIsAvoided) {
  m_network.SetCut(EntryIn("b").address, EntryIn("a").address, true);
  EXPECT_TRUE(Run().error);
  EXPECT_EQ(m_near->transport.Sends().size(), 2U);
  EXPECT_LE(m_elapsed, milliseconds(150));
  m_answer.reset();
  EXPECT_EQ(Run().signatures.size(), kShards);
  EXPECT_EQ(m_near->counters.Get(RoutingCounter::kRelaysFailed), 1U);
}

TEST_F(RelayTest, SubRequestsOfADrainingRelayAreSentDirectly) {
  m_far->service.StopAccepting();
  EXPECT_EQ(Run().signatures.size(), kShards);
  EXPECT_EQ(m_near->transport.Sends().size(), kShards);
  EXPECT_EQ(m_far->transport.Sends().size(), 0U);
}

// Guards against lost answers when the replicas of the other zone are
// overloaded and refuse: direct sends keep retrying, while one relay after the
// other would not.
TEST_F(RelayTest, AZoneWhoseRelaysMissSubRequestsMostlyGetsDirectSends) {
  m_far->transport.SetBehaviour([](const ReplicaSend&) {
    return ReplicaBehaviour{milliseconds(1), FailedAnswer(SendEnd::kNotRun),
                            false};
  });
  constexpr int kRequests = 16;
  for (int i = 0; i < kRequests; ++i) {
    m_answer.reset();
    Run();
    m_scheduler.RunFor(milliseconds(500));
  }
  const std::uint64_t relayed = m_near->counters.Get(RoutingCounter::kRelayed);
  EXPECT_GE(relayed, 4U);
  EXPECT_LE(relayed, 4U * 4);
  m_far->transport.SetBehaviour(Good);
  for (int i = 0; i < 20 * kRequests; ++i) {
    m_answer.reset();
    Run();
  }
  m_near->transport.SetBehaviour(Good);
  const std::size_t before = m_near->transport.Sends().size();
  m_answer.reset();
  Run();
  EXPECT_EQ(m_near->transport.Sends().size(), before + 2);
}

TEST_F(RelayTest, DisconnectOfTheCallerCancelsAllWork) {
  const auto silent = [](const ReplicaSend&) {
    return ReplicaBehaviour{{}, {}, true};
  };
  m_near->transport.SetBehaviour(silent);
  m_far->transport.SetBehaviour(silent);
  const std::uint64_t query = Send();
  m_scheduler.RunFor(milliseconds(5));
  EXPECT_EQ(m_far->transport.OpenSends(), 4U);
  m_near->router.CancelOnDisconnect(query);
  m_scheduler.RunFor(milliseconds(5));
  EXPECT_EQ(m_near->transport.OpenSends(), 0U);
  EXPECT_EQ(m_far->transport.OpenSends(), 0U);
  EXPECT_EQ(m_far->service.InFlight(), 0U);
}

// A cancelled call that was never answered stayed among the open calls of its
// connection, which refused all further calls at its limit.
TEST_F(RelayTest, ACancelledCallIsAnswered) {
  m_far->transport.SetBehaviour([](const ReplicaSend&) {
    return ReplicaBehaviour{{}, {}, true};
  });
  constexpr std::uint64_t kCalls = 2000;
  std::size_t answered = 0;
  for (std::uint64_t id = 1; id <= kCalls; ++id) {
    RelayRequestMessage message;
    message.relay_id = id;
    message.request_id = "r" + std::to_string(id);
    message.services = {"s3"};
    message.target_latency_ms = 1000;
    message.answer_within_ms = 60'000;
    message.time_left_ms = 60'000;
    m_near->peers.Call(EntryIn("b").address, PeerChannel::kRelay,
                       Encode(message), seconds(70),
                       [&answered](const Result<std::string>& bytes) {
                         if (bytes) ++answered;
                       });
    m_scheduler.RunFor(milliseconds(5));
    RelayRequestMessage cancellation;
    cancellation.relay_id = id;
    cancellation.cancel = true;
    m_near->peers.Call(EntryIn("b").address, PeerChannel::kRelay,
                       Encode(cancellation), seconds(1),
                       [](const Result<std::string>&) {});
    m_scheduler.RunFor(milliseconds(5));
  }
  EXPECT_EQ(answered, kCalls);
  EXPECT_EQ(m_far->service.InFlight(), 0U);
}

TEST_F(RelayTest, UndecodableRequestsAreRefused) {
  std::optional<std::string> answer;
  m_near->peers.Call(
      EntryIn("b").address, PeerChannel::kRelay, "damaged", seconds(1),
      [&](const Result<std::string>& bytes) { answer = bytes.value(); });
  m_scheduler.RunFor(seconds(1));
  RelayReplyMessage reply;
  ASSERT_TRUE(answer && Decode(*answer, &reply));
  EXPECT_FALSE(reply.accepted);
}

}  // namespace
}  // namespace chicoryvale
