#include "routing/limit_shares.h"

#include <gtest/gtest.h>

#include <string>
#include <vector>

#include "test_entry.h"

namespace chicoryvale {
namespace {

MemberInfo Info(const std::string& name, MemberRole role) {
  return {name, {name + ":1"}, "a", role};
}

Member Entry(const std::string& name, MemberState state) {
  return {Info(name, MemberRole::kEntry), state, 1};
}

TEST(LimitSharesTest, CountsTheEntriesThatMayBeRunning) {
  const Member self = Entry("self", MemberState::kAlive);
  const FixedMembers members(self.info,
                             {self,
                              Entry("alive", MemberState::kAlive),
                              Entry("dead", MemberState::kDead),
                              Entry("left", MemberState::kLeft),
                              {Info("control", MemberRole::kControl)}});
  EXPECT_EQ(CountLimitSharers(members), 3U);
}

// The last entry of a deployment still finishes its requests after it has left,
// when no entry is left among the members.
TEST(LimitSharesTest, AnEntryCountsItselfAfterItHasLeft) {
  const Member self = Entry("self", MemberState::kLeft);
  const FixedMembers members(self.info,
                             {self, Entry("other", MemberState::kLeft)});
  EXPECT_EQ(CountLimitSharers(members), 1U);
}

TEST(LimitSharesTest, DividesTheConnectionsThatAReplicaAccepts) {
  EXPECT_EQ(ReplicaConnectionShare(50, 1), 45U);
  EXPECT_EQ(ReplicaConnectionShare(50, 12), 3U);
  EXPECT_EQ(ReplicaConnectionShare(10, 20), 1U);
}

TEST(LimitSharesTest, OwnersInALargeGroupGetMoreThanAnEqualShare) {
  EXPECT_EQ(ReplicaConnectionShare(174, 294), 4U);
}

/// The rate sharers as seen by each of `count` entries in zones a, b and c.
std::vector<RateSharers> EachOf(std::size_t count) {
  std::vector<LimitSharer> all;
  for (std::size_t i = 0; i < count; ++i) {
    all.push_back({{"10.0.0.1:" + std::to_string(i)},
                   std::string(1, static_cast<char>('a' + i % 3))});
  }
  std::vector<RateSharers> sharers;
  for (std::size_t self = 0; self < count; ++self) {
    sharers.push_back({all[self], all});
    sharers.back().others.erase(sharers.back().others.begin() +
                                static_cast<std::ptrdiff_t>(self));
  }
  return sharers;
}

TEST(RateSharesTest, ThePartsOfAllEntriesAddUpToTheRate) {
  for (const std::size_t count : {1U, 2U, 12U, 106U, 294U}) {
    for (const double rate : {0.3, 1.0, 7.5, 24.3, 500.0}) {
      for (const char* zone : {"a", "without entries"}) {
        double sum = 0;
        for (const RateSharers& sharers : EachOf(count)) {
          const double part = ShareOfRate(rate, {"i-1", zone}, sharers);
          EXPECT_GT(part, 0);
          sum += part;
        }
        EXPECT_NEAR(sum, rate, rate / 1000) << count << " entries";
      }
    }
  }
}

TEST(RateSharesTest, EntriesInTheZoneOfTheReplicaGetMore) {
  const auto sharers = EachOf(12);
  EXPECT_GT(ShareOfRate(24, {"i-1", "a"}, sharers[0]),
            3 * ShareOfRate(24, {"i-1", "a"}, sharers[1]));
}

// Equal parts of a low rate among many entries would be of no use to any, and
// the one request that each may send at once would add up to more than it.
TEST(RateSharesTest, FewOfManyEntriesGetMostOfALowRate) {
  constexpr double kRate = 5;
  std::size_t with_part = 0;
  for (const RateSharers& sharers : EachOf(106)) {
    if (ShareOfRate(kRate, {"i-1", "a"}, sharers) > kRate / 20) ++with_part;
  }
  EXPECT_EQ(with_part, 10U);
}

}  // namespace
}  // namespace chicoryvale
