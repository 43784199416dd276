#include "routing/replica_notices.h"

#include <gtest/gtest.h>

#include <set>
#include <string>

namespace chicoryvale {
namespace {

using Change = ReplicaNotices::Change;
using Listed = ReplicaNotices::Listed;

constexpr TimePoint kStart{seconds(1000)};

ReplicaNotice Draining() { return {.draining = true, .back_off = {}}; }
ReplicaNotice BackOff(Duration time) {
  return {.draining = false, .back_off = time};
}

TEST(ReplicaNoticesTest, AnAnswerWithoutANoticeChangesNothing) {
  ReplicaNotices notices(1);
  EXPECT_EQ(notices.Record("a", {}, kStart), Change::kNone);
  EXPECT_EQ(notices.Size(), 0U);
  EXPECT_FALSE(notices.IsDraining("a"));
  EXPECT_EQ(notices.BackOffEnd("a"), TimePoint{});
}

TEST(ReplicaNoticesTest, ADrainingReplicaStaysDraining) {
  ReplicaNotices notices(1);
  EXPECT_EQ(notices.Record("a", Draining(), kStart), Change::kDraining);
  EXPECT_EQ(notices.Record("a", Draining(), kStart), Change::kNone);
  EXPECT_EQ(notices.Record("a", {}, kStart + seconds(1)), Change::kNone);
  // A list that doesn't change is recorded once.
  notices.RecordList([](const std::string&) { return Listed::kReady; }, kStart);
  notices.RecordList([](const std::string&) { return Listed::kReady; },
                     kStart + seconds(1000));
  EXPECT_TRUE(notices.IsDraining("a"));
  EXPECT_FALSE(notices.IsDraining("b"));
}

// The replica may not be met before the time that it stated, nor by all entries
// at the same moment.
TEST(ReplicaNoticesTest, ABackOffEndsAfterTheStatedTimeAtEachEntryOnItsOwn) {
  for (const Duration stated :
       {Duration(milliseconds(1)), Duration(milliseconds(800)),
        Duration(seconds(3)), Duration(seconds(3600))}) {
    std::set<TimePoint> ends;
    for (std::uint64_t seed = 1; seed <= 100; ++seed) {
      ReplicaNotices notices(seed);
      notices.Record("a", BackOff(stated), kStart);
      const TimePoint end = notices.BackOffEnd("a");
      EXPECT_GE(end, kStart + stated);
      EXPECT_LE(end,
                kStart + stated + std::min<Duration>(stated / 4, seconds(1)));
      ends.insert(end);
    }
    EXPECT_GT(ends.size(), 50U);
  }
}

TEST(ReplicaNoticesTest, AShorterBackOffDoesNotReplaceALongerOne) {
  ReplicaNotices notices(1);
  EXPECT_EQ(notices.Record("a", BackOff(seconds(10)), kStart),
            Change::kBackingOff);
  const TimePoint end = notices.BackOffEnd("a");
  EXPECT_EQ(notices.Record("a", BackOff(seconds(1)), kStart + seconds(1)),
            Change::kNone);
  EXPECT_EQ(notices.BackOffEnd("a"), end);
  EXPECT_EQ(notices.Record("a", BackOff(seconds(20)), kStart + seconds(1)),
            Change::kBackingOff);
  EXPECT_GT(notices.BackOffEnd("a"), end);
}

TEST(ReplicaNoticesTest, AReplicaMayDrainAndBackOff) {
  ReplicaNotices notices(1);
  EXPECT_EQ(
      notices.Record("a", {.draining = true, .back_off = seconds(2)}, kStart),
      Change::kDraining);
  EXPECT_TRUE(notices.IsDraining("a"));
  EXPECT_GE(notices.BackOffEnd("a"), kStart + seconds(2));
}

// A list that leaves a replica out for a moment takes nothing back.
TEST(ReplicaNoticesTest, ForgetsAReplicaThatIsNoLongerListed) {
  ReplicaNotices notices(1);
  notices.Record("a", Draining(), kStart);
  const auto listed = [](const std::string&) { return Listed::kReady; };
  const auto unlisted = [](const std::string&) { return Listed::kNo; };
  notices.RecordList(unlisted, kStart + seconds(5));
  notices.RecordList(listed, kStart + seconds(8));
  EXPECT_TRUE(notices.IsDraining("a"));
  notices.RecordList(unlisted, kStart + seconds(16));
  notices.RecordList(listed, kStart + seconds(27));
  EXPECT_FALSE(notices.IsDraining("a"));
  EXPECT_EQ(notices.Size(), 0U);
}

/// Records the list that says `listed` of all replicas, once a second.
void RecordLists(ReplicaNotices* notices, Listed listed, TimePoint from,
                 int count) {
  for (int i = 0; i < count; ++i) {
    notices->RecordList([listed](const std::string&) { return listed; },
                        from + seconds(i));
  }
}

// review/11: a replica that had left and started again under its id got no
// requests any more, because only its own answers could have told so.
TEST(ReplicaNoticesTest, AReplicaThatIsReadyAgainAfterItWasListedAsDraining) {
  ReplicaNotices notices(1);
  notices.Record("a", Draining(), kStart);
  RecordLists(&notices, Listed::kReady, kStart, 1);
  RecordLists(&notices, Listed::kDraining, kStart + seconds(1), 4);
  RecordLists(&notices, Listed::kReady, kStart + seconds(5), 2);
  EXPECT_TRUE(notices.IsDraining("a"));
  RecordLists(&notices, Listed::kReady, kStart + seconds(7), 1);
  EXPECT_FALSE(notices.IsDraining("a"));
  EXPECT_EQ(notices.Record("a", Draining(), kStart + seconds(8)),
            Change::kDraining);
  RecordLists(&notices, Listed::kReady, kStart + seconds(8), 5);
  EXPECT_TRUE(notices.IsDraining("a"));
}

// An older list that comes late must not take back that a replica drains.
TEST(ReplicaNoticesTest, AReplicaThatIsListedAsReadyForAMomentStaysDraining) {
  ReplicaNotices notices(1);
  notices.Record("a", Draining(), kStart);
  for (int i = 0; i < 10; ++i) {
    const TimePoint at = kStart + seconds(4 * i);
    RecordLists(&notices, Listed::kDraining, at, 2);
    RecordLists(&notices, Listed::kReady, at + seconds(2), 2);
    EXPECT_TRUE(notices.IsDraining("a"));
  }
}

// A replica that crashes right after it said that it drains may be back before
// the list shows it as draining.
TEST(ReplicaNoticesTest, AReplicaThatWasNeverListedAsDrainingIsUsedAgain) {
  ReplicaNotices notices(1);
  notices.Record("a", Draining(), kStart);
  RecordLists(&notices, Listed::kReady, kStart, 29);
  EXPECT_TRUE(notices.IsDraining("a"));
  RecordLists(&notices, Listed::kReady, kStart + seconds(29), 1);
  EXPECT_FALSE(notices.IsDraining("a"));
}

TEST(ReplicaNoticesTest, RemembersABoundedNumberOfUnlistedReplicas) {
  ReplicaNotices notices(1);
  constexpr std::size_t kReplicas = 100'000;
  constexpr std::size_t kBound = 5000;
  for (std::size_t i = 0; i < kReplicas; ++i) {
    notices.Record(std::to_string(i), Draining(), kStart);
  }
  notices.RecordList([](const std::string&) { return Listed::kNo; }, kStart);
  EXPECT_LE(notices.Size(), kBound);
}

}  // namespace
}  // namespace chicoryvale
