#ifndef CHICORYVALE_SRC_MEMBERSHIP_LEASE_KEEPER_H_
#define CHICORYVALE_SRC_MEMBERSHIP_LEASE_KEEPER_H_

#include <cstdint>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "base/time.h"
#include "membership/packet.h"
#include "ports/member_view.h"
#include "ports/scheduler.h"

namespace chicoryvale {

/// Durations of the leases. They must be equal on all members.
struct LeaseOptions {
  /// The entries of one availability zone are split into this many lease groups
  /// by the hash of their ids, which keeps the cost of a lease constant.
  std::uint32_t groups_per_zone = 1;
  Duration renew_period = seconds(2);
  /// Time for which a holder uses a granted lease, counted from the sending of
  /// its request.
  Duration holder_duration = seconds(9);
  /// Time for which a granter keeps a grant in force, counted from the receipt
  /// of the request. It exceeds `holder_duration` by more than the difference
  /// in the clocks' rates.
  Duration granter_duration = seconds(10);
  /// A new lease is used only after all share holders have been reachable for
  /// this long, so that all of them have learned of it. It exceeds the time
  /// that the failure detector needs to notice a network partition.
  Duration settle_duration = seconds(15);
};

/// Interface through which a LeaseKeeper uses the group.
class LeaseHost {
 public:
  virtual ~LeaseHost() = default;
  /// Returns the other entries of the own lease group that hold their share,
  /// without this process.
  [[nodiscard]] virtual std::vector<Member> LeaseGroup() const = 0;
  /// Returns false if a share holder may be unknown or is believed dead. Such a
  /// member may be partitioned from this process and unaware of new members.
  [[nodiscard]] virtual bool AreAllShareHoldersReachable() const = 0;
  virtual void SendTo(const Member& to, Packet packet) = 0;
  /// Called when a quorum of the lease group has no grant in force for `id`.
  /// Other members may take over its share from now on.
  virtual void OnLeaseExpired(const std::string& id) = 0;
  /// Called when the own lease has been acquired or was found to be lost.
  virtual void OnOwnLeaseChanged() = 0;
};

/// Renews the lease of this process and grants the leases of the other entries
/// in the same lease group. A lease is held while a quorum of the group (more
/// than half, or half including the smallest id) has granted a request that was
/// sent less than `holder_duration` ago. A lease is reported as expired when
/// the grants of a quorum have expired; those members then refuse further
/// requests of its epoch. Any two quorums share a member, so a holder stops
/// using its share before others take it over. A lease that is new or was lost
/// before has to settle first, so that members that took over the share, or
/// never knew of its holder, learn of it. Source: Gray and Cheriton, "Leases",
/// 1989. Not thread safe: used only on the event loop.
class LeaseKeeper {
 public:
  /// `scheduler` and `host` outlive the keeper. `epoch` increases with each
  /// start of the process.
  LeaseKeeper(LeaseOptions options, std::string self_id, std::uint64_t epoch,
              Scheduler* scheduler, LeaseHost* host);
  ~LeaseKeeper();
  LeaseKeeper(const LeaseKeeper&) = delete;
  LeaseKeeper& operator=(const LeaseKeeper&) = delete;

  /// Starts requesting the lease.
  void Start();

  /// Returns whether the own lease is in force and has settled.
  [[nodiscard]] bool IsHeld() const;

  /// Stops holding the own lease, without a message to the members that granted
  /// it, and requests a new one with the next epoch.
  void Reset();

  /// `from` is the record of the sender in the member table.
  void OnRequest(const Member& from, const Packet& packet);
  void OnGrant(const Packet& packet);
  void OnRefusal(const Packet& packet);

 private:
  /// A grant that this process issued to another member.
  struct Grant {
    std::uint64_t epoch = 0;
    TimePoint expires_at{};
    /// The grant was reported as expired, so this epoch gets no further grant.
    bool reported_expired = false;
  };

  void Renew();
  [[nodiscard]] bool IsQuorum(const std::set<std::string>& ids) const;
  // Computes how long the own lease is held from the grants received.
  void UpdateHeldUntil();
  // Marks the grants to dead members that have expired, and returns them.
  std::vector<ExpiredGrant> FindExpiredGrants();
  // Reports the leases that a quorum has seen expire, and removes the state of
  // members that left the lease group.
  void ReportExpiredLeases();
  // Postpones the settling of the own lease while a share holder is
  // unreachable.
  void UpdateSettledAt();
  void NotifyIfHeldChanged();

  LeaseOptions m_options;
  std::string m_self_id;
  std::uint64_t m_epoch;
  Scheduler* m_scheduler;
  LeaseHost* m_host;
  TimerId m_timer = 0;
  TimePoint m_started_at{};
  std::uint64_t m_last_sequence = 0;
  TimePoint m_last_sent_at{};
  /// Send times, by sequence, of the requests that may still be granted.
  std::map<std::uint64_t, TimePoint> m_sent_at;
  /// Send time of the last request that each granter granted.
  std::map<std::string, TimePoint> m_granted;
  /// The lease group at the last renewal, without this process.
  std::vector<Member> m_lease_group;
  TimePoint m_held_until{};
  TimePoint m_settled_at = TimePoint::max();
  bool m_notified_held = false;
  std::map<std::string, Grant> m_issued_grants;
  /// Ids of the members whose grants expired, by the id of the lease holder.
  std::map<std::string, std::set<std::string>> m_votes;
};

}  // namespace chicoryvale

#endif  // CHICORYVALE_SRC_MEMBERSHIP_LEASE_KEEPER_H_
