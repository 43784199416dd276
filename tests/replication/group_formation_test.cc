#include "replication/group_formation.h"

#include <gtest/gtest.h>

namespace chicoryvale {
namespace {

const Address kFirst = {"127.0.0.1:1"};
const Address kSecond = {"127.0.0.2:1"};

TEST(GroupFormationTest, FormsOnlyAfterAllOthersReportNoGroup) {
  GroupFormation formation(kFirst, {kSecond, kFirst});
  EXPECT_FALSE(formation.MakeMembership(5));
  formation.OnHelloReply(kSecond, 6, 0);
  const auto membership = formation.MakeMembership(5);
  ASSERT_TRUE(membership);
  EXPECT_EQ(
      membership->members,
      (std::vector<GroupMember>{{6, kSecond, true, 0}, {5, kFirst, true, 0}}));
  // The second reply reports a group that was formed after the first reply.
  formation.OnHelloReply(kSecond, 6, 9);
  EXPECT_FALSE(formation.MakeMembership(5));
}

TEST(GroupFormationTest, OnlyTheLowestAddressFormsTheGroup) {
  GroupFormation formation(kSecond, {kSecond, kFirst});
  formation.OnHelloReply(kFirst, 5, 0);
  EXPECT_FALSE(formation.MakeMembership(6));
}

}  // namespace
}  // namespace chicoryvale
