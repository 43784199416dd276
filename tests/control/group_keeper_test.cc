#include "control/group_keeper.h"

#include <gtest/gtest.h>

#include <string>
#include <vector>

namespace chicoryvale {
namespace {

Member Seen(const std::string& address, MemberState state = MemberState::kAlive,
            MemberRole role = MemberRole::kControl) {
  return {{address, {address}, "z", role}, state, 1};
}

GroupMembership Group(const std::vector<std::string>& addresses) {
  GroupMembership group;
  NodeId id = 0;
  for (const std::string& address : addresses) {
    group.members.push_back({++id, {address}, true, 0});
  }
  return group;
}

TEST(GroupKeeperTest, LeavesAGroupOfAllControlVmsAlone) {
  EXPECT_FALSE(PlanGroupChange({Seen("a"), Seen("b")}, Group({"a", "b"})));
}

TEST(GroupKeeperTest, AddsAVmThatIsNoMember) {
  const auto change =
      PlanGroupChange({Seen("a"), Seen("b"), Seen("c")}, Group({"a", "b"}));
  EXPECT_EQ(change, (KeeperChange{{}, {"c"}}));
}

TEST(GroupKeeperTest, PutsANewcomerInThePlaceOfAGoneMember) {
  for (const MemberState gone :
       {MemberState::kDead, MemberState::kLeft, MemberState::kLeaseExpired}) {
    const auto change = PlanGroupChange({Seen("a"), Seen("b", gone), Seen("c")},
                                        Group({"a", "b"}));
    EXPECT_EQ(change, (KeeperChange{{"b"}, {"c"}}));
  }
}

TEST(GroupKeeperTest, KeepsAMemberThatIsOnlyGoneOrSuspect) {
  EXPECT_FALSE(PlanGroupChange({Seen("a"), Seen("b", MemberState::kDead)},
                               Group({"a", "b"})));
  EXPECT_EQ(
      PlanGroupChange({Seen("a"), Seen("b", MemberState::kSuspect), Seen("c")},
                      Group({"a", "b"})),
      (KeeperChange{{}, {"c"}}));
}

TEST(GroupKeeperTest, TakesNoEntryAndNoVmThatIsGone) {
  EXPECT_FALSE(PlanGroupChange(
      {Seen("a"), Seen("e", MemberState::kAlive, MemberRole::kEntry),
       Seen("c", MemberState::kDead)},
      Group({"a"})));
}

TEST(GroupKeeperTest, AFullGroupGrowsNoMore) {
  const std::vector<std::string> seven = {"a", "b", "c", "d", "e", "f", "g"};
  std::vector<Member> members;
  members.reserve(seven.size() + 1);
  for (const std::string& address : seven) members.push_back(Seen(address));
  members.push_back(Seen("h"));
  EXPECT_FALSE(PlanGroupChange(members, Group(seven)));
  members[2].state = MemberState::kDead;
  EXPECT_EQ(PlanGroupChange(members, Group(seven)),
            (KeeperChange{{"c"}, {"h"}}));
}

}  // namespace
}  // namespace chicoryvale
