#ifndef CHICORYVALE_SRC_CONTROL_CONTROL_GROUP_RECONCILER_H_
#define CHICORYVALE_SRC_CONTROL_CONTROL_GROUP_RECONCILER_H_

#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "base/ids.h"
#include "base/time.h"
#include "ports/control_group.h"
#include "ports/event_log.h"
#include "ports/member_view.h"
#include "ports/scheduler.h"
#include "replication/replica_status.h"

namespace chicoryvale {

/// A planned change of the members of the control group. Either address may be
/// empty.
struct GroupChangePlan {
  Address remove;
  Address add;
  bool operator==(const GroupChangePlan&) const = default;
};

/// Returns the next change that brings `group` in line with the control VMs in
/// `members`, or nullopt if no change is needed. `silent_members` are the
/// members of the group that don't reply to the leader. A member of the group
/// is lost if it is silent, or if `members` reports it as dead or left.
///
/// A live control VM that is not in the group and not in `unresponsive_vms` is
/// added, and replaces a lost voter if there is one. Without such a VM, a lost
/// voter is removed only from a group with an even number of voters, which then
/// tolerates one loss more: its quorum becomes smaller. From an odd number it
/// is not removed, because the group would not tolerate more losses, and
/// entries would be stored on fewer disks. A lost learner is removed; it
/// rejoins when it returns.
///
/// Thread safe.
std::optional<GroupChangePlan> PlanGroupChange(
    const std::vector<Member>& members, const GroupMembership& group,
    const std::vector<NodeId>& silent_members,
    const std::set<Address>& unresponsive_vms = {});

/// Adjusts the members of the control group to the live control VMs, for
/// deployments that do not list the members because VMs are replaced by others
/// with new addresses. Only the leader of the group acts. Not thread safe.
class ControlGroupReconciler {
 public:
  using StatusCallback = std::function<ReplicaStatus()>;

  /// Collaborators of a ControlGroupReconciler. All pointees outlive it.
  struct Dependencies {
    Scheduler* scheduler = nullptr;
    const MemberView* members = nullptr;
    ControlGroup* group = nullptr;
    EventLog* log = nullptr;
  };

  ControlGroupReconciler(const Dependencies& dependencies,
                         StatusCallback status)
      : m_dependencies(dependencies), m_status(std::move(status)) {}
  ~ControlGroupReconciler() { m_dependencies.scheduler->Cancel(m_timer); }
  ControlGroupReconciler(const ControlGroupReconciler&) = delete;
  ControlGroupReconciler& operator=(const ControlGroupReconciler&) = delete;

  /// Starts to check the group periodically, until destruction.
  void Start();

 private:
  void Reconcile();
  [[nodiscard]] std::optional<GroupChangePlan> Plan(
      const ReplicaStatus& status);
  void MakeChange(const GroupChangePlan& change, const ReplicaStatus& status);
  void OnChangeFailed(const GroupChangePlan& change);

  Dependencies m_dependencies;
  StatusCallback m_status;
  TimerId m_timer = 0;
  bool m_change_in_flight = false;
  /// The change planned by the last call of Reconcile. It is made once the next
  /// call plans the same one.
  std::optional<GroupChangePlan> m_last_plan;
  /// VMs that could not be added, and until when they are not tried again. The
  /// membership may show a VM as alive that doesn't reply.
  std::map<Address, TimePoint> m_unresponsive_until;
};

}  // namespace chicoryvale

#endif  // CHICORYVALE_SRC_CONTROL_CONTROL_GROUP_RECONCILER_H_
