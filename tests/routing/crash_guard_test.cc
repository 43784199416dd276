#include "routing/crash_guard.h"

#include <gtest/gtest.h>

#include <functional>
#include <memory>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "fakes/fake_replica_transport.h"
#include "fakes/fake_scheduler.h"
#include "fakes/recording_log.h"
#include "fakes/shared_gossip.h"
#include "routing/test_entry.h"

namespace chicoryvale {
namespace {

constexpr std::size_t kShards = 10;

/// Two entries that share their marks, and kShards shards with two replicas.
class CrashGuardTest : public testing::Test {
 protected:
  CrashGuardTest() {
    m_scheduler.RunFor(seconds(100));
    Route route = ScatteredRoute();
    auto config = std::make_shared<RoutingConfig>();
    config->version = 1;
    std::vector<ListedReplica> replicas;
    for (std::size_t i = 0; i < kShards; ++i) {
      const std::string service = "s" + std::to_string(i);
      route.scatter.shards.push_back(service);
      for (const char* copy : {"x", "y"}) {
        ListedReplica replica;
        replica.id = service + copy;
        replica.service = service;
        replica.address = {"10.0.0.2:" + replica.id};
        replica.availability_zone = "z";
        replica.slots = 2;
        replicas.push_back(replica);
      }
    }
    config->routes.push_back(route);
    for (const char* name : {"a", "b"}) {
      const MemberInfo self{
          name, {std::string("10.0.0.1:") + name}, "z", MemberRole::kEntry};
      auto entry = std::make_unique<TestEntry>(
          &m_scheduler, &m_network, self,
          std::vector<Member>{{self, MemberState::kAlive, 1}});
      m_guards.push_back(std::make_unique<CrashGuard>(
          CrashGuard::Ports{&m_scheduler, &m_gossip, &entry->log, &entry->view},
          name));
      m_guards.back()->Start();
      entry->context.crash_guard = m_guards.back().get();
      entry->guarded_router = std::make_unique<Router>(entry->context, 5);
      entry->pool.SetReplicas(replicas, m_scheduler.Now());
      entry->guarded_router->SetConfig(config);
      entry->transport.SetBehaviour(
          [this](const ReplicaSend& send) { return Behave(send); });
      m_entries.push_back(std::move(entry));
    }
  }

  ReplicaBehaviour Behave(const ReplicaSend& send) {
    const bool crashes = send.request->target.starts_with("/crash") ||
                         m_down.contains(send.replica_id);
    if (!crashes) {
      return {milliseconds(10), SignedAnswer(send.replica_id), false};
    }
    ++m_lost_count;
    return {milliseconds(3), FailedAnswer(SendEnd::kBroken), false};
  }

  static OpaqueRequest Request(const std::string& id,
                               const std::string& target) {
    OpaqueRequest request;
    request.id = id;
    request.method = "GET";
    request.target = target;
    request.headers = {{"Host", "h"}};
    return request;
  }

  RoutedAnswer Run(std::size_t entry, const std::string& target) {
    auto request = std::make_shared<OpaqueRequest>(
        Request("id-" + std::to_string(++m_request_count), target));
    std::optional<RoutedAnswer> answer;
    m_entries[entry]->guarded_router->Handle(
        {request, "h", target, std::nullopt},
        [&answer](RoutedAnswer result) { answer = std::move(result); });
    m_scheduler.RunUntil([&answer] { return answer.has_value(); });
    return *answer;
  }

  /// Lets a run of the request at the entry end with the loss of `replica`.
  void Lose(std::size_t entry, const OpaqueRequest& request,
            const Address& replica) {
    CrashGuard& guard = *m_guards[entry];
    const auto run = guard.Begin(request);
    ASSERT_TRUE(run);
    guard.End(*run, request, {.lost_replica = replica, .may_have_run = true});
  }

