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

/// Times of the leases; equal at all members.
struct LeaseOptions {
  /// Entries of one availability zone are split into this many lease groups by
  /// the hash of their id, so that the cost of a lease stays constant.
  std::uint32_t groups_per_zone = 1;
  Duration renew_period = seconds(2);
  /// A holder counts from the sending of its request.
  Duration holder_time = seconds(9);
  /// A granter counts from the receipt of the request. It is longer than
  /// `holder_time` by more than the clocks' rates differ.
  Duration granter_time = seconds(10);
  /// A new lease is used only after no holder of a share was unseen for this
  /// long, so that all of them know of the new one. It is longer than the
  /// failure detector takes to notice a cut.
  Duration settle_time = seconds(15);
};

/// What a LeaseKeeper needs of the group.
class LeaseHost {
 public:
  virtual ~LeaseHost() = default;
  /// Returns the entries of the own lease group whose share is their own,
  /// without this process.
  [[nodiscard]] virtual std::vector<Member> LeaseGroup() const = 0;
  /// Returns whether no member that holds a share may be unknown or is believed
  /// dead: it may be cut off and know nothing of new members.
  [[nodiscard]] virtual bool AllHoldersSeen() const = 0;
  virtual void SendTo(const Member& to, Packet packet) = 0;
  /// A quorum of the group has no grant in force for `id`, whose share may be
  /// taken now.
  virtual void OnLeaseExpired(const std::string& id) = 0;
  /// The own lease was taken or found lost.
  virtual void OnOwnLeaseChanged() = 0;
};

/// Keeps the own lease and judges those of the other entries in the same lease
/// group. A lease holds while a quorum of the group (more than half, or half
/// with the smallest id) granted a request sent less than `holder_time` ago; it
/// is reported as expired when a quorum has seen its own grants run out, and
/// these then refuse its epoch. Two quorums share a member, so that a holder
/// gives up before others take. A lease that is new, or was lost before,
/// settles first: members that took the share, or never knew of its holder,
/// learn of it. Source: Gray and Cheriton, "Leases", 1989. Not thread safe:
/// used only on the event loop.
class LeaseKeeper {
 public:
  /// `scheduler` and `host` outlive the keeper. `epoch` rises with each start
  /// of the process.
  LeaseKeeper(LeaseOptions options, std::string self_id, std::uint64_t epoch,
              Scheduler* scheduler, LeaseHost* host);
  ~LeaseKeeper();
  LeaseKeeper(const LeaseKeeper&) = delete;
  LeaseKeeper& operator=(const LeaseKeeper&) = delete;

  /// Begins to ask for the lease.
  void Start();

  /// Returns whether the own lease holds and has settled.
  [[nodiscard]] bool Held() const;

  /// Gives up the own lease and asks for a new one.
  void Reset();

  /// `from` is the sender as the member table knows it.
  void OnRequest(const Member& from, const Packet& packet);
  void OnGrant(const Packet& packet);
  void OnRefusal(const Packet& packet);

 private:
  struct Grant {
    std::uint64_t epoch = 0;
    TimePoint ends{};
    /// Reported as run out: this epoch gets no further grant.
    bool lapsed = false;
  };

  void Renew();
  [[nodiscard]] bool IsQuorum(const std::set<std::string>& ids) const;
  void CountGrants();
  // Returns the leases that have run out here.
  std::vector<LapsedLease> FindLapsed();
  void CountVotes();
  // Puts the settling off while a holder of a share is unseen.
  void Settle();
  void NoteHeld();

  LeaseOptions m_options;
  std::string m_self_id;
  std::uint64_t m_epoch;
  Scheduler* m_scheduler;
  LeaseHost* m_host;
  TimerId m_timer = 0;
  TimePoint m_started{};
  std::uint64_t m_sequence = 0;
  TimePoint m_sent{};
  /// When the requests were sent that may still be granted, by sequence.
  std::map<std::uint64_t, TimePoint> m_requests;
  /// When the last granted request of each granter was sent.
  std::map<std::string, TimePoint> m_granted;
  /// The lease group at the last renewal.
  std::vector<Member> m_group;
  TimePoint m_held_until{};
  TimePoint m_settled_at = TimePoint::max();
  bool m_reported_held = false;
  std::map<std::string, Grant> m_grants;
  /// Voters by the id of the member whose lease they saw run out.
  std::map<std::string, std::set<std::string>> m_votes;
};

}  // namespace chicoryvale

#endif  // CHICORYVALE_SRC_MEMBERSHIP_LEASE_KEEPER_H_
