#include "placement/zone_overflow.h"

#include <gtest/gtest.h>

#include <string>
#include <vector>

namespace chicoryvale {
namespace {

ZoneLoad Load(const std::string& zone, double busy, double latency_us = 20'000,
              double known_slots = 8) {
  ZoneLoad load;
  load.zone = zone;
  load.usable_slots = 8;
  load.known_slots = known_slots;
  load.known_busy = busy;
  load.known_used = std::min(busy, load.known_slots);
  load.latency_us = latency_us;
  return load;
}

class ZoneOverflowTest : public testing::Test {
 protected:
  void DecideTimes(int count, const ZoneLoad& own,
                   const std::vector<ZoneLoad>& others) {
    for (int i = 0; i < count; ++i) m_overflow.Decide(own, others);
  }
  double Share(std::size_t i = 0) const {
    return m_overflow.Shares().at(i).share;
  }
  ZoneOverflow m_overflow{
      {.enabled = true, .cross_zone_price = milliseconds(5)}};
};

TEST_F(ZoneOverflowTest, NothingIsDecidedBeforeTheOwnLoadIsKnown) {
  EXPECT_EQ(m_overflow.Place(0), ZoneOverflow::Placement::kUndecided);
  DecideTimes(4, Load("", 0, 20'000, 3), {Load("b", 0)});
  EXPECT_EQ(m_overflow.Place(0), ZoneOverflow::Placement::kUndecided);
  DecideTimes(1, Load("", 1), {Load("b", 0)});
  EXPECT_EQ(m_overflow.Place(0), ZoneOverflow::Placement::kOwnZone);
}

// A share that jumps lets all entries switch at once.
TEST_F(ZoneOverflowTest, AShareChangesByAtMostAQuarter) {
  double previous = 0;
  for (int i = 0; i < 40; ++i) {
    const bool is_overloaded = i / 10 % 2 == 0;
    DecideTimes(1, Load("", is_overloaded ? 200 : 0), {Load("b", 0)});
    EXPECT_LE(Share(), previous + 0.25 + 1e-9);
    EXPECT_GE(Share(), previous - 0.25 - 1e-9);
    previous = Share();
  }
}

TEST_F(ZoneOverflowTest, TheNumberOfARequestDecidesWhetherItLeaves) {
  DecideTimes(4, Load("", 20), {Load("b", 0)});
  ASSERT_GT(Share(), 0.1);
  ASSERT_LT(Share(), 0.95);
  EXPECT_EQ(*m_overflow.ZoneOf(Share() - 0.01), "b");
  EXPECT_EQ(m_overflow.ZoneOf(Share() + 0.01), nullptr);
  EXPECT_EQ(m_overflow.ZoneOf(1), nullptr);
  EXPECT_EQ(m_overflow.Reason(), OverflowReason::kBusy);
}

TEST_F(ZoneOverflowTest, AFullZoneGetsNothing) {
  DecideTimes(20, Load("", 40), {Load("b", 8)});
  EXPECT_EQ(Share(), 0);
  EXPECT_FALSE(m_overflow.HasRoom("b"));
}

TEST_F(ZoneOverflowTest, AZoneOfUnknownLoadGetsAtMostATenth) {
  DecideTimes(40, Load("", 40), {Load("b", 0, 20'000, 0)});
  EXPECT_GT(Share(), 0.05);
  EXPECT_LE(Share(), 0.1);
}

TEST_F(ZoneOverflowTest, RequestsLeaveSlowReplicasIfTheWayIsWorthIt) {
  DecideTimes(10, Load("", 1, 24'000), {Load("b", 0)});
  EXPECT_EQ(Share(), 0);
  DecideTimes(10, Load("", 1, 100'000), {Load("b", 0)});
  EXPECT_GT(Share(), 0.3);
  EXPECT_EQ(m_overflow.Reason(), OverflowReason::kSlow);
}

TEST_F(ZoneOverflowTest, AllRequestsLeaveAtOnceWithoutAnOwnReplica) {
  DecideTimes(1, ZoneLoad{}, {Load("b", 8), Load("c", 0)});
  EXPECT_DOUBLE_EQ(Share(0) + Share(1), 1);
  EXPECT_EQ(m_overflow.Reason(), OverflowReason::kNoReplica);
}

// An evacuated zone kept its share, so that requests were placed in a zone
// without a replica.
TEST_F(ZoneOverflowTest, AZoneWithoutAReplicaLosesItsShareAtOnce) {
  DecideTimes(4, Load("", 20), {Load("b", 0)});
  ASSERT_GT(Share(), 0);
  ZoneLoad evacuated;
  evacuated.zone = "b";
  DecideTimes(1, Load("", 20), {evacuated});
  EXPECT_EQ(Share(), 0);
}

TEST_F(ZoneOverflowTest, TheRoundTripIsTheDifferenceOfTheLowestLatencies) {
  EXPECT_GT(m_overflow.RoundTripUs("b"), 0);
  for (const double latency_us : {9'000, 5'000, 30'000}) {
    m_overflow.RecordLatency("", latency_us);
    m_overflow.RecordLatency("b", latency_us + 3'000);
  }
  EXPECT_NEAR(m_overflow.RoundTripUs("b"), 3'000, 100);
  EXPECT_NEAR(m_overflow.ExtraCostUs("b"), 8'000, 100);
}

}  // namespace
}  // namespace chicoryvale
