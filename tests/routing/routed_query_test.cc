#include <gtest/gtest.h>

#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "fakes/fake_replica_transport.h"
#include "fakes/fake_scheduler.h"
#include "fakes/recording_log.h"
#include "routing/router.h"

namespace chicoryvale {
namespace {

constexpr std::size_t kShards = 10;

std::string Record(char letter) {
  return std::string(RankMerger::kRecordBytes, letter);
}

/// A router with a scattered route of kShards shards, an idempotent route to a
/// single service, and a route to that service that is not idempotent; each
/// service has two replicas.
class RoutedQueryTest : public testing::Test {
 protected:
  RoutedQueryTest() {
    // Passes the first window of the retry budget.
    m_scheduler.RunFor(seconds(100));
    std::vector<ListedReplica> replicas;
    auto config = std::make_shared<RoutingConfig>();
    config->version = 7;
    Route scattered;
    scattered.name = "scattered";
    scattered.host = "h";
    scattered.path_prefix = "/all/";
    scattered.idempotent = true;
    scattered.timeout = milliseconds(1000);
    scattered.target_latency = milliseconds(100);
    scattered.max_attempts = 2;
    scattered.scatter.rank_limit = 3;
    scattered.scatter.min_coverage = 0.8;
    for (std::size_t i = 0; i < kShards; ++i) {
      const std::string name = "shard" + std::to_string(i);
      scattered.scatter.shards.push_back(name);
      config->services.push_back({name, "/", 50});
      AddReplicas(name, &replicas);
    }
    config->routes.push_back(scattered);
    for (const bool idempotent : {true, false}) {
      Route single = scattered;
      single.name = idempotent ? "single" : "once";
      single.path_prefix = "/" + single.name + "/";
      single.idempotent = idempotent;
      single.scatter = {};
      single.services = {{"one", 1}};
      config->routes.push_back(single);
    }
    config->services.push_back({"one", "/", 50});
    AddReplicas("one", &replicas);
    m_pool.SetReplicas(replicas, m_scheduler.Now());
    m_router.SetConfig(config);
    m_transport.SetBehaviour([](const ReplicaSend& send) {
      return ReplicaBehaviour{milliseconds(10), SignedAnswer(send.replica_id),
                              false};
    });
  }

  static void AddReplicas(const std::string& service,
                          std::vector<ListedReplica>* replicas) {
    for (const char* suffix : {"-a", "-b"}) {
      ListedReplica replica;
      replica.id = service + suffix;
      replica.service = service;
      replica.address = {"10.0.0.1:" + replica.id};
      replica.availability_zone = "z";
      replica.slots = 2;
      replicas->push_back(replica);
    }
  }

  // Sends a request for `path` and returns the number of the query.
  std::uint64_t Send(const std::string& path,
                     std::optional<Duration> time_left = std::nullopt) {
    auto request = std::make_shared<OpaqueRequest>();
    request->id = "id-" + std::to_string(++m_request_count);
    request->method = "GET";
    request->target = path;
    m_answer.reset();
    m_sent_at = m_scheduler.Now();
    return m_router.Handle({request, "h", path, time_left},
                           [this](RoutedAnswer answer) {
                             m_answer = std::move(answer);
                             m_elapsed = m_scheduler.Now() - m_sent_at;
                           });
  }

  const RoutedAnswer& Run(const std::string& path) {
    Send(path);
    m_scheduler.RunUntil([this] { return m_answer.has_value(); });
    return *m_answer;
  }

