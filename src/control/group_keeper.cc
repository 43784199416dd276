#include "control/group_keeper.h"

#include <algorithm>

#include "replication/membership_plan.h"

namespace chicoryvale {
namespace {

/// A plan is made only if it stands for two looks, so that a VM whose news is
/// still under way is not taken for a gone one.
constexpr Duration kLookPeriod = milliseconds(700);

bool IsGone(MemberState state) {
  return state != MemberState::kAlive && state != MemberState::kSuspect;
}

}  // namespace

std::optional<KeeperChange> PlanGroupChange(const std::vector<Member>& members,
                                            const GroupMembership& group) {
  const auto newcomer =
      std::ranges::find_if(members, [&](const Member& member) {
        return member.info.role == MemberRole::kControl &&
               member.state == MemberState::kAlive &&
               FindMemberAt(group, member.info.address) == nullptr;
      });
  if (newcomer == members.end()) return std::nullopt;
  KeeperChange change;
  change.add = newcomer->info.address;
  for (const GroupMember& voter : group.members) {
    if (!voter.voter) continue;
    const auto seen = std::ranges::find_if(members, [&](const Member& member) {
      return member.info.address == voter.address;
    });
    if (seen != members.end() && IsGone(seen->state)) {
      change.remove = voter.address;
      return change;
    }
  }
  if (group.members.size() >= kMaxVoters) return std::nullopt;
  return change;
}

void GroupKeeper::Start() {
  m_timer = m_ports.scheduler->Schedule(kLookPeriod, [this] { Tick(); });
}

void GroupKeeper::Tick() {
  m_timer = m_ports.scheduler->Schedule(kLookPeriod, [this] { Tick(); });
  const ReplicaStatus status = m_status();
  if (status.role != ReplicaRole::kLeader || m_changing) return;
  const auto plan =
      PlanGroupChange(m_ports.members->Members(), status.membership);
  const bool stands = plan && plan == m_planned;
  m_planned = plan;
  if (!stands) return;
  m_changing = true;
  m_ports.group->ChangeMember(
      plan->remove, plan->add,
      [this, change = *plan](const Result<std::uint64_t>& done) {
        m_changing = false;
        m_ports.log->Write(
            done ? LogLevel::kInfo : LogLevel::kWarning,
            done ? "group_member_changed" : "group_member_not_changed",
            {{"added", change.add.host_port},
             {"removed", change.remove.host_port},
             {"reason", done ? "" : done.error().message}});
      });
}

}  // namespace chicoryvale
