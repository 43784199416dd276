#include "replication/log_types.h"

#include <algorithm>

namespace chicoryvale {

const GroupMember* FindMember(const GroupMembership& membership,
                              NodeId node_id) {
  const auto found =
      std::ranges::find(membership.members, node_id, &GroupMember::node_id);
  return found == membership.members.end() ? nullptr : &*found;
}

bool IsVoter(const GroupMembership& membership, NodeId node_id) {
  const GroupMember* member = FindMember(membership, node_id);
  return member != nullptr && member->voter;
}

std::size_t CountVoters(const GroupMembership& membership) {
  return static_cast<std::size_t>(
      std::ranges::count(membership.members, true, &GroupMember::voter));
}

std::size_t QuorumSize(const GroupMembership& membership) {
  return CountVoters(membership) / 2 + 1;
}

}  // namespace chicoryvale
