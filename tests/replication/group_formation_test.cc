#include "replication/group_formation.h"

#include <gtest/gtest.h>

namespace chicoryvale {
namespace {

const Address kFirst = {"127.0.0.1:1"};
const Address kSecond = {"127.0.0.2:1"};

TEST(GroupFormationTest, FormsOnlyWhenAllOthersAreWithoutAGroup) {
  GroupFormation formation(kFirst, {kSecond, kFirst});
  EXPECT_FALSE(formation.Ready(5));
  formation.OnAnswer(kSecond, 6, 0);
  const auto ready = formation.Ready(5);
  ASSERT_TRUE(ready);
  EXPECT_EQ(ready->members, (std::vector<GroupMember>{{6, kSecond, true, 0},
                                                      {5, kFirst, true, 0}}));
  // A group has been formed since the first answer.
  formation.OnAnswer(kSecond, 6, 9);
  EXPECT_FALSE(formation.Ready(5));
}

TEST(GroupFormationTest, OnlyTheLowestAddressForms) {
  GroupFormation formation(kSecond, {kSecond, kFirst});
  formation.OnAnswer(kFirst, 5, 0);
  EXPECT_FALSE(formation.Ready(6));
}

}  // namespace
}  // namespace chicoryvale
