// Requests that a Router receives or has in flight while its process stops.

#include <gtest/gtest.h>

#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "routing/test_entry.h"

namespace chicoryvale {
namespace {

constexpr std::size_t kShards = 10;

/// An entry with a scattered route, an idempotent and a non-idempotent route to
/// one service each; the target latency of all is 100 ms.
class RouterStopTest : public testing::Test {
 protected:
  RouterStopTest() {
    auto config = std::make_shared<RoutingConfig>();
    config->version = 1;
    std::vector<ListedReplica> replicas;
    Route scattered = ScatteredRoute();
    scattered.path_prefix = "/all/";
    for (std::size_t i = 0; i < kShards; ++i) {
      scattered.scatter.shards.push_back("shard" + std::to_string(i));
      AddReplica(scattered.scatter.shards.back(), &replicas);
    }
    config->routes.push_back(scattered);
    for (const bool idempotent : {true, false}) {
      Route single = scattered;
      single.path_prefix = idempotent ? "/many/" : "/once/";
      single.idempotent = idempotent;
      single.scatter = {};
      single.services = {{"one", 1}};
      config->routes.push_back(single);
    }
    AddReplica("one", &replicas);
    m_entry.pool.SetReplicas(replicas, m_scheduler.Now());
    m_entry.router.SetConfig(config);
    m_entry.transport.SetBehaviour([this](const ReplicaSend& send) {
      return ReplicaBehaviour{milliseconds(10), SignedAnswer(send.replica_id),
                              send.replica_id == m_silent_replica};
    });
  }

  static void AddReplica(const std::string& service,
                         std::vector<ListedReplica>* replicas) {
    ListedReplica replica;
    replica.id = service + "-a";
    replica.service = service;
    replica.address = {"10.0.0.1:" + replica.id};
    replica.availability_zone = "z";
    replica.slots = 2;
    replicas->push_back(replica);
  }

  void Send(const std::string& path) {
    auto request = std::make_shared<OpaqueRequest>();
    request->id = "id";
    request->method = "GET";
    request->target = path;
    m_answer.reset();
    m_entry.router.Handle(
        {request, "h", path, std::nullopt},
        [this](RoutedAnswer answer) { m_answer = std::move(answer); });
  }

  void ExpectRefusedAsNotRun() const {
    ASSERT_TRUE(m_answer);
    ASSERT_TRUE(m_answer->error);
    EXPECT_EQ(m_answer->error->kind, ErrorKind::kShuttingDown);
    EXPECT_EQ(m_answer->error->ran, Ran::kNo);
  }

  FakeScheduler m_scheduler;
  FakeNetwork m_network{&m_scheduler, 1};
  MemberInfo m_self{"self", {"10.0.0.9:1"}, "z", MemberRole::kEntry};
  TestEntry m_entry{&m_scheduler, &m_network, m_self, {{m_self}}};
  std::string m_silent_replica;
  std::optional<RoutedAnswer> m_answer;
};

TEST_F(RouterStopTest, RefusesARequestThatWouldHardlyEndInTime) {
  m_entry.router.BeginStop(m_scheduler.Now() + milliseconds(99));
  for (const char* path : {"/many/x", "/once/x", "/all/x"}) {
    SCOPED_TRACE(path);
    Send(path);
    ExpectRefusedAsNotRun();
  }
  EXPECT_TRUE(m_entry.transport.Sends().empty());
  EXPECT_EQ(m_entry.counters.Get(RoutingCounter::kRefusedStopping), 3U);
}

// The caller of a request that may run once at most would not learn whether it
// has run, so such a request needs more time to be accepted.
TEST_F(RouterStopTest, AcceptsIdempotentRequestsForLonger) {
  m_entry.router.BeginStop(m_scheduler.Now() + milliseconds(399));
  Send("/once/x");
  ExpectRefusedAsNotRun();
  Send("/many/x");
  m_scheduler.RunFor(milliseconds(20));
  ASSERT_TRUE(m_answer);
  EXPECT_FALSE(m_answer->error);
}

TEST_F(RouterStopTest, AnAcceptedRequestIsAnsweredByTheEnd) {
  m_silent_replica = "one-a";
  m_entry.router.BeginStop(m_scheduler.Now() + milliseconds(500));
  for (const char* path : {"/once/x", "/many/x"}) {
    SCOPED_TRACE(path);
    Send(path);
    EXPECT_LE(m_entry.transport.Sends().back().time_left, milliseconds(500));
  }
  m_scheduler.RunFor(milliseconds(500));
  ASSERT_TRUE(m_answer);
  ASSERT_TRUE(m_answer->error);
  EXPECT_EQ(m_answer->error->ran, Ran::kMaybe);
}

TEST_F(RouterStopTest, EndAllAnswersEachRequestInFlight) {
  m_silent_replica = "one-a";
  for (const char* path : {"/once/x", "/many/x"}) {
    SCOPED_TRACE(path);
    Send(path);
    m_scheduler.RunFor(milliseconds(20));
    ASSERT_FALSE(m_answer);
    m_entry.router.EndAll();
    ASSERT_TRUE(m_answer);
    ASSERT_TRUE(m_answer->error);
    EXPECT_EQ(m_answer->error->ran, Ran::kMaybe);
  }
  EXPECT_EQ(m_entry.router.InFlight(), 0U);
  EXPECT_EQ(m_entry.transport.OpenSends(), 0U);
}

TEST_F(RouterStopTest, EndAllAnswersAScatteredRequestWithWhatIsThere) {
  m_silent_replica = "shard3-a";
  Send("/all/x");
  m_scheduler.RunFor(milliseconds(20));
  ASSERT_FALSE(m_answer);
  m_entry.router.EndAll();
  ASSERT_TRUE(m_answer);
  EXPECT_FALSE(m_answer->error);
  EXPECT_EQ(m_answer->missing_shard_count, 1U);
}

// Requests that wait for their admission have not run.
TEST_F(RouterStopTest, EndAllRefusesWaitingRequests) {
  std::vector<RoutedAnswer> answers;
  constexpr int kRequests = 200;
  for (int i = 0; i < kRequests; ++i) {
    auto request = std::make_shared<OpaqueRequest>();
    request->id = "id" + std::to_string(i);
    request->method = "GET";
    request->target = "/all/x";
    m_entry.router.Handle({request, "h", "/all/x", std::nullopt},
                          [&answers](RoutedAnswer answer) {
                            answers.push_back(std::move(answer));
                          });
  }
  m_entry.router.EndAll();
  EXPECT_EQ(answers.size(), static_cast<std::size_t>(kRequests));
  EXPECT_EQ(m_entry.router.InFlight(), 0U);
  m_scheduler.RunFor(seconds(5));
  EXPECT_EQ(answers.size(), static_cast<std::size_t>(kRequests));
}

}  // namespace
}  // namespace chicoryvale
