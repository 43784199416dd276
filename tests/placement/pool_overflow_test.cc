#include <gtest/gtest.h>

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
  replica.address = {id};
  replica.availability_zone = zone;
  replica.slots = 2;
  return replica;
}

class PoolOverflowTest : public testing::Test {
 protected:
  PoolOverflowTest() {
    m_pool.SetZoneOverflow(
        {.enabled = true, .cross_zone_price = milliseconds(5)});
    m_pool.SetReplicas({Listed("1", "a"), Listed("2", "b"), Listed("3", "c")},
                       kStart);
  }

  void Report(const std::string& id, std::uint32_t running,
              std::uint32_t waiting, Duration latency, TimePoint now) {
    ReplicaAnswer answer;
    answer.end = SendEnd::kAnswered;
    answer.status = 200;
    answer.signature = "mac";
    answer.load = ReplicaLoad{running, waiting, 2};
    m_pool.EndSend(id, m_pool.BeginSend(id, now - latency), answer, now);
  }

  // Lets the pool see for `time` that the own zone is overloaded, zone "b" is
  // idle and zone "c" is full.
  TimePoint Overload(Duration time) {
    TimePoint now = kStart;
    for (; now < kStart + time; now += milliseconds(50)) {
      Report("1", 2, 20, milliseconds(200), now);
      Report("2", 0, 0, milliseconds(20), now);
      Report("3", 2, 20, milliseconds(200), now);
      m_pool.Choose("s", {}, now);
    }
    return now;
  }

  ReplicaPool m_pool{"a", 7};
};

// The random source of a process without the setting must not change.
TEST_F(PoolOverflowTest, DrawsNothingIfNotEnabled) {
  ReplicaPool off("a", 7);
  EXPECT_EQ(off.DrawPlacement(), ReplicaPool::kOwnZoneDraw);
  EXPECT_LT(m_pool.DrawPlacement(), 1);
}

// With all zones named, a plan of relays could choose a full one.
TEST_F(PoolOverflowTest, NamesOnlyTheZoneOfTheDecision) {
  const TimePoint now = Overload(seconds(2));
  EXPECT_EQ(m_pool.RemoteZones("s", now, 0), std::vector<std::string>{"b"});
  EXPECT_GT(m_pool.Counters().Get(ReplicaPoolCounter::kOverflowsBusy) +
                m_pool.Counters().Get(ReplicaPoolCounter::kOverflowsSlow),
            0U);
}

// A relay sends with the number that stays: it must not send on to a third
// zone.
TEST_F(PoolOverflowTest, ARequestThatStaysWaitsInItsZone) {
  const TimePoint now = Overload(seconds(2));
  EXPECT_TRUE(m_pool.RemoteZones("s", now).empty());
  EXPECT_EQ(m_pool.Choose("s", {}, now)->id, "1");
}

// The rules take precedence over the share.
TEST_F(PoolOverflowTest, AnEvacuatedZoneGetsNothingWhateverItsShare) {
  const TimePoint now = Overload(seconds(2));
  m_pool.SetEvacuatedZones({"b"}, now);
  for (const double draw : {0.0, 0.5, 1.0}) {
    EXPECT_NE(m_pool.Choose("s", {}, now, draw)->availability_zone, "b");
  }
}

TEST_F(PoolOverflowTest, ShowsTheShareOfEachZone) {
  Overload(seconds(2));
  std::vector<std::string> zones;
  m_pool.VisitZoneShares([&zones](const std::string& zone, double share) {
    zones.push_back(zone);
    EXPECT_GE(share, 0);
    EXPECT_LE(share, 1);
  });
  EXPECT_EQ(zones, (std::vector<std::string>{"b", "c"}));
}

}  // namespace
}  // namespace chicoryvale
