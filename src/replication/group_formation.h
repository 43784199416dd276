#ifndef CHICORYVALE_SRC_REPLICATION_GROUP_FORMATION_H_
#define CHICORYVALE_SRC_REPLICATION_GROUP_FORMATION_H_

#include <map>
#include <optional>
#include <vector>

#include "base/ids.h"
#include "replication/log_types.h"

namespace chicoryvale {

/// Decides whether a replica without a group may form one. Only the initial
/// member with the lowest address does, and only once every other initial
/// member has answered that it is in no group either: so a wiped VM never forms
/// a second group beside the one it has forgotten. Not thread safe.
class GroupFormation {
 public:
  /// `initial_members` are all addresses of the first group, `self` included.
  GroupFormation(Address self, std::vector<Address> initial_members);

  /// Records who answered at `address`.
  void OnAnswer(const Address& address, NodeId node_id, GroupId group_id);

  /// Returns the first membership, with this replica as `self_id`, once it may
  /// be formed.
  [[nodiscard]] std::optional<GroupMembership> Ready(NodeId self_id) const;

 private:
  Address m_self;
  std::vector<Address> m_initial_members;
  std::map<std::string, NodeId> m_without_group;
  bool m_group_exists = false;
};

}  // namespace chicoryvale

#endif  // CHICORYVALE_SRC_REPLICATION_GROUP_FORMATION_H_
