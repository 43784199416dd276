#include "replication/group_formation.h"

#include <algorithm>
#include <string>
#include <utility>

namespace chicoryvale {

GroupFormation::GroupFormation(Address self,
                               std::vector<Address> initial_members)
    : m_self(std::move(self)), m_initial_members(std::move(initial_members)) {}

void GroupFormation::OnHelloReply(const Address& address, NodeId node_id,
                                  GroupId group_id) {
  if (group_id != 0) {
    m_group_exists = true;
    return;
  }
  m_ungrouped_nodes[address.host_port] = node_id;
}

std::optional<GroupMembership> GroupFormation::MakeMembership(
    NodeId self_id) const {
  if (m_group_exists) return std::nullopt;
  const auto lowest =
      std::ranges::min_element(m_initial_members, {}, &Address::host_port);
  if (lowest == m_initial_members.end() || *lowest != m_self) {
    return std::nullopt;
  }
  GroupMembership membership;
  for (const Address& address : m_initial_members) {
    const auto reply = m_ungrouped_nodes.find(address.host_port);
    const bool has_identity =
        address == m_self || reply != m_ungrouped_nodes.end();
    if (!has_identity) return std::nullopt;
    const NodeId node_id = address == m_self ? self_id : reply->second;
    membership.members.push_back({node_id, address, true, 0});
  }
  return membership;
}

}  // namespace chicoryvale
