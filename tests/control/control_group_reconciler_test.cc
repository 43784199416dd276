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
                               MakeGroup({"a", "b"}), {}));
}

TEST(ControlGroupReconcilerTest, AddsAControlVmThatIsNotAMember) {
  const auto change =
      PlanGroupChange({MakeMember("a"), MakeMember("b"), MakeMember("c")},
                      MakeGroup({"a", "b"}), {});
  EXPECT_EQ(change, (GroupChangePlan{{}, {"c"}}));
}

TEST(ControlGroupReconcilerTest, ReplacesAnUnavailableMemberWithANewVm) {
  for (const MemberState unavailable :
       {MemberState::kDead, MemberState::kLeft, MemberState::kLeaseExpired}) {
    const auto change = PlanGroupChange(
        {MakeMember("a"), MakeMember("b", unavailable), MakeMember("c")},
        MakeGroup({"a", "b"}), {});
    EXPECT_EQ(change, (GroupChangePlan{{"b"}, {"c"}}));
  }
}

TEST(ControlGroupReconcilerTest, KeepsASuspectMemberAndOneWithoutReplacement) {
  EXPECT_FALSE(
      PlanGroupChange({MakeMember("a"), MakeMember("b", MemberState::kDead)},
                      MakeGroup({"a", "b"}), {}));
  EXPECT_EQ(
      PlanGroupChange({MakeMember("a"), MakeMember("b", MemberState::kSuspect),
                       MakeMember("c")},
                      MakeGroup({"a", "b"}), {}),
      (GroupChangePlan{{}, {"c"}}));
}

// A voter that the membership doesn't show as dead yet, or doesn't know any
// more, is lost all the same if it doesn't reply to the leader.
TEST(ControlGroupReconcilerTest, ReplacesAVoterThatIsSilentButNotKnownAsDead) {
  const GroupMembership group = MakeGroup({"a", "b", "c"});
  const GroupChangePlan replacement{{"b"}, {"d"}};
  EXPECT_EQ(PlanGroupChange({MakeMember("a"), MakeMember("b"), MakeMember("c"),
                             MakeMember("d")},
                            group, {2}),
            replacement);
  EXPECT_EQ(PlanGroupChange({MakeMember("a"), MakeMember("c"), MakeMember("d")},
                            group, {2}),
            replacement);
}

TEST(ControlGroupReconcilerTest, RemovesALostVoterOnlyFromAnEvenGroup) {
  const std::vector<Member> members = {MakeMember("a"), MakeMember("b"),
                                       MakeMember("c")};
  EXPECT_FALSE(PlanGroupChange(members, MakeGroup({"a", "b", "c"}), {3}));
  EXPECT_EQ(PlanGroupChange(members, MakeGroup({"a", "b", "c", "d"}), {4}),
            (GroupChangePlan{{"d"}, {}}));
  EXPECT_EQ(PlanGroupChange({MakeMember("a"), MakeMember("b"), MakeMember("c"),
                             MakeMember("d", MemberState::kLeft)},
                            MakeGroup({"a", "b", "c", "d"}), {}),
            (GroupChangePlan{{"d"}, {}}));
}

TEST(ControlGroupReconcilerTest, RemovesALostLearnerThatReplacesNoDisk) {
  GroupMembership group = MakeGroup({"a", "b", "c"});
  group.members.push_back({4, {"d"}, false, 0});
  const std::vector<Member> members = {MakeMember("a"), MakeMember("b"),
                                       MakeMember("c")};
  EXPECT_EQ(PlanGroupChange(members, group, {4}), (GroupChangePlan{{"d"}, {}}));
  group.members.back().address = {"c"};
  EXPECT_FALSE(PlanGroupChange(members, group, {4}));
}

TEST(ControlGroupReconcilerTest, AddsNeitherEntriesNorDeadControlVms) {
  EXPECT_FALSE(
      PlanGroupChange({MakeMember("a"),
                       MakeMember("e", MemberState::kAlive, MemberRole::kEntry),
                       MakeMember("c", MemberState::kDead)},
                      MakeGroup({"a"}), {}));
}

TEST(ControlGroupReconcilerTest, AddsNoMemberToAFullGroupExceptAsReplacement) {
  const std::vector<std::string> full = {"a", "b", "c", "d", "e", "f", "g"};
  std::vector<Member> members;
  members.reserve(full.size() + 1);
  for (const std::string& host : full) members.push_back(MakeMember(host));
  members.push_back(MakeMember("h"));
  EXPECT_FALSE(PlanGroupChange(members, MakeGroup(full), {}));
  members[2].state = MemberState::kDead;
  EXPECT_EQ(PlanGroupChange(members, MakeGroup(full), {}),
            (GroupChangePlan{{"c"}, {"h"}}));
}

}  // namespace
}  // namespace chicoryvale
