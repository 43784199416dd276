#ifndef CHICORYVALE_SRC_REPLICATION_GROUP_FORMATION_H_
#define CHICORYVALE_SRC_REPLICATION_GROUP_FORMATION_H_

#include <map>
#include <optional>
#include <vector>

#include "base/ids.h"
#include "replication/log_types.h"

namespace chicoryvale {

/// Decides whether a replica without a group may form one. Only the initial
/// member with the lowest address forms the group, and only after every other
/// initial member has replied that it is in no group either. A VM that lost its
/// disk therefore never forms a second group beside the existing one. Not
/// thread safe.
class GroupFormation {
 public:
  /// `initial_members` are the addresses of all initial members, including
  /// `self`.
  GroupFormation(Address self, std::vector<Address> initial_members);

  /// Records the identity and the group of the replica that replied at
  /// `address`. `group_id` is 0 if it is in no group.
  void OnHelloReply(const Address& address, NodeId node_id, GroupId group_id);

  /// Returns the initial membership, in which this replica has the identity
  /// `self_id`, or nothing while this replica may not form the group.
  [[nodiscard]] std::optional<GroupMembership> MakeMembership(
      NodeId self_id) const;

 private:
  Address m_self;
  std::vector<Address> m_initial_members;
  std::map<std::string, NodeId> m_ungrouped_nodes;
  bool m_group_exists = false;
};

}  // namespace chicoryvale

#endif  // CHICORYVALE_SRC_REPLICATION_GROUP_FORMATION_H_
