#include "routing/rate_bucket.h"

#include <gtest/gtest.h>

namespace chicoryvale {
namespace {

constexpr TimePoint kStart{seconds(1000)};

// Takes all tokens that become available until `end`; returns their number.
int TakeAll(RateBucket* bucket, TimePoint begin, TimePoint end) {
  int taken = 0;
  for (TimePoint now = bucket->NextTokenAt(begin); now <= end;
       now = bucket->NextTokenAt(now)) {
    bucket->Take(now);
    ++taken;
  }
  return taken;
}

TEST(RateBucketTest, RefillsAtItsRate) {
  RateBucket bucket(3, kStart);
  const int taken = TakeAll(&bucket, kStart, kStart + seconds(10));
  EXPECT_GE(taken, 29);
  EXPECT_LE(taken, 30);
}

TEST(RateBucketTest, KeepsAFewTokensOfAnIdleTime) {
  RateBucket slow(0.1, kStart);
  EXPECT_EQ(TakeAll(&slow, kStart + seconds(1000), kStart + seconds(1000)), 1);
  RateBucket fast(100, kStart);
  EXPECT_EQ(TakeAll(&fast, kStart + seconds(1000), kStart + seconds(1000)), 25);
}

TEST(RateBucketTest, OwesWhatIsTakenWithoutAToken) {
  RateBucket bucket(1, kStart);
  for (int i = 0; i < 3; ++i) bucket.Take(kStart);
  EXPECT_EQ(bucket.NextTokenAt(kStart), kStart + seconds(4));
}

TEST(RateBucketTest, AChangedRateAppliesFromThenOn) {
  RateBucket bucket(1, kStart);
  bucket.SetRate(10, kStart + milliseconds(500));
  EXPECT_EQ(bucket.NextTokenAt(kStart + milliseconds(500)),
            kStart + milliseconds(550));
}

}  // namespace
}  // namespace chicoryvale
