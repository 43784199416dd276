// Every way in which a request reaches a replica obeys what the replica has
// said of itself, from the next decision on.

#include <gtest/gtest.h>

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "routing/test_entry.h"

namespace chicoryvale {
namespace {

constexpr std::size_t kShards = 5;

/// Two entries, in zones a and b, with all replicas of five shards in zone b
/// and of the service "one" in zone a. Each service has two replicas, x and y.
/// The entry in zone a gets the requests.
class ReplicaNoticeQueryTest : public testing::Test {
 protected:
  ReplicaNoticeQueryTest() {
    m_scheduler.RunFor(seconds(100));
    const std::vector<Member> members = {{Info("a"), MemberState::kAlive, 1},
                                         {Info("b"), MemberState::kAlive, 1}};
    for (const char* zone : {"a", "b"}) {
      m_entries.push_back(std::make_unique<TestEntry>(&m_scheduler, &m_network,
                                                      Info(zone), members));
      m_network.SetState(Info(zone).address, NodeState::kRunning);
    }
    auto config = std::make_shared<RoutingConfig>();
    config->version = 1;
    Route scattered = ScatteredRoute();
    scattered.path_prefix = "/all/";
    scattered.scatter.min_coverage = 0.8;
    for (std::size_t i = 0; i < kShards; ++i) {
      scattered.scatter.shards.push_back("s" + std::to_string(i));
      AddReplicas(scattered.scatter.shards.back(), "b");
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
    AddReplicas("one", "a");
    for (auto& entry : m_entries) {
      entry->pool.SetReplicas(m_replicas, m_scheduler.Now());
      entry->router.SetConfig(config);
      entry->transport.SetBehaviour(
          [this](const ReplicaSend& send) { return Behave(send); });
    }
  }

  static MemberInfo Info(const std::string& zone) {
    return {zone, {"10.0.0.1:" + zone}, zone, MemberRole::kEntry};
  }

  void AddReplicas(const std::string& service, const std::string& zone) {
    for (const char* copy : {"x", "y"}) {
      ListedReplica replica;
      replica.id = service + copy;
      replica.service = service;
      replica.address = {"10.0.0.2:" + replica.id};
      replica.availability_zone = zone;
      replica.slots = 2;
      m_replicas.push_back(replica);
    }
  }

  ReplicaBehaviour Behave(const ReplicaSend& send) {
    const auto set = m_behaviours.find(send.replica_id);
    if (set != m_behaviours.end()) return set->second;
    return {milliseconds(10), SignedAnswer(send.replica_id), false};
  }

  TestEntry& Near() { return *m_entries[0]; }
  TestEntry& Far() { return *m_entries[1]; }

  std::size_t CountSends(const std::string& id) {
    return Near().transport.CountSends(id) + Far().transport.CountSends(id);
  }

  const RoutedAnswer& Run(const std::string& path) {
    Send(path);
    m_scheduler.RunUntil([this] { return m_answer.has_value(); });
    return *m_answer;
  }

  void Send(const std::string& path) {
    auto request = std::make_shared<OpaqueRequest>();
    request->id = "id-" + std::to_string(++m_request_count);
    request->method = "GET";
    request->target = path;
    m_answer.reset();
    const TimePoint sent_at = m_scheduler.Now();
    Near().router.Handle({request, "h", path, std::nullopt},
                         [this, sent_at](RoutedAnswer answer) {
                           m_answer = std::move(answer);
                           m_elapsed = m_scheduler.Now() - sent_at;
                         });
  }

  // Sends requests until one has reached the replica `id`.
  void RunUntilSentTo(const std::string& id, const std::string& path) {
    const std::size_t before = CountSends(id);
    for (int i = 0; i < 200 && CountSends(id) == before; ++i) Run(path);
    ASSERT_GT(CountSends(id), before);
    m_scheduler.RunFor(milliseconds(50));
  }

  void ExpectNoSends(const std::string& id, const std::string& path) {
    const std::size_t before = CountSends(id);
    for (int i = 0; i < 200; ++i) Run(path);
    EXPECT_EQ(CountSends(id), before);
  }

  static ReplicaBehaviour WithNotice(ReplicaAnswer answer,
                                     const ReplicaNotice& notice,
                                     Duration delay = milliseconds(10)) {
    answer.notice = notice;
    return {delay, std::move(answer), false};
  }

  static ReplicaBehaviour RefusesFor(Duration back_off) {
    return WithNotice(FailedAnswer(SendEnd::kNotRun, 503),
                      {.draining = false, .back_off = back_off},
                      milliseconds(1));
  }

  static constexpr ReplicaNotice kDraining{.draining = true, .back_off = {}};

  FakeScheduler m_scheduler;
  FakeNetwork m_network{&m_scheduler, 1};
  std::vector<std::unique_ptr<TestEntry>> m_entries;
  std::vector<ListedReplica> m_replicas;
  std::map<std::string, ReplicaBehaviour> m_behaviours;
  std::optional<RoutedAnswer> m_answer;
  Duration m_elapsed{};
  int m_request_count = 0;
};

// Whatever the answer is, its notice counts.
TEST_F(ReplicaNoticeQueryTest, FirstSendsObeyANoticeInAnyAnswer) {
  const std::vector<ReplicaAnswer> answers = {
      SignedAnswer("onex"),
      [] {
        ReplicaAnswer unsigned_answer = SignedAnswer("onex");
        unsigned_answer.signature.clear();
        return unsigned_answer;
      }(),
      FailedAnswer(SendEnd::kAnswered, 500),
      FailedAnswer(SendEnd::kAnswered, 504),
      FailedAnswer(SendEnd::kNotRun, 503),
      FailedAnswer(SendEnd::kNotRun, 429),
      FailedAnswer(SendEnd::kBroken, 200),
      FailedAnswer(SendEnd::kTimedOut, 200)};
  for (std::size_t i = 0; i < answers.size(); ++i) {
    SCOPED_TRACE(i);
    m_behaviours["onex"] = WithNotice(answers[i], kDraining);
    Near().pool.SetReplicas({}, m_scheduler.Now());
    m_scheduler.RunFor(seconds(60));
    Near().pool.SetReplicas(m_replicas, m_scheduler.Now());
    RunUntilSentTo("onex", "/many/x");
    ExpectNoSends("onex", "/many/x");
    ExpectNoSends("onex", "/once/x");
  }
  EXPECT_EQ(Near().log.Count("replica_says_draining"), answers.size());
}

TEST_F(ReplicaNoticeQueryTest, HedgesDoNotGoToADrainingReplica) {
  Near().pool.RecordNotice("onex", kDraining, m_scheduler.Now());
  m_behaviours["oney"] = {milliseconds(400), SignedAnswer("oney"), false};
  EXPECT_FALSE(Run("/many/x").error);
  EXPECT_EQ(CountSends("onex"), 0U);
  EXPECT_EQ(CountSends("oney"), 1U);
}

// The loser of a hedge, whose answer is not needed any more, is heard too.
TEST_F(ReplicaNoticeQueryTest, TheAnswerOfAHedgeThatLostIsHeard) {
  m_behaviours["onex"] =
      WithNotice(SignedAnswer("onex"), kDraining, milliseconds(150));
  m_behaviours["oney"] = {milliseconds(100), SignedAnswer("oney"), false};
  RunUntilSentTo("onex", "/many/x");
  m_scheduler.RunFor(milliseconds(400));
  EXPECT_EQ(Near().log.Count("replica_says_draining"), 1U);
  ExpectNoSends("onex", "/many/x");
}

TEST_F(ReplicaNoticeQueryTest, RepeatsDoNotGoToAReplicaThatBacksOff) {
  m_behaviours["onex"] = RefusesFor(seconds(3));
  m_behaviours["oney"] = {milliseconds(1), FailedAnswer(SendEnd::kNotRun, 503),
                          false};
  RunUntilSentTo("onex", "/once/x");
  const std::size_t before = CountSends("onex");
  // The other replica refuses without a time, so the request is repeated after
  // a pause, when all replicas may be tried again.
  for (int i = 0; i < 20; ++i) Run("/once/x");
  EXPECT_EQ(CountSends("onex"), before);
  EXPECT_GT(CountSends("oney"), 20U);
}

// A request that is refused by the only replica is repeated after a pause
// unless the replica has stated a longer time.
TEST_F(ReplicaNoticeQueryTest, AWaitingRepeatIsGivenUpIfTheReplicaBacksOff) {
  Near().pool.RecordNotice("oney", kDraining, m_scheduler.Now());
  m_behaviours["onex"] = RefusesFor(seconds(3));
  const RoutedAnswer& answer = Run("/once/x");
  ASSERT_TRUE(answer.error);
  EXPECT_EQ(answer.error->ran, Ran::kNo);
  EXPECT_EQ(CountSends("onex"), 1U);
  EXPECT_LT(m_elapsed, milliseconds(10));
}

TEST_F(ReplicaNoticeQueryTest, RelaysObeyWhatTheyHear) {
  m_behaviours["s3x"] = WithNotice(SignedAnswer("s3x"), kDraining);
  RunUntilSentTo("s3x", "/all/x");
  EXPECT_GT(Far().transport.CountSends("s3x"), 0U);
  ExpectNoSends("s3x", "/all/x");
}

// The entry that sent the request to the relay has passed the answer on as
// well.
TEST_F(ReplicaNoticeQueryTest, ARelayTellsWhichReplicasDrain) {
  m_behaviours["s3x"] = WithNotice(SignedAnswer("s3x"), kDraining);
  RunUntilSentTo("s3x", "/all/x");
  const std::size_t before = Near().transport.CountSends("s3x");
  m_network.SetState(Info("b").address, NodeState::kCrashed);
  for (int i = 0; i < 100; ++i) Run("/all/x");
  EXPECT_GT(Near().transport.CountSends("s3y"), 0U);
  EXPECT_EQ(Near().transport.CountSends("s3x"), before);
}

// Callers are told at once, and when to return; the times differ from caller to
// caller.
TEST_F(ReplicaNoticeQueryTest, IsRefusedAtOnceWhileAllReplicasBackOff) {
  m_behaviours["onex"] = RefusesFor(seconds(4));
  m_behaviours["oney"] = RefusesFor(seconds(2));
  Run("/once/x");
  const TimePoint told_at = m_scheduler.Now();
  const std::size_t sends = CountSends("onex") + CountSends("oney");
  std::vector<Duration> retry_after;
  for (int i = 0; i < 20; ++i) {
    const RoutedAnswer& answer = Run("/once/x");
    ASSERT_TRUE(answer.error);
    EXPECT_EQ(answer.error->ran, Ran::kNo);
    EXPECT_EQ(m_elapsed, Duration::zero());
    EXPECT_GE(m_scheduler.Now() + answer.retry_after, told_at + seconds(2));
    EXPECT_LE(answer.retry_after, milliseconds(2500) * 5 / 4);
    retry_after.push_back(answer.retry_after);
  }
  EXPECT_EQ(CountSends("onex") + CountSends("oney"), sends);
  std::ranges::sort(retry_after);
  EXPECT_GT(retry_after.back() - retry_after.front(), milliseconds(100));
  EXPECT_EQ(Near().counters.Get(RoutingCounter::kRefusedReplicasBackingOff),
            21U);
}

TEST_F(ReplicaNoticeQueryTest, IsServedAgainWhenTheFirstBackOffEnds) {
  m_behaviours["onex"] = RefusesFor(seconds(60));
  m_behaviours["oney"] = RefusesFor(seconds(2));
  Run("/once/x");
  m_behaviours.erase("oney");
  m_scheduler.RunFor(milliseconds(2500));
  EXPECT_FALSE(Run("/once/x").error);
}

// A scattered request leaves out the shards whose replicas want nothing, and
// tells so, as long as its coverage allows it.
TEST_F(ReplicaNoticeQueryTest, TellsTheCoverageWhenAShardBacksOff) {
  for (TestEntry* entry : {&Near(), &Far()}) {
    for (const char* id : {"s3x", "s3y"}) {
      entry->pool.RecordNotice(id, {.draining = false, .back_off = seconds(5)},
                               m_scheduler.Now());
    }
  }
  const RoutedAnswer& answer = Run("/all/x");
  EXPECT_FALSE(answer.error);
  EXPECT_EQ(answer.missing_shard_count, 1U);
  EXPECT_EQ(CountSends("s3x") + CountSends("s3y"), 0U);
  for (const char* id : {"s1x", "s1y"}) {
    Near().pool.RecordNotice(id, {.draining = false, .back_off = seconds(3)},
                             m_scheduler.Now());
  }
  const RoutedAnswer& refused = Run("/all/x");
  ASSERT_TRUE(refused.error);
  EXPECT_EQ(refused.error->ran, Ran::kNo);
  EXPECT_EQ(m_elapsed, Duration::zero());
  // One of the two shards suffices, so the sooner end counts.
  EXPECT_GE(refused.retry_after, milliseconds(2800));
  EXPECT_LE(refused.retry_after, milliseconds(3750) * 5 / 4);
}

}  // namespace
}  // namespace chicoryvale
