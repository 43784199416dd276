#include "control/control_group_reconciler.h"

#include <algorithm>
#include <string>

#include "replication/membership_plan.h"

namespace chicoryvale {
namespace {

/// Time between two plans. A change is made only if two consecutive plans agree
/// on it. A VM whose latest state arrives at most one period late is therefore
/// not mistaken for an unavailable one.
constexpr Duration kReconcilePeriod = milliseconds(700);

/// A lost voter is removed only from groups of at least this many voters. A
/// group of two has no quorum without it.
constexpr std::size_t kMinVotersToShrink = 4;

/// Time for which a VM that could not be added is not tried again, so that
/// others are, and other changes are made.
constexpr Duration kUnresponsiveAvoidTime = seconds(3);

/// Returns whether a member in `state` is dead, has left or lost its lease.
bool IsUnavailable(MemberState state) {
  return state != MemberState::kAlive && state != MemberState::kSuspect;
}

/// The members of a control group, with what is known of their availability.
class GroupView {
 public:
  GroupView(const std::vector<Member>& members, const GroupMembership& group,
            const std::vector<NodeId>& silent_members,
            const std::set<Address>& unresponsive_vms)
      : m_members(members),
        m_group(group),
        m_silent_members(silent_members),
        m_unresponsive_vms(unresponsive_vms) {}

  [[nodiscard]] std::optional<Address> FindNewControlVm() const {
    const auto found =
        std::ranges::find_if(m_members, [this](const Member& member) {
          return member.info.role == MemberRole::kControl &&
                 member.state == MemberState::kAlive &&
                 !m_unresponsive_vms.contains(member.info.address) &&
                 FindMemberAt(m_group, member.info.address) == nullptr;
        });
    if (found == m_members.end()) return std::nullopt;
    return found->info.address;
  }

  [[nodiscard]] std::optional<Address> FindLostVoter() const {
    return FindLost([](const GroupMember& member) { return member.voter; });
  }

  /// Skips a learner that has the address of a voter, which it replaces because
  /// the VM lost its disk.
  [[nodiscard]] std::optional<Address> FindLostLearner() const {
    return FindLost([this](const GroupMember& member) {
      return !member.voter && FindMemberAt(m_group, member.address) == &member;
    });
  }

 private:
  [[nodiscard]] bool IsLost(const GroupMember& member) const {
    if (std::ranges::count(m_silent_members, member.node_id) > 0) return true;
    const auto known =
        std::ranges::find_if(m_members, [&member](const Member& candidate) {
          return candidate.info.address == member.address;
        });
    return known != m_members.end() && IsUnavailable(known->state);
  }

  template <typename Predicate>
  [[nodiscard]] std::optional<Address> FindLost(Predicate predicate) const {
    const auto found =
        std::ranges::find_if(m_group.members, [&](const GroupMember& member) {
          return predicate(member) && IsLost(member);
        });
    if (found == m_group.members.end()) return std::nullopt;
    return found->address;
  }

  const std::vector<Member>& m_members;
  const GroupMembership& m_group;
  const std::vector<NodeId>& m_silent_members;
  const std::set<Address>& m_unresponsive_vms;
};

}  // namespace

std::optional<GroupChangePlan> PlanGroupChange(
    const std::vector<Member>& members, const GroupMembership& group,
    const std::vector<NodeId>& silent_members,
    const std::set<Address>& unresponsive_vms) {
  const GroupView view(members, group, silent_members, unresponsive_vms);
  const auto new_vm = view.FindNewControlVm();
  const auto lost_voter = view.FindLostVoter();
  if (new_vm && lost_voter) return GroupChangePlan{*lost_voter, *new_vm};
  if (new_vm && group.members.size() < kMaxVoters) {
    return GroupChangePlan{{}, *new_vm};
  }
  const std::size_t voters = CountVoters(group);
  if (lost_voter && voters % 2 == 0 && voters >= kMinVotersToShrink) {
    return GroupChangePlan{*lost_voter, {}};
  }
  const auto lost_learner = view.FindLostLearner();
  if (lost_learner) return GroupChangePlan{*lost_learner, {}};
  return std::nullopt;
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
  const auto plan = Plan(status);
  const bool is_confirmed = plan && plan == m_last_plan;
  m_last_plan = plan;
  if (is_confirmed) MakeChange(*plan, status);
}

std::optional<GroupChangePlan> ControlGroupReconciler::Plan(
    const ReplicaStatus& status) {
  const TimePoint now = m_dependencies.scheduler->Now();
  std::erase_if(m_unresponsive_until,
                [now](const auto& entry) { return entry.second <= now; });
  std::set<Address> unresponsive_vms;
  for (const auto& [address, until] : m_unresponsive_until) {
    unresponsive_vms.insert(address);
  }
  return PlanGroupChange(m_dependencies.members->Members(), status.membership,
                         status.silent_members, unresponsive_vms);
}

// The next plan is made at once: the loss that it answers is confirmed.
void ControlGroupReconciler::OnChangeFailed(const GroupChangePlan& change) {
  if (change.add.host_port.empty()) return;
  m_unresponsive_until[change.add] =
      m_dependencies.scheduler->Now() + kUnresponsiveAvoidTime;
  const ReplicaStatus status = m_status();
  if (status.role != ReplicaRole::kLeader) return;
  const auto plan = Plan(status);
  const bool replaces_the_same = plan && plan->remove == change.remove;
  if (replaces_the_same) MakeChange(*plan, status);
}

void ControlGroupReconciler::MakeChange(const GroupChangePlan& change,
                                        const ReplicaStatus& status) {
  m_change_in_flight = true;
  m_dependencies.group->ChangeMember(
      change.remove, change.add,
      [this, change, voters = CountVoters(status.membership),
       silent =
           status.silent_members.size()](const Result<std::uint64_t>& result) {
        m_change_in_flight = false;
        m_dependencies.log->Write(
            result ? LogLevel::kInfo : LogLevel::kWarning,
            result ? "group_member_changed" : "group_member_not_changed",
            {{"added", change.add.host_port},
             {"removed", change.remove.host_port},
             {"voters_before", std::to_string(voters)},
             {"silent_members", std::to_string(silent)},
             {"reason", result ? "" : result.error().message}});
        const bool has_no_reply =
            !result && result.error().kind == ErrorKind::kUpstreamUnavailable;
        if (has_no_reply) OnChangeFailed(change);
      });
}

}  // namespace chicoryvale
