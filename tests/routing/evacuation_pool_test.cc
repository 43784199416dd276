// Replicas of evacuated availability zones, and cold replicas, in the choice of
// replicas.

#include <gtest/gtest.h>

#include <memory>
#include <string>
#include <vector>

#include "routing/replica_pool.h"

namespace chicoryvale {
namespace {

constexpr TimePoint kStart{seconds(1000)};

ListedReplica Listed(const std::string& id, const std::string& zone) {
  ListedReplica replica;
  replica.id = id;
  replica.service = "s";
  replica.address = {"10.0.0.1:" + id};
  replica.availability_zone = zone;
  replica.slots = 2;
  return replica;
}

class EvacuationPoolTest : public testing::Test {
 protected:
  EvacuationPoolTest() {
    m_pool.SetReplicas({Listed("own", "a"), Listed("other", "b")}, kStart);
  }

  std::string Chosen(TimePoint now) {
    const auto choice = m_pool.Choose("s", {}, now);
    return choice ? choice->id : "";
  }

  ReplicaPool m_pool{"a", 7};
};

TEST_F(EvacuationPoolTest, ReplicasOfAnEvacuatedZoneGetNoSends) {
  EXPECT_EQ(Chosen(kStart), "own");
  m_pool.SetEvacuatedZones({"a"}, kStart);
  EXPECT_EQ(Chosen(kStart), "other");
  EXPECT_EQ(m_pool.CountUsable("s", kStart), 1U);
  m_pool.SetEvacuatedZones({"a", "b"}, kStart);
  EXPECT_EQ(Chosen(kStart), "");
  EXPECT_FALSE(m_pool.UsableAt("s", kStart));
  EXPECT_TRUE(m_pool.RemoteZones("s", kStart).empty());
  m_pool.SetEvacuatedZones({}, kStart);
  EXPECT_EQ(Chosen(kStart), "own");
}

TEST_F(EvacuationPoolTest, ReplicasThatAreListedLaterAreEvacuatedToo) {
  m_pool.SetEvacuatedZones({"a"}, kStart);
  m_pool.SetReplicas({Listed("own", "a"), Listed("new", "a")}, kStart);
  EXPECT_EQ(Chosen(kStart), "");
}

// The zone was idle, and the platform's list doesn't say that it is cold.
TEST_F(EvacuationPoolTest, AReturnedZoneIsColdForItsWarmupTime) {
  m_pool.SetWarmups({{"s", {seconds(3), 0}}}, kStart);
  m_pool.SetEvacuatedZones({"a"}, kStart);
  m_pool.SetEvacuatedZones({}, kStart);
  const Duration cold = m_pool.Choose("s", {"other"}, kStart)->cost;
  // A later list doesn't end the warmup.
  m_pool.SetReplicas({Listed("own", "a"), Listed("other", "b")}, kStart);
  EXPECT_GT(m_pool.Choose("s", {"other"}, kStart)->cost, cold / 2);
  const Duration warm =
      m_pool.Choose("s", {"other"}, kStart + seconds(4))->cost;
  EXPECT_LT(warm, cold / 2);
}

// All entries together sent a cold replica many times what it bears.
TEST(WarmupTest, ColdReplicasGetNoMoreThanTheirLimitFromAllEntries) {
  constexpr int kEntries = 10;
  constexpr double kMaxPerSecond = 20;
  std::vector<LimitSharer> entries;
  entries.reserve(kEntries);
  for (int i = 0; i < kEntries; ++i) {
    entries.push_back({{"10.0.0." + std::to_string(i) + ":1"}, "a"});
  }
  ListedReplica cold = Listed("cold", "a");
  cold.warmup_left = seconds(4);
  std::vector<std::unique_ptr<ReplicaPool>> pools;
  pools.reserve(kEntries);
  for (int i = 0; i < kEntries; ++i) {
    pools.push_back(std::make_unique<ReplicaPool>("a", i));
    RateSharers sharers{entries[static_cast<std::size_t>(i)], entries};
    sharers.others.erase(sharers.others.begin() + i);
    pools.back()->SetWarmups({{"s", {seconds(4), kMaxPerSecond}}}, kStart);
    pools.back()->SetReplicas({cold}, kStart);
    pools.back()->SetRateSharers(sharers, kStart);
  }
  int sent = 0;
  constexpr Duration kStep = milliseconds(10);
  for (Duration time{}; time < seconds(3); time += kStep) {
    for (const auto& pool : pools) {
      if (!pool->Choose("s", {}, kStart + time)) continue;
      pool->BeginSend("cold", kStart + time);
      ++sent;
    }
  }
  EXPECT_LE(sent, 3 * kMaxPerSecond + kEntries);
  EXPECT_GE(sent, 2 * kMaxPerSecond);
  // Warm replicas have no limit.
  const TimePoint warm = kStart + seconds(5);
  for (int i = 0; i < 100; ++i) {
    ASSERT_TRUE(pools[0]->Choose("s", {}, warm));
    pools[0]->BeginSend("cold", warm);
  }
}

}  // namespace
}  // namespace chicoryvale
