#ifndef CHICORYVALE_SRC_REPLICATION_MEMBERSHIP_PLAN_H_
#define CHICORYVALE_SRC_REPLICATION_MEMBERSHIP_PLAN_H_

#include <cstddef>
#include <functional>
#include <optional>

#include "base/ids.h"
#include "replication/log_types.h"

namespace chicoryvale {

/// Maximum number of voters in a group. A replacement may exceed it by one
/// until the replaced voter is removed. A change that only adds a member is
/// refused if the group has this number of members, learners included.
inline constexpr std::size_t kMaxVoters = 7;

/// Returns the member at `address`, or nullptr. A voter takes precedence over a
/// learner at the same address.
const GroupMember* FindMemberAt(const GroupMembership& membership,
                                const Address& address);

/// Returns `membership` with the learner `node_id` at `address` added. The
/// learner replaces the voter `replaced_voter_id` when it is promoted; 0 means
/// none. Other learners at the address are removed, because their data folders
/// no longer exist.
GroupMembership AddLearner(GroupMembership membership, NodeId node_id,
                           const Address& address, NodeId replaced_voter_id);

/// Returns `membership` with the member `node_id` removed.
GroupMembership RemoveMember(GroupMembership membership, NodeId node_id);

/// Tests a property of a member that the leader knows.
using MemberPredicate = std::function<bool(const GroupMember& member)>;

/// Returns the next membership in which one pending promotion or replacement
/// makes progress, or nothing if there is no such step. Each step adds or
/// removes one voter (Ongaro, Consensus: Bridging Theory and Practice,
/// section 4.1). A responsive voter is removed after its replacement is a
/// voter. A voter that is unresponsive or whose data folder no longer exists is
/// removed before its replacement is promoted, so that no quorum ever needs
/// both identities of one VM. The last voter is never removed.
std::optional<GroupMembership> PlanNextMembership(
    const GroupMembership& current, const MemberPredicate& is_caught_up,
    const MemberPredicate& is_responsive);

}  // namespace chicoryvale

#endif  // CHICORYVALE_SRC_REPLICATION_MEMBERSHIP_PLAN_H_
