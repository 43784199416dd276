#include "replication/membership_plan.h"

#include <algorithm>
#include <cassert>
#include <vector>

namespace chicoryvale {
namespace {

GroupMembership Promote(GroupMembership membership, NodeId node_id) {
  const auto member =
      std::ranges::find(membership.members, node_id, &GroupMember::node_id);
  assert(member != membership.members.end());
  member->voter = true;
  return membership;
}

/// Returns the voter that `member` replaces, or nullptr if it is gone.
const GroupMember* ReplacedVoter(const GroupMembership& membership,
                                 const GroupMember& member) {
  if (member.replaces == 0) return nullptr;
  const GroupMember* replaced = FindMember(membership, member.replaces);
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

GroupMembership WithLearner(GroupMembership membership, NodeId node_id,
                            const Address& address, NodeId replaces) {
  std::erase_if(membership.members, [&address](const GroupMember& member) {
    return !member.voter && member.address == address;
  });
  membership.members.push_back({node_id, address, false, replaces});
  return membership;
}

GroupMembership Without(GroupMembership membership, NodeId node_id) {
  std::erase_if(membership.members, [node_id](const GroupMember& member) {
    return member.node_id == node_id;
  });
  return membership;
}

std::optional<GroupMembership> PlanMembership(const GroupMembership& current,
                                              const MemberPredicate& caught_up,
                                              const MemberPredicate& answers) {
  for (const GroupMember& member : current.members) {
    const GroupMember* replaced = ReplacedVoter(current, member);
    if (member.voter) {
      if (replaced != nullptr) return Without(current, replaced->node_id);
      continue;
    }
    if (!caught_up(member)) continue;
    const bool removes_first =
        replaced != nullptr &&
        (replaced->address == member.address || !answers(*replaced)) &&
        CountVoters(current) > 1;
    if (removes_first) return Without(current, replaced->node_id);
    if (CountVoters(current) < kMaxVoters + 1) {
      return Promote(current, member.node_id);
    }
  }
  return std::nullopt;
}

}  // namespace chicoryvale