  FakeScheduler m_scheduler;
  FakeNetwork m_network{&m_scheduler, 1};
  SharedGossip m_gossip;
  std::vector<std::unique_ptr<CrashGuard>> m_guards;
  std::vector<std::unique_ptr<TestEntry>> m_entries;
  std::set<std::string> m_down;
  std::size_t m_lost_count = 0;
  int m_request_count = 0;
};

// Callers of a sound request were refused for a minute after two replicas had
// answered it with bytes that are no answer.
TEST_F(CrashGuardTest, BytesThatAreNoAnswerAreNoCrash) {
  for (const auto& entry : m_entries) {
    entry->transport.SetBehaviour([](const ReplicaSend& /*send*/) {
      ReplicaAnswer garbage = FailedAnswer(SendEnd::kBroken);
      garbage.ended_by_replica = false;
      return ReplicaBehaviour{milliseconds(3), garbage, false};
    });
  }
  for (std::size_t i = 0; i < 10; ++i) Run(i % 2, "/sound");
  for (const auto& entry : m_entries) {
    entry->transport.SetBehaviour([](const ReplicaSend& send) {
      return ReplicaBehaviour{milliseconds(10), SignedAnswer(send.replica_id),
                              false};
    });
  }
  for (std::size_t i = 0; i < 2; ++i) {
    const RoutedAnswer answer = Run(i, "/sound");
    EXPECT_FALSE(answer.error) << answer.error->message;
  }
}

// A request that crashes replicas came again through all entries, and each time
// crashed two replicas of each shard.
TEST_F(CrashGuardTest, ARequestThatCrashesReplicasIsStoppedAtAllEntries) {
  Run(0, "/crash");
  EXPECT_LE(m_lost_count, kShards);
  Run(1, "/crash");
  EXPECT_LE(m_lost_count, kShards + 2);
  const std::size_t lost = m_lost_count;
  for (std::size_t i = 0; i < 20; ++i) {
    const RoutedAnswer answer = Run(i % 2, "/crash");
    ASSERT_TRUE(answer.error);
    EXPECT_EQ(answer.error->ran, Ran::kNo);
    EXPECT_GT(answer.retry_after, Duration::zero());
    m_scheduler.RunFor(seconds(1));
  }
  EXPECT_EQ(m_lost_count, lost);
  EXPECT_FALSE(Run(0, "/other").error);
}

// Guards against barring requests that were lost with replicas which crashed
// for another reason.
TEST_F(CrashGuardTest, InnocentRequestsBesideCrashedReplicasAreNotBarred) {
  for (std::size_t i = 0; i < kShards; i += 2) {
    m_down.insert("s" + std::to_string(i) + "x");
  }
  for (int i = 0; i < 50; ++i) Run(i % 2, "/popular");
  EXPECT_GT(m_lost_count, 0U);
  m_down.clear();
  m_scheduler.RunFor(seconds(10));
  EXPECT_FALSE(Run(0, "/popular").error);
  EXPECT_FALSE(Run(1, "/popular").error);
}

// After a loss, the request runs at one replica first, and at the others once
// that has survived.
TEST_F(CrashGuardTest, AMarkedRequestThatAReplicaSurvivesRunsWhole) {
  Lose(0, Request("lost", "/marked"), {"10.0.0.2:s0x"});
  ASSERT_TRUE(m_guards[1]->IsMarked(Request("again", "/marked")));
  const RoutedAnswer answer = Run(1, "/marked");
  EXPECT_FALSE(answer.error);
  EXPECT_EQ(answer.missing_shard_count, 0U);
  EXPECT_EQ(m_entries[1]->transport.Sends().size(), kShards);
  EXPECT_FALSE(m_guards[0]->IsMarked(Request("again", "/marked")));
}

// A scattered request that replicas had served is tried at one replica first,
// and at no other one if that is lost.
TEST_F(CrashGuardTest, ATrialOfAScatteredRequestRunsAtOneReplica) {
  ASSERT_FALSE(Run(0, "/served").error);
  const auto sends = [this] { return m_entries[0]->transport.Sends().size(); };
  Lose(0, Request("lost", "/served"), {"10.0.0.2:s0x"});
  Lose(0, Request("lost", "/served"), {"10.0.0.2:s0y"});
  std::size_t before = sends();
  EXPECT_TRUE(Run(0, "/served").error);
  EXPECT_EQ(sends(), before);
  for (std::size_t i = 0; i < kShards; ++i) {
    for (const char* copy : {"x", "y"}) {
      m_down.insert("s" + std::to_string(i) + copy);
    }
  }
  m_scheduler.RunFor(seconds(5));
  EXPECT_TRUE(Run(0, "/served").error);
  EXPECT_EQ(sends(), before + 1);
  m_down.clear();
  m_scheduler.RunFor(seconds(20));
  before = sends();
  const RoutedAnswer answer = Run(0, "/served");
  ASSERT_FALSE(answer.error) << answer.error->message;
  EXPECT_EQ(answer.missing_shard_count, 0U);
  EXPECT_EQ(sends(), before + kShards);
}

// Guards against taking a lost connection to a living replica for a crash, for
// example one that was idle and that the replica has forgotten.
TEST_F(CrashGuardTest, AReplicaThatAnswersSoonAfterALossHasNotCrashed) {
  const OpaqueRequest request = Request("lost", "/once");
  const Address replica{"10.0.0.2:s0x"};
  for (int i = 0; i < 5; ++i) {
    Lose(0, request, replica);
    const TimePoint sent_at = m_scheduler.Now();
    m_scheduler.RunFor(milliseconds(200));
    m_guards[1]->RecordAnswer(replica, sent_at);
  }
  EXPECT_TRUE(m_guards[0]->MayRun(request));
  EXPECT_TRUE(m_guards[1]->MayRun(request));
}

TEST_F(CrashGuardTest, ResendsAreRecognizedAndOtherRequestsAreNot) {
  const OpaqueRequest request = Request("1", "/a");
  OpaqueRequest resend = Request("2", "/a");
  resend.headers.push_back({"Chicoryvale-Deadline-Ms", "100"});
  EXPECT_EQ(CrashGuard::KeyOf(request), CrashGuard::KeyOf(resend));
  OpaqueRequest other_host = request;
  other_host.headers = {{"Host", "other"}};
  OpaqueRequest with_body = request;
  with_body.body = std::make_shared<const std::string>("b");
  OpaqueRequest other_method = request;
  other_method.method = "POST";
  for (const OpaqueRequest& other :
       {Request("1", "/b"), other_host, with_body, other_method}) {
    EXPECT_FALSE(CrashGuard::KeyOf(request) == CrashGuard::KeyOf(other));
  }
}

}  // namespace
}  // namespace chicoryvale
