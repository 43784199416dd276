#include "control/control_group_reconciler.h"

#include <gtest/gtest.h>

#include <string>
#include <vector>

namespace chicoryvale {
namespace {

Member MakeMember(const std::string& address,
                  MemberState state = MemberState::kAlive,
                  MemberRole role = MemberRole::kControl) {
  return {{address, {address}, "z", role}, state, 1};
}

GroupMembership MakeGroup(const std::vector<std::string>& addresses) {
  GroupMembership group;
  NodeId id = 0;
  for (const std::string& address : addresses) {
    group.members.push_back({++id, {address}, true, 0});
  }
  return group;
}

TEST(ControlGroupReconcilerTest, PlansNoChangeIfAllControlVmsAreMembers) {
  EXPECT_FALSE(PlanGroupChange({MakeMember("a"), MakeMember("b")},
                               MakeGroup({"a", "b"})));
}

TEST(ControlGroupReconcilerTest, AddsAControlVmThatIsNotAMember) {
  const auto change =
      PlanGroupChange({MakeMember("a"), MakeMember("b"), MakeMember("c")},
                      MakeGroup({"a", "b"}));
  EXPECT_EQ(change, (GroupChangePlan{{}, {"c"}}));
}

TEST(ControlGroupReconcilerTest, ReplacesAnUnavailableMemberWithANewVm) {
  for (const MemberState unavailable :
       {MemberState::kDead, MemberState::kLeft, MemberState::kLeaseExpired}) {
    const auto change = PlanGroupChange(
        {MakeMember("a"), MakeMember("b", unavailable), MakeMember("c")},
        MakeGroup({"a", "b"}));
    EXPECT_EQ(change, (GroupChangePlan{{"b"}, {"c"}}));
  }
}

TEST(ControlGroupReconcilerTest, KeepsASuspectMemberAndOneWithoutReplacement) {
  EXPECT_FALSE(
      PlanGroupChange({MakeMember("a"), MakeMember("b", MemberState::kDead)},
                      MakeGroup({"a", "b"})));
  EXPECT_EQ(
      PlanGroupChange({MakeMember("a"), MakeMember("b", MemberState::kSuspect),
                       MakeMember("c")},
                      MakeGroup({"a", "b"})),
      (GroupChangePlan{{}, {"c"}}));
}

TEST(ControlGroupReconcilerTest, AddsNeitherEntriesNorDeadControlVms) {
  EXPECT_FALSE(
      PlanGroupChange({MakeMember("a"),
                       MakeMember("e", MemberState::kAlive, MemberRole::kEntry),
                       MakeMember("c", MemberState::kDead)},
                      MakeGroup({"a"})));
}

TEST(ControlGroupReconcilerTest, AddsNoMemberToAFullGroupExceptAsReplacement) {
  const std::vector<std::string> full = {"a", "b", "c", "d", "e", "f", "g"};
  std::vector<Member> members;
  members.reserve(full.size() + 1);
  for (const std::string& host : full) members.push_back(MakeMember(host));
  members.push_back(MakeMember("h"));
  EXPECT_FALSE(PlanGroupChange(members, MakeGroup(full)));
  members[2].state = MemberState::kDead;
  EXPECT_EQ(PlanGroupChange(members, MakeGroup(full)),
            (GroupChangePlan{{"c"}, {"h"}}));
}

}  // namespace
}  // namespace chicoryvale