  FakeScheduler m_scheduler;
  FakeReplicaTransport m_transport{&m_scheduler};
  ReplicaPool m_pool{"z", 3};
  SendTracker m_sends{&m_scheduler, &m_transport, &m_pool, &m_log};
  RetryBudget m_budget{
      {.ratio = 0.2, .window = seconds(10), .fixed_retries = 100}, TimePoint{}};
  RecordingLog m_log;
  CounterSet<RoutingCounter> m_counters;
  LatencyHistogram m_latencies;
  Router m_router{{.scheduler = &m_scheduler,
                   .sends = &m_sends,
                   .pool = &m_pool,
                   .budget = &m_budget,
                   .log = &m_log,
                   .counters = &m_counters,
                   .latencies = &m_latencies,
                   .relay = nullptr},
                  5};
  int m_request_count = 0;
  TimePoint m_sent_at{};
  Duration m_elapsed{};
  std::optional<RoutedAnswer> m_answer;
};

// Guards against sends without a time limit: a delayed process may reach a
// request after its time has passed, and a replica would interpret a time of 0
// as no limit.
TEST_F(RoutedQueryTest, SendsNothingWithoutRemainingTime) {
  Send("/all/x", Duration::zero());
  m_scheduler.RunUntil([this] { return m_answer.has_value(); });
  EXPECT_TRUE(m_transport.Sends().empty());
  ASSERT_TRUE(m_answer->error);
  EXPECT_EQ(m_answer->error->ran, Ran::kNo);
}

TEST_F(RoutedQueryTest, MergesAllShardsByRank) {
  m_transport.SetBehaviour([](const ReplicaSend& send) {
    const char letter = send.replica_id[5];
    return ReplicaBehaviour{
        milliseconds(10),
        SignedAnswer(send.replica_id, Record(letter) + "rest"), false};
  });
  const RoutedAnswer& answer = Run("/all/x");
  EXPECT_FALSE(answer.error);
  EXPECT_EQ(answer.signatures.size(), kShards);
  EXPECT_EQ(answer.missing_shard_count, 0U);
  EXPECT_EQ(answer.body, Record('9') + Record('8') + Record('7'));
  EXPECT_EQ(m_elapsed, milliseconds(10));
  EXPECT_EQ(m_transport.Sends().size(), kShards);
}

TEST_F(RoutedQueryTest, HedgesAnUnansweredSubRequest) {
  m_transport.SetBehaviour([](const ReplicaSend& send) {
    const bool silent = send.replica_id.starts_with("shard3") &&
                        send.time_left > milliseconds(60);
    return ReplicaBehaviour{milliseconds(10), SignedAnswer(send.replica_id),
                            silent};
  });
  const RoutedAnswer& answer = Run("/all/x");
  EXPECT_EQ(answer.missing_shard_count, 0U);
  EXPECT_EQ(m_elapsed, milliseconds(55));
  EXPECT_EQ(m_counters.Get(RoutingCounter::kHedges), 1U);
  EXPECT_EQ(m_log.Count("part_repeated"), 1U);
  // The unanswered attempt is cancelled soon after.
  m_scheduler.RunFor(milliseconds(400));
  EXPECT_EQ(m_transport.OpenSends(), 0U);
}

// A route whose target latency is zero checked its hedges again and again in
// the same instant, so that the process did nothing else.
TEST_F(RoutedQueryTest, ATargetLatencyOfZeroDoesNotKeepTheProcessBusy) {
  auto config = std::make_shared<RoutingConfig>();
  config->version = 8;
  Route route;
  route.host = "h";
  route.path_prefix = "/single/";
  route.idempotent = true;
  route.timeout = milliseconds(1000);
  route.max_attempts = 2;
  route.services = {{"one", 1}};
  config->routes.push_back(route);
  m_router.SetConfig(config);
  m_transport.SetBehaviour([](const ReplicaSend& send) {
    return ReplicaBehaviour{milliseconds(300), SignedAnswer(send.replica_id),
                            false};
  });
  Send("/single/x");
  m_scheduler.RunFor(milliseconds(400));
  ASSERT_TRUE(m_answer.has_value());
  EXPECT_FALSE(m_answer->error);
}

TEST_F(RoutedQueryTest, CountsTheLatencyOfEachRequest) {
  Run("/all/x");
  Run("/single/x");
  std::map<std::string, std::uint64_t> buckets;
  m_latencies.Visit([&](const std::string& name, std::uint64_t count) {
    buckets[name] = count;
  });
  EXPECT_EQ(buckets["le_5_ms"], 0U);
  EXPECT_EQ(buckets["le_10_ms"], 2U);
  EXPECT_EQ(buckets["le_inf"], 2U);
}

TEST_F(RoutedQueryTest, SendsAPartialAnswerInTime) {
  m_transport.SetBehaviour([](const ReplicaSend& send) {
    return ReplicaBehaviour{milliseconds(10), SignedAnswer(send.replica_id),
                            send.replica_id.starts_with("shard3")};
  });
  const RoutedAnswer& answer = Run("/all/x");
  EXPECT_EQ(answer.missing_shard_count, 1U);
  EXPECT_EQ(answer.signatures.size(), kShards - 1);
  // The target latency is measured at the caller: 18 ms are left for its
  // connection, the transfer and the work here.
  EXPECT_EQ(m_elapsed, milliseconds(82));
}

TEST_F(RoutedQueryTest, WaitsUntilTheMinimumCoverageIsReached) {
  m_transport.SetBehaviour([](const ReplicaSend& send) {
    const bool slow = send.replica_id[5] < '3';
    return ReplicaBehaviour{slow ? milliseconds(300) : milliseconds(10),
                            SignedAnswer(send.replica_id), false};
  });
  const RoutedAnswer& answer = Run("/all/x");
  EXPECT_FALSE(answer.error);
  EXPECT_GE(answer.signatures.size(), 8U);
  EXPECT_EQ(m_elapsed, milliseconds(300));
}

TEST_F(RoutedQueryTest, RefusesImmediatelyIfTooFewShardsHaveAReplica) {
  std::vector<ListedReplica> replicas;
  for (std::size_t i = 3; i < kShards; ++i) {
    AddReplicas("shard" + std::to_string(i), &replicas);
  }
  m_pool.SetReplicas(replicas, m_scheduler.Now());
  const RoutedAnswer& answer = Run("/all/x");
  ASSERT_TRUE(answer.error);
  EXPECT_EQ(m_elapsed, Duration::zero());
  EXPECT_GT(answer.retry_after, Duration::zero());
}

TEST_F(RoutedQueryTest, AFailedAnswerIsNotMerged) {
  m_transport.SetBehaviour([](const ReplicaSend& send) {
    if (!send.replica_id.starts_with("shard3")) {
      return ReplicaBehaviour{milliseconds(10), SignedAnswer(send.replica_id),
                              false};
    }
    ReplicaAnswer failed = SignedAnswer(send.replica_id);
    failed.status = 500;
    return ReplicaBehaviour{milliseconds(10), failed, false};
  });
  const RoutedAnswer& answer = Run("/all/x");
  EXPECT_EQ(answer.missing_shard_count, 1U);
  EXPECT_EQ(m_counters.Get(RoutingCounter::kRetriesFailed), 1U);
  EXPECT_EQ(m_elapsed, milliseconds(20));
}

// Guards against extra runs: a sub-request runs on at most as many replicas as
// the route allows, however they fail.
TEST_F(RoutedQueryTest, RunsASubRequestOnAtMostTheAllowedReplicas) {
  m_transport.SetBehaviour([](const ReplicaSend&) {
    return ReplicaBehaviour{milliseconds(1), FailedAnswer(SendEnd::kBroken),
                            false};
  });
  const RoutedAnswer& answer = Run("/all/x");
  ASSERT_TRUE(answer.error);
  EXPECT_EQ(answer.error->ran, Ran::kMaybe);
  EXPECT_LE(m_transport.Sends().size(), 2 * kShards);
}

TEST_F(RoutedQueryTest, ReportsNotRunOnlyIfNothingRan) {
  m_transport.SetBehaviour([](const ReplicaSend&) {
    return ReplicaBehaviour{milliseconds(1), FailedAnswer(SendEnd::kNotRun),
                            false};
  });
  const RoutedAnswer refused = Run("/single/x");
  ASSERT_TRUE(refused.error);
  EXPECT_EQ(refused.error->ran, Ran::kNo);
  int sends = 0;
  m_transport.SetBehaviour([&sends](const ReplicaSend&) {
    const SendEnd end = ++sends == 1 ? SendEnd::kBroken : SendEnd::kNotRun;
    return ReplicaBehaviour{milliseconds(1), FailedAnswer(end), false};
  });
  const RoutedAnswer& failed = Run("/single/x");
  ASSERT_TRUE(failed.error);
  EXPECT_EQ(failed.error->ran, Ran::kMaybe);
}

TEST_F(RoutedQueryTest, DoesNotRetryANonIdempotentRequestThatMayHaveRun) {
  for (const SendEnd end :
       {SendEnd::kBroken, SendEnd::kTimedOut, SendEnd::kAnswered}) {
    const std::size_t before = m_transport.Sends().size();
    m_transport.SetBehaviour([end](const ReplicaSend&) {
      return ReplicaBehaviour{milliseconds(1), FailedAnswer(end, 500), false};
    });
    Run("/once/x");
    EXPECT_EQ(m_transport.Sends().size(), before + 1);
  }
  m_transport.SetBehaviour([](const ReplicaSend&) {
    return ReplicaBehaviour{milliseconds(1), {}, true};
  });
  const std::size_t before = m_transport.Sends().size();
  EXPECT_EQ(Run("/once/x").error->ran, Ran::kMaybe);
  EXPECT_EQ(m_transport.Sends().size(), before + 1);
}

TEST_F(RoutedQueryTest, RetriesARequestThatDidNotRun) {
  int sends = 0;
  m_transport.SetBehaviour([&sends](const ReplicaSend& send) {
    const bool refuse = ++sends == 1;
    return ReplicaBehaviour{milliseconds(1),
                            refuse ? FailedAnswer(SendEnd::kNotRun)
                                   : SignedAnswer(send.replica_id, "body"),
                            false};
  });
  EXPECT_EQ(Run("/once/x").body, "body");
  EXPECT_EQ(sends, 2);
}

TEST_F(RoutedQueryTest, ForwardsTheFailureOfASingleReplica) {
  m_transport.SetBehaviour([](const ReplicaSend& send) {
    ReplicaAnswer failed = SignedAnswer(send.replica_id, "why");
    failed.status = 418;
    return ReplicaBehaviour{milliseconds(1), failed, false};
  });
  const RoutedAnswer& answer = Run("/once/x");
  EXPECT_FALSE(answer.error);
  EXPECT_EQ(answer.status, 418);
  EXPECT_EQ(answer.body, "why");
}

// Guards against a request that waits forever: its replica crashes after
// accepting it, and the first hedge finds no budget.
// review/10: a success without its signature was passed on to a caller.
TEST_F(RoutedQueryTest, AnAnswerThatIsNotDeliverableReachesNoCaller) {
  m_transport.SetBehaviour([](const ReplicaSend&) {
    ReplicaAnswer answer;
    answer.end = SendEnd::kAnswered;
    answer.status = 200;
    answer.is_deliverable = false;
    return ReplicaBehaviour{milliseconds(10), answer, false};
  });
  for (const char* path : {"/once/x", "/single/x"}) {
    const RoutedAnswer& answer = Run(path);
    ASSERT_TRUE(answer.error) << path;
    EXPECT_EQ(answer.error->ran, Ran::kMaybe) << path;
  }
}

TEST_F(RoutedQueryTest, RetriesAnUnansweredRequestOnceThereIsBudget) {
  m_transport.SetBehaviour([this](const ReplicaSend& send) {
    return ReplicaBehaviour{milliseconds(10), SignedAnswer(send.replica_id),
                            m_transport.Sends().size() == 1};
  });
  Send("/single/x");
  TimePoint now = m_scheduler.Now();
  while (m_budget.TryAcquire("one", RetryBudget::Purpose::kRetry, now)) {
  }
  m_scheduler.RunFor(milliseconds(200));
  EXPECT_FALSE(m_answer);
  for (int i = 0; i < 20; ++i) m_budget.RecordRequest("one", m_scheduler.Now());
  m_scheduler.RunFor(milliseconds(100));
  ASSERT_TRUE(m_answer);
  EXPECT_FALSE(m_answer->error);
}

TEST_F(RoutedQueryTest, EndsAtTheTimeLimitAndCancelsTheWork) {
  m_transport.SetBehaviour([](const ReplicaSend&) {
    return ReplicaBehaviour{{}, {}, true};
  });
  Send("/all/x", milliseconds(250));
  m_scheduler.RunUntil([this] { return m_answer.has_value(); });
  EXPECT_EQ(m_elapsed, milliseconds(250));
  EXPECT_EQ(m_answer->error->kind, ErrorKind::kDeadlineExceeded);
  EXPECT_EQ(m_transport.OpenSends(), 0U);
}

TEST_F(RoutedQueryTest, CancelsTheWorkWhenTheCallerDisconnects) {
  m_transport.SetBehaviour([](const ReplicaSend&) {
    return ReplicaBehaviour{{}, {}, true};
  });
  const std::uint64_t query = Send("/all/x");
  m_scheduler.RunFor(milliseconds(5));
  m_router.CancelOnDisconnect(query);
  EXPECT_EQ(m_transport.OpenSends(), 0U);
  EXPECT_EQ(m_transport.CancelCount(), kShards);
  const std::size_t sends = m_transport.Sends().size();
  m_scheduler.RunFor(seconds(2));
  EXPECT_FALSE(m_answer);
  EXPECT_EQ(m_transport.Sends().size(), sends);
  EXPECT_EQ(m_log.Lines().back().fields.at("outcome"), "caller_gone");
}

TEST_F(RoutedQueryTest, ReplicasGetNoMoreTimeThanTheCallerHas) {
  Send("/single/x", milliseconds(40));
  EXPECT_LE(m_transport.Sends().back().time_left, milliseconds(40));
  Send("/single/x", seconds(100));
  EXPECT_LE(m_transport.Sends().back().time_left, milliseconds(1000));
}

TEST_F(RoutedQueryTest, RefusesAndLogsUnknownRoutes) {
  const RoutedAnswer& answer = Run("/none/x");
  EXPECT_EQ(answer.error->kind, ErrorKind::kUnknownEndpoint);
  EXPECT_EQ(m_log.Count("request_refused"), 1U);
}

TEST_F(RoutedQueryTest, KeepsTheShardsOfItsConfiguration) {
  Send("/all/x");
  auto next = std::make_shared<RoutingConfig>();
  next->version = 8;
  EXPECT_TRUE(m_router.SetConfig(next));
  auto older = std::make_shared<RoutingConfig>();
  older->version = 7;
  EXPECT_FALSE(m_router.SetConfig(older));
  m_scheduler.RunUntil([this] { return m_answer.has_value(); });
  EXPECT_EQ(m_answer->signatures.size(), kShards);
  EXPECT_EQ(m_log.Lines().back().fields.at("config_version"), "7");
}

}  // namespace
}  // namespace chicoryvale
