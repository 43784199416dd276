#include "config/config_distributor.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <cstdint>
#include <map>
#include <random>
#include <string>
#include <tuple>
#include <vector>

#include "config/rollout_tracker.h"
#include "fakes/fake_cluster.h"

namespace chicoryvale {
namespace {

constexpr std::size_t kEntries = 16;
constexpr Duration kRolloutTarget = seconds(2);

/// Adds a small service to `config`.
void AddService(ClusterConfig* config) {
  ServiceConfig service;
  service.name = "macchie.EyepieceDesk";
  service.shards.resize(20);
  for (ShardConfig& shard : service.shards) {
    shard.replicas = {{{"10.1.0.1:9000"}, "a", false},
                      {{"10.1.0.2:9000"}, "b", false}};
  }
  config->services = {service};
}

/// The change that the tests make repeatedly.
void RaiseLimits(ClusterConfig* config) {
  ++config->services[0].limits.connections;
}

/// Parameters: the number of availability zones and the random seed. A tenth of
/// the datagrams is lost.
class ConfigDistributorTest
    : public testing::TestWithParam<std::tuple<std::size_t, std::uint64_t>> {
 protected:
  ConfigDistributorTest()
      : m_trace(__FILE__, __LINE__,
                "zones " + std::to_string(std::get<0>(GetParam())) + " seed " +
                    std::to_string(std::get<1>(GetParam()))),
        m_cluster(kEntries, std::get<0>(GetParam()), std::get<1>(GetParam())) {
    m_cluster.group.network().datagram_loss_ratio = 0.1;
    m_cluster.observer = [this](std::size_t node, std::uint64_t version) {
      EXPECT_GE(version, m_highest[node]) << "at node " << node;
      m_highest[node] = version;
    };
  }

  void RunFor(Duration duration) {
    m_cluster.group.scheduler().RunFor(duration);
  }

  /// Runs until the newest version is in force at all nodes except `except`, or
  /// `limit` has passed. Returns the elapsed time.
  Duration AwaitRollout(Duration limit,
                        const std::vector<std::size_t>& except = {}) {
    return m_cluster.group.RunUntil(limit, [&] {
      return m_cluster.AllHaveVersion(m_cluster.newest().version, except);
    });
  }

  void StartWithService() {
    m_cluster.Change(AddService);
    ASSERT_LT(AwaitRollout(seconds(10)), seconds(10));
    RunFor(seconds(10));
  }

  std::vector<std::size_t> ZoneB() {
    std::vector<std::size_t> nodes;
    for (std::size_t i = 0; i < m_cluster.group.size(); ++i) {
      if (m_cluster.group.node(i).info.availability_zone == "b") {
        nodes.push_back(i);
      }
    }
    return nodes;
  }

  testing::ScopedTrace m_trace;
  FakeCluster m_cluster;
  std::map<std::size_t, std::uint64_t> m_highest;
};

TEST_P(ConfigDistributorTest, EachChangeIsInForceWithinTwoSeconds) {
  StartWithService();
  for (int change = 0; change < 40; ++change) {
    m_cluster.Change(RaiseLimits);
    EXPECT_LT(AwaitRollout(kRolloutTarget), kRolloutTarget) << change;
  }
  // Changes that are made faster than they spread all arrive, too.
  for (int change = 0; change < 100; ++change) {
    m_cluster.Change(RaiseLimits);
    RunFor(milliseconds(5));
  }
  EXPECT_LT(AwaitRollout(kRolloutTarget), kRolloutTarget);
}

TEST_P(ConfigDistributorTest, ARestartedEntryNeverServesAnOlderVersion) {
  StartWithService();
  std::mt19937_64 random(std::get<1>(GetParam()));
  for (int step = 0; step < 30; ++step) {
    const std::size_t node = FakeCluster::kControlCount + random() % kEntries;
    const std::uint64_t before = m_cluster.Version(node);
    m_cluster.Change(RaiseLimits);
    RunFor(milliseconds(static_cast<int>(random() % 100)));
    m_cluster.Crash(node);
    m_cluster.Restart(node);
    EXPECT_EQ(m_cluster.Version(node), 0U);
    std::uint64_t min_version = before;
    for (std::size_t i = 0; i < m_cluster.group.size(); ++i) {
      min_version = std::max(min_version, m_cluster.Version(i));
    }
    m_cluster.group.RunUntil(seconds(10),
                             [&] { return m_cluster.Version(node) > 0; });
    EXPECT_GE(m_cluster.Version(node), min_version) << step;
    EXPECT_EQ(m_cluster.distributor(node).status(), ConfigStatus::kConfirmed);
  }
}

// After a power loss of the whole system, the control VMs are available a
// little later than the entries, whose first requests are then not answered.
// Callers wait for every further moment.
TEST_P(ConfigDistributorTest, AllEntriesServeSoonAfterTheControlVms) {
  constexpr Duration kControlDelay = milliseconds(400);
  constexpr Duration kServeLimit = milliseconds(900);
  StartWithService();
  for (std::size_t i = 0; i < m_cluster.group.size(); ++i) m_cluster.Crash(i);
  RunFor(seconds(1));
  m_highest.clear();
  for (std::size_t i = FakeCluster::kControlCount; i < m_cluster.group.size();
       ++i) {
    m_cluster.Restart(i);
  }
  RunFor(kControlDelay);
  for (std::size_t i = 0; i < FakeCluster::kControlCount; ++i) {
    m_cluster.Restart(i);
  }
  EXPECT_LT(AwaitRollout(kServeLimit), kServeLimit);
}

TEST_P(ConfigDistributorTest, AZoneThatIsCutOffKeepsServingAndCatchesUp) {
  StartWithService();
  const std::vector<std::size_t> zone = ZoneB();
  const std::uint64_t before = m_cluster.newest().version;
  m_cluster.group.SetZoneCut("b", true);
  // Control VM 1 is in zone b.
  m_cluster.Change(RaiseLimits, 1);
  EXPECT_LT(AwaitRollout(kRolloutTarget, zone), kRolloutTarget);
  RunFor(seconds(60));
  for (const std::size_t node : zone) {
    EXPECT_EQ(m_cluster.Version(node), before) << node;
  }
  const std::size_t restarted = zone.back();
  m_cluster.Crash(restarted);
  m_cluster.Restart(restarted);
  RunFor(seconds(10));
  EXPECT_EQ(m_cluster.distributor(restarted).status(),
            ConfigStatus::kUnconfirmed);
  EXPECT_EQ(m_cluster.Version(restarted), before);
  m_cluster.group.SetZoneCut("b", false);
  m_cluster.Offer(1);
  EXPECT_LT(AwaitRollout(seconds(10)), seconds(10));
  RunFor(seconds(5));
  EXPECT_EQ(m_cluster.distributor(restarted).status(),
            ConfigStatus::kConfirmed);
}

TEST_P(ConfigDistributorTest, AnEntryWithoutPeersHasNoConfiguration) {
  StartWithService();
  const std::size_t node = FakeCluster::kControlCount;
  m_cluster.Crash(node);
  for (std::size_t i = 0; i < m_cluster.group.size(); ++i) {
    if (i == node) continue;
    m_cluster.group.SetCut(i, node, true);
    m_cluster.group.SetCut(node, i, true);
  }
  m_cluster.Restart(node);
  RunFor(seconds(60));
  EXPECT_EQ(m_cluster.distributor(node).status(), ConfigStatus::kNone);
  EXPECT_EQ(m_cluster.distributor(node).config(), nullptr);
}

TEST_P(ConfigDistributorTest,
       AnEntryWaitsForTheVersionThatAControlQuorumKnows) {
  StartWithService();
  const std::uint64_t next = m_cluster.newest().version + 1;
  // All control VMs have the next change in their logs, but none of them knows
  // that it is committed.
  for (std::size_t i = 0; i < FakeCluster::kControlCount; ++i) {
    m_cluster.distributor(i).SetKnownVersionCallback([next] { return next; });
  }
  const std::size_t node = FakeCluster::kControlCount + 3;
  m_cluster.Crash(node);
  m_cluster.Restart(node);
  RunFor(seconds(10));
  EXPECT_EQ(m_cluster.distributor(node).status(), ConfigStatus::kNone);
  m_cluster.Change(RaiseLimits);
  RunFor(seconds(3));
  EXPECT_EQ(m_cluster.Version(node), next);
  EXPECT_EQ(m_cluster.distributor(node).status(), ConfigStatus::kConfirmed);
}

TEST_P(ConfigDistributorTest, RolloutTrackerReportsWhichMembersHaveTheVersion) {
  StartWithService();
  GroupNode& control = m_cluster.group.node(0);
  RolloutTracker tracker({.scheduler = control.scheduler.get(),
                          .members = control.membership.get(),
                          .gossip = control.membership.get(),
                          .transport = control.calls.get()});
  m_cluster.Crash(7);
  m_cluster.Change(RaiseLimits);
  RunFor(seconds(3));
  bool done = false;
  tracker.Refresh([&done] { done = true; });
  RunFor(seconds(3));
  EXPECT_TRUE(done);
  const std::vector<NodeConfigStatus> nodes = tracker.Nodes();
  EXPECT_EQ(nodes.size(), m_cluster.group.size());
  for (const NodeConfigStatus& node : nodes) {
    if (node.address == control.info.address) continue;
    const bool crashed = node.address == m_cluster.group.node(7).info.address;
    if (crashed) {
      EXPECT_TRUE(!node.reachable || node.version < m_cluster.newest().version);
    } else {
      EXPECT_TRUE(node.reachable) << node.address.host_port;
      EXPECT_EQ(node.version, m_cluster.newest().version);
    }
  }
}

INSTANTIATE_TEST_SUITE_P(ZonesAndSeeds, ConfigDistributorTest,
                         testing::Combine(testing::Values<std::size_t>(3, 4),
                                          testing::Range<std::uint64_t>(1, 6)));

/// One entry, and a peer whose answers to pulls are set by the test.
class ConfigPullTest : public testing::Test {
 protected:
  ConfigPullTest() : m_cluster(1, 1, 5) {
    m_cluster.Change(AddService);
    m_cluster.group.scheduler().RunFor(seconds(10));
    EXPECT_TRUE(m_cluster.AllHaveVersion(1));
    // Only control VM 0, whose answers the test sets, announces version 2.
    m_cluster.group.node(0).membership->SetOwnDigest({2, 77});
  }

