#include "control/control_group_reconciler.h"

#include <algorithm>

#include "replication/membership_plan.h"

namespace chicoryvale {
namespace {

/// Time between two plans. A change is made only if two consecutive plans agree
/// on it. A VM whose latest state arrives at most one period late is therefore
/// not mistaken for an unavailable one.
constexpr Duration kReconcilePeriod = milliseconds(700);

/// Returns whether a member in `state` is dead, has left or lost its lease.
bool IsUnavailable(MemberState state) {
  return state != MemberState::kAlive && state != MemberState::kSuspect;
}

}  // namespace

std::optional<GroupChangePlan> PlanGroupChange(
    const std::vector<Member>& members, const GroupMembership& group) {
  const auto new_member =
      std::ranges::find_if(members, [&](const Member& member) {
        return member.info.role == MemberRole::kControl &&
               member.state == MemberState::kAlive &&
               FindMemberAt(group, member.info.address) == nullptr;
      });
  if (new_member == members.end()) return std::nullopt;
  GroupChangePlan change;
  change.add = new_member->info.address;
  for (const GroupMember& voter : group.members) {
    if (!voter.voter) continue;
    const auto known_member =
        std::ranges::find_if(members, [&](const Member& member) {
          return member.info.address == voter.address;
        });
    if (known_member != members.end() && IsUnavailable(known_member->state)) {
      change.remove = voter.address;
      return change;
    }
  }
  if (group.members.size() >= kMaxVoters) return std::nullopt;
  return change;
}

void ControlGroupReconciler::Start() {
  m_timer = m_dependencies.scheduler->Schedule(kReconcilePeriod,
                                               [this] { Reconcile(); });
}

void ControlGroupReconciler::Reconcile() {
  m_timer = m_dependencies.scheduler->Schedule(kReconcilePeriod,
                                               [this] { Reconcile(); });
  const ReplicaStatus status = m_status();
  if (status.role != ReplicaRole::kLeader || m_change_in_flight) return;
  const auto plan =
      PlanGroupChange(m_dependencies.members->Members(), status.membership);
  const bool is_confirmed = plan && plan == m_last_plan;
  m_last_plan = plan;
  if (!is_confirmed) return;
  m_change_in_flight = true;
  m_dependencies.group->ChangeMember(
      plan->remove, plan->add,
      [this, change = *plan](const Result<std::uint64_t>& result) {
        m_change_in_flight = false;
        m_dependencies.log->Write(
            result ? LogLevel::kInfo : LogLevel::kWarning,
            result ? "group_member_changed" : "group_member_not_changed",
            {{"added", change.add.host_port},
             {"removed", change.remove.host_port},
             {"reason", result ? "" : result.error().message}});
      });
}

}  // namespace chicoryvale
