#include "routing/reported_load.h"

#include <gtest/gtest.h>

namespace chicoryvale {
namespace {

constexpr TimePoint kNow{seconds(100)};

ReplicaLoad Report(std::uint32_t running, std::uint32_t waiting) {
  ReplicaLoad report;
  report.running = running;
  report.waiting = waiting;
  report.slots = 2;
  return report;
}

TEST(ReportedLoadTest, CountsTheRequestsOfOthersAndForgetsThem) {
  ReportedLoad load;
  EXPECT_EQ(load.QueueOfOthers(kNow), 0);
  load.Record(Report(2, 3), 1, kNow);
  EXPECT_EQ(load.QueueOfOthers(kNow), 4);
  EXPECT_DOUBLE_EQ(load.QueueOfOthers(kNow + milliseconds(100)), 2);
  load.Record(Report(1, 0), 3, kNow);
  EXPECT_EQ(load.QueueOfOthers(kNow), 0);
}

TEST(ReportedLoadTest, ASlownessReturnsToWhatIsUsual) {
  ReportedLoad load;
  ReplicaLoad report = Report(1, 0);
  report.slowness = 3;
  load.Record(report, 0, kNow);
  EXPECT_EQ(load.Slowness(kNow), 3);
  EXPECT_DOUBLE_EQ(load.Slowness(kNow + milliseconds(100)), 2);
  load.Record(Report(1, 0), 0, kNow);
  EXPECT_EQ(load.Slowness(kNow), 1);
}

TEST(ReportedLoadTest, MeansWeighRecentReportsMore) {
  ReportedLoad load;
  EXPECT_FALSE(load.HasMeansSince(kNow));
  load.RecordMeans(Report(2, 6), kNow);
  EXPECT_EQ(load.MeanBusy(), 8);
  EXPECT_EQ(load.MeanUsed(), 2);
  EXPECT_EQ(load.Slots(), 2U);
  load.RecordMeans(Report(0, 0), kNow + milliseconds(500));
  EXPECT_DOUBLE_EQ(load.MeanBusy(), 4);
  EXPECT_DOUBLE_EQ(load.MeanUsed(), 1);
  EXPECT_TRUE(load.HasMeansSince(kNow + milliseconds(500)));
  EXPECT_FALSE(load.HasMeansSince(kNow + milliseconds(501)));
}

}  // namespace
}  // namespace chicoryvale