  ConfigDistributor& Entry() {
    return m_cluster.distributor(FakeCluster::kControlCount);
  }

  void AnswerPullsWith(const std::string& bytes) {
    m_cluster.group.node(0).calls->SetHandler(
        PeerChannel::kConfig,
        [bytes](const Address&, const std::string&,
                const PeerTransport::Responder& respond) { respond(bytes); });
    m_cluster.group.scheduler().RunFor(seconds(5));
  }

  FakeCluster m_cluster;
};

TEST_F(ConfigPullTest, RefusesInvalidAnswers) {
  ClusterConfig next = m_cluster.newest();
  next.version = 2;
  const ConfigDelta good = *MakeDelta(m_cluster.newest(), next);
  ConfigDelta damaged = good;
  damaged.bytes += "x";
  ConfigDelta wrong_hash = good;
  ++wrong_hash.header.to_hash;
  ConfigDelta wrong_base = good;
  wrong_base.header.from_version = 9;
  const auto delta_answer = [](const ConfigDelta& delta) {
    return Encode(DistributionAnswer{
        DistributionAnswerKind::kDeltas, {2, 77}, 2, {delta}, "", {}});
  };
  const auto full_answer = [](const ClusterConfig& config, std::uint64_t hash) {
    return Encode(DistributionAnswer{DistributionAnswerKind::kFull,
                                     {config.version, hash},
                                     2,
                                     {},
                                     EncodeConfig(config),
                                     {}});
  };
  ClusterConfig older = m_cluster.newest();
  older.version = 0;
  struct Case {
    const char* name;
    std::string bytes;
    DistributionCounter counter;
  };
  const std::vector<Case> cases = {
      {"no message", "garbage", DistributionCounter::kPullsFailed},
      {"empty", "", DistributionCounter::kPullsFailed},
      {"damaged step", delta_answer(damaged),
       DistributionCounter::kRefusedDamaged},
      {"wrong hash", delta_answer(wrong_hash),
       DistributionCounter::kRefusedDamaged},
      {"wrong base", delta_answer(wrong_base),
       DistributionCounter::kRefusedDamaged},
      {"whole with wrong hash", full_answer(next, 1),
       DistributionCounter::kRefusedDamaged},
      {"older whole", full_answer(older, HashConfig(older)),
       DistributionCounter::kRefusedOlder},
      {"busy",
       Encode(DistributionAnswer{
           DistributionAnswerKind::kBusy, {2, 77}, 2, {}, "", {}}),
       DistributionCounter::kPullsBusy},
  };
  for (const Case& test : cases) {
    const std::uint64_t before = Entry().counters().Get(test.counter);
    AnswerPullsWith(test.bytes);
    EXPECT_GT(Entry().counters().Get(test.counter), before) << test.name;
    EXPECT_EQ(Entry().digest().version, 1U) << test.name;
    EXPECT_LT(Entry().counters().Get(DistributionCounter::kPulls), 1000U);
  }
  AnswerPullsWith(full_answer(next, HashConfig(next)));
  EXPECT_EQ(Entry().digest().version, 2U);
}

/// Time from the acceptance of a change within which it is in force at an entry
/// although sources fall silent.
constexpr Duration kSilentSourceTarget = milliseconds(1500);

// An entry waited 2 s for each source that had lost its power.
TEST(SilentSourceTest, AnEntryAsksAnotherSourceBeforeTheCallTimesOut) {
  for (std::uint64_t seed = 1; seed <= 30; ++seed) {
    FakeCluster cluster(1, 1, seed);
    cluster.Change(AddService);
    cluster.group.scheduler().RunFor(seconds(10));
    ASSERT_TRUE(cluster.AllHaveVersion(1));
    constexpr std::size_t kSilentCount = 2;
    for (std::size_t i = 0; i < kSilentCount; ++i) {
      cluster.group.node(i).calls->SetHandler(
          PeerChannel::kConfig, [](const Address&, const std::string&,
                                   const PeerTransport::Responder&) {});
    }
    cluster.Change(RaiseLimits);
    const Duration elapsed = cluster.group.RunUntil(seconds(10), [&] {
      return cluster.Version(FakeCluster::kControlCount) == 2;
    });
    EXPECT_LT(elapsed, kSilentSourceTarget) << "seed " << seed;
  }
}

TEST_F(ConfigPullTest, ServesWithinItsBudget) {
  GroupNode& asker = m_cluster.group.node(1);
  std::map<DistributionAnswerKind, int> replies;
  ClusterConfig large = m_cluster.newest();
  large.schema_text = std::string(std::size_t{1024} * 1024, 's');
  large.version = 3;
  m_cluster.distributor(2).Offer(large);
  for (int i = 0; i < 20; ++i) {
    asker.calls->Call(
        m_cluster.group.node(2).info.address, PeerChannel::kConfig,
        Encode(DistributionRequest{DistributionRequestKind::kPull, {}}),
        seconds(1), [&](const Result<std::string>& bytes) {
          DistributionAnswer answer;
          ASSERT_TRUE(bytes && Decode(*bytes, &answer));
          ++replies[answer.kind];
        });
  }
  m_cluster.group.scheduler().RunFor(seconds(1));
  EXPECT_EQ(replies[DistributionAnswerKind::kFull], 8);
  EXPECT_EQ(replies[DistributionAnswerKind::kBusy], 12);
}

}  // namespace
}  // namespace chicoryvale
