#include "replication/membership_plan.h"

#include <algorithm>
#include <cassert>
#include <vector>

namespace chicoryvale {
namespace {

GroupMembership PromoteLearner(GroupMembership membership, NodeId node_id) {
  const auto member =
      std::ranges::find(membership.members, node_id, &GroupMember::node_id);
  assert(member != membership.members.end());
  member->voter = true;
  return membership;
}

// Once the replaced voter has left, its identity may return as a new member,
// which the successor doesn't replace.
void ForgetReplaced(NodeId node_id, GroupMembership* membership) {
  for (GroupMember& member : membership->members) {
    if (member.replaced_voter_id == node_id) member.replaced_voter_id = 0;
  }
}

/// Returns the voter that `member` replaces, or nullptr if there is none or
/// if it is no longer a voter.
const GroupMember* FindReplacedVoter(const GroupMembership& membership,
                                     const GroupMember& member) {
  if (member.replaced_voter_id == 0) return nullptr;
  const GroupMember* replaced =
      FindMember(membership, member.replaced_voter_id);
  return replaced != nullptr && replaced->voter ? replaced : nullptr;
}

}  // namespace

const GroupMember* FindMemberAt(const GroupMembership& membership,
                                const Address& address) {
  const GroupMember* learner = nullptr;
  for (const GroupMember& member : membership.members) {
    if (member.address != address) continue;
    if (member.voter) return &member;
    learner = &member;
  }
  return learner;
}

GroupMembership AddLearner(GroupMembership membership, NodeId node_id,
                           const Address& address, NodeId replaced_voter_id) {
  std::erase_if(membership.members, [&address](const GroupMember& member) {
    return !member.voter && member.address == address;
  });
  ForgetReplaced(node_id, &membership);
  membership.members.push_back({node_id, address, false, replaced_voter_id});
  return membership;
}

GroupMembership RemoveMember(GroupMembership membership, NodeId node_id) {
  std::erase_if(membership.members, [node_id](const GroupMember& member) {
    return member.node_id == node_id;
  });
  ForgetReplaced(node_id, &membership);
  return membership;
}

std::optional<GroupMembership> PlanNextMembership(
    const GroupMembership& current, const MemberPredicate& is_caught_up,
    const MemberPredicate& is_responsive) {
  for (const GroupMember& member : current.members) {
    const GroupMember* replaced = FindReplacedVoter(current, member);
    if (member.voter) {
      if (replaced != nullptr) return RemoveMember(current, replaced->node_id);
      continue;
    }
    if (!is_caught_up(member)) continue;
    const bool remove_first =
        replaced != nullptr &&
        (replaced->address == member.address || !is_responsive(*replaced)) &&
        CountVoters(current) > 1;
    if (remove_first) return RemoveMember(current, replaced->node_id);
    if (CountVoters(current) < kMaxVoters + 1) {
      return PromoteLearner(current, member.node_id);
    }
  }
  return std::nullopt;
}

}  // namespace chicoryvale
