#ifndef CHICORYVALE_SRC_CONTROL_GROUP_KEEPER_H_
#define CHICORYVALE_SRC_CONTROL_GROUP_KEEPER_H_

#include <functional>
#include <map>
#include <optional>
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

/// A change of the control group; either address may be empty.
struct KeeperChange {
  Address remove;
  Address add;
  bool operator==(const KeeperChange&) const = default;
};

/// Returns the change that brings `group` closer to the control VMs that
/// `members` shows: a VM that is no member joins, in the place of one that is
/// gone if there is one. A VM that is merely gone stays a member: it may come
/// back, and a smaller group would bear fewer losses. Nothing if there is
/// nothing to do. Thread safe.
std::optional<KeeperChange> PlanGroupChange(const std::vector<Member>& members,
                                            const GroupMembership& group);

/// Keeps the members of the control group, at its leader, where nobody names
/// them: VMs come and go with their addresses. Not thread safe.
class GroupKeeper {
 public:
  using StatusCallback = std::function<ReplicaStatus()>;

  /// What the keeper works with; all outlive it.
  struct Ports {
    Scheduler* scheduler = nullptr;
    const MemberView* members = nullptr;
    ControlGroup* group = nullptr;
    EventLog* log = nullptr;
  };

  GroupKeeper(const Ports& ports, StatusCallback status)
      : m_ports(ports), m_status(std::move(status)) {}
  ~GroupKeeper() { m_ports.scheduler->Cancel(m_timer); }
  GroupKeeper(const GroupKeeper&) = delete;
  GroupKeeper& operator=(const GroupKeeper&) = delete;

  /// Looks after the group from now on.
  void Start();

 private:
  void Tick();

  Ports m_ports;
  StatusCallback m_status;
  TimerId m_timer = 0;
  bool m_changing = false;
  /// A change that was planned at the last tick; made if it still is.
  std::optional<KeeperChange> m_planned;
};

}  // namespace chicoryvale

#endif  // CHICORYVALE_SRC_CONTROL_GROUP_KEEPER_H_
