#ifndef CHICORYVALE_SRC_REPLICATION_MEMBERSHIP_PLAN_H_
#define CHICORYVALE_SRC_REPLICATION_MEMBERSHIP_PLAN_H_

#include <cstddef>
#include <functional>
#include <optional>

#include "base/ids.h"
#include "replication/log_types.h"

namespace chicoryvale {

/// Most voters of one group.
inline constexpr std::size_t kMaxVoters = 7;

/// Returns the member at `address`, voters first, or nullptr.
const GroupMember* FindMemberAt(const GroupMembership& membership,
                                const Address& address);

/// Returns `membership` with the learner `node_id` at `address`, which takes
/// the place of the voter `replaces` once it is promoted; 0 for none. Other
/// learners at the address are dropped: their data folders are gone.
GroupMembership WithLearner(GroupMembership membership, NodeId node_id,
                            const Address& address, NodeId replaces);

/// Returns `membership` without `node_id`.
GroupMembership Without(GroupMembership membership, NodeId node_id);

/// What a leader knows about a member.
using MemberPredicate = std::function<bool(const GroupMember& member)>;

/// Returns the next membership on the way to the replacements that are under
/// way, or nothing. Each step adds or removes one voter (Ongaro, Consensus:
/// Bridging Theory and Practice, section 4.1). A voter that answers is removed
/// after its replacement counts; one that is silent or whose data folder is
/// gone is removed first, so that no quorum ever needs both identities of one
/// VM. The last voter is never removed.
std::optional<GroupMembership> PlanMembership(const GroupMembership& current,
                                              const MemberPredicate& caught_up,
                                              const MemberPredicate& answers);

}  // namespace chicoryvale

#endif  // CHICORYVALE_SRC_REPLICATION_MEMBERSHIP_PLAN_H_
