#ifndef CHICORYVALE_SRC_MEMBERSHIP_MEMBERSHIP_H_
#define CHICORYVALE_SRC_MEMBERSHIP_MEMBERSHIP_H_

#include <array>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "base/counters.h"
#include "chicoryvale/error.h"
#include "membership/failure_detector.h"
#include "membership/gossip_queue.h"
#include "membership/gossip_store.h"
#include "membership/lease_keeper.h"
#include "membership/member_table.h"
#include "membership/packet.h"
#include "ports/member_view.h"
#include "ports/peer_gossip.h"
#include "ports/peer_transport.h"
#include "ports/scheduler.h"

namespace chicoryvale {

enum class MembershipCounter : std::uint8_t {
  kPacketsSent,
  kPacketsReceived,
  kBytesSent,
  kMalformedPackets,
  kIdConflicts,
  kProbesFailed,
  kSuspected,
  kDeclaredDead,
  kRefuted,
  kLeasesExpired,
  kOwnLeaseLost,
  kItemsEvicted,
  kMembersForgotten,
};

template <>
struct CounterNames<MembershipCounter> {
  static constexpr std::array<std::string_view, 13> kNames = {
      "membership_packets_sent",      "membership_packets_received",
      "membership_bytes_sent",        "membership_malformed_packets",
      "membership_id_conflicts",      "membership_probes_failed",
      "membership_suspected",         "membership_declared_dead",
      "membership_refuted",           "membership_leases_expired",
      "membership_own_lease_lost",    "membership_items_evicted",
      "membership_members_forgotten",
  };
};

/// Settings and dependencies of a Membership.
struct MembershipOptions {
  MemberInfo self;
  /// Initial incarnation. It must increase with each start of the process, for
  /// example by using the wall clock in milliseconds.
  std::uint64_t incarnation = 1;
  /// Members to join through; any one of them suffices. A member acquires a
  /// lease only if it knows more than half of them, so that two partitions that
  /// formed independently do not both acquire the shares.
  std::vector<Address> seeds;
  std::uint64_t random_seed = 0;
  /// The scheduler and the transport outlive the membership.
  Scheduler* scheduler = nullptr;
  DatagramTransport* transport = nullptr;
  FailureDetectorOptions detector;
  LeaseOptions lease;
  Duration gossip_period = milliseconds(200);
  std::size_t gossip_fanout = 2;
  /// Each update is sent this many times, multiplied by the number of bits of
  /// the group size.
  std::uint32_t gossip_sends_factor = 3;
  /// Rate and burst limits of the gossip piggybacked on all packets, which
  /// apply when many members change at once.
  std::uint32_t gossip_bytes_per_second = 6 * 1024;
  std::uint32_t gossip_burst_bytes = 12 * 1024;
  /// Period of the anti-entropy synchronization with a random peer.
  Duration sync_period = seconds(3);
  /// Whether this process requests a lease. A process that divides no limit
  /// between leases disables this to save the messages.
  bool keeps_lease = true;
  /// Period of the attempts to join until the first one has succeeded, and of
  /// later ones with seeds that are not among the live members.
  Duration join_period = milliseconds(300);
  Duration rejoin_period = seconds(10);
  /// Members that left or whose lease expired are removed after this time.
  Duration remove_after = seconds(3600);
  std::size_t max_items_per_kind = 2048;
};

/// Group membership of this process: discovers the other members, tracks which
/// of them are alive, suspect, dead or left, renews the lease and gossips
/// updates. The cost per member and second does not depend on the group size,
/// apart from the updates themselves. Implements the SWIM protocol, see
/// FailureDetector and GossipQueue. In addition, pages of the member list are
/// compared with a random peer (anti-entropy), so that updates arrive even if
/// all datagrams that carried them were lost.
/// Not thread safe: used only on the event loop.
class Membership : public MemberView,
                   public PeerGossip,
                   private FailureDetectorHost,
                   private LeaseHost {
 public:
  /// Returns kMalformedRequest if the options are invalid.
  static Result<std::unique_ptr<Membership>> Make(MembershipOptions options);
  ~Membership() override;
  Membership(const Membership&) = delete;
  Membership& operator=(const Membership&) = delete;

  /// Replaces the members to join through.
  void SetSeeds(std::vector<Address> seeds) {
    m_options.seeds = std::move(seeds);
  }

  /// Joins the group. Must be called only once.
  void Start();

  /// Announces that this process leaves the group. The announcement is gossiped
  /// until the object is destroyed, which should be a few gossip periods later.
  void Leave();

  /// Returns whether the complete member list has been received from a peer.
  [[nodiscard]] bool joined() const { return m_joined; }
  [[nodiscard]] const CounterSet<MembershipCounter>& counters() const {
    return m_counters;
  }
  /// Returns the local record of member `id`, or nullptr if it is unknown. The
  /// pointer is invalid after the next change of the members.
  [[nodiscard]] const Member* Find(const std::string& id) const;

 protected:
  [[nodiscard]] std::vector<Member> OnMembers() const override;
  [[nodiscard]] const MemberInfo& OnSelf() const override;
  [[nodiscard]] bool OnOwnLeaseHeld() const override;
  void OnAddListener(Listener listener) override;
  void OnSetOwnDigest(const ConfigDigest& digest) override;
  void OnAddDigestListener(DigestListener listener) override;
  void OnPublish(const GossipItem& item) override;
  void OnAddItemListener(ItemListener listener) override;
  [[nodiscard]] std::vector<GossipItem> OnItems(GossipKind kind) const override;
  std::vector<MemberInfo> OnRandomPeers(std::size_t count) override;

 private:
  /// An item that is sent to many members without waiting for a gossip period.
  struct UrgentItem {
    GossipItem item;
    std::uint32_t sends_left = 0;
  };

  explicit Membership(MembershipOptions options);

  // FailureDetectorHost and LeaseHost.
  void SendTo(const Member& to, Packet packet) override;
  void SendToAddress(const Address& to, Packet packet) override;
  std::optional<Member> NextProbeTarget() override;
  std::vector<Member> ChooseHelpers(std::size_t count,
                                    const std::string& excluded_id) override;
  [[nodiscard]] std::size_t GroupSize() const override;
  void OnProbeFailed(const Member& target) override;
  void OnSuspicionTimeout(const std::string& id) override;
  [[nodiscard]] std::vector<Member> LeaseGroup() const override;
  [[nodiscard]] bool AreAllShareHoldersReachable() const override;
  [[nodiscard]] bool KnowsMajorityOfSeeds() const;
  void OnLeaseExpired(const std::string& id) override;
  void OnOwnLeaseChanged() override;

  // Receiving packets.
  void OnDatagram(const Address& from, const std::string& bytes);
  void Dispatch(const Address& from, const Packet& packet);
  // Applies the sender's record and sends the sender its record if it is
  // accused.
  void UpdateSender(const Address& from, const Packet& packet);
  void Apply(const MemberUpdate& update);
  void ApplyToSelf(const Member& update);
  void ApplyState(const std::string& id, MemberState state);
  void ApplyItem(const GossipItem& item);

  // Sending packets.
  void Transmit(const Address& to, Packet packet);
  // Adds pending updates to `packet`, which already takes `used_bytes`.
  void PiggybackGossip(std::size_t used_bytes, Packet* packet);
  // Refills the gossip budget and returns how many bytes may be sent now.
  std::size_t RefillGossipBudget();
  void ScheduleGossip();
  void GossipTick();
  // Returns up to `count` random live members, mostly of the own zone.
  std::vector<Member> ChooseGossipPeers(std::size_t count);
  // Sends an item to many members without waiting for a gossip period.
  void SendUrgently(const GossipItem& item);
  void SendUrgentItems();
  [[nodiscard]] std::uint32_t MaxSends() const;
  void Announce(MemberState state);

  // Joining and synchronizing the member list.
  void JoinTick();
  void SyncTick();
  void SendSyncRequest(const Address& to);
  void OnSyncRequest(const Address& from, const Packet& packet);
  void OnSyncAnswer(const Address& from, const Packet& packet);
  // Adds a page of the records that follow `cursor` to `packet`. Returns the
  // last id added, or an empty string at the end of the list.
  std::string FillPage(const std::string& cursor, Packet* packet) const;

  void NotifyListeners();
  [[nodiscard]] std::uint32_t LeaseGroupOf(const std::string& id) const;

  MembershipOptions m_options;
  Scheduler* m_scheduler;
  std::mt19937_64 m_random;
  Member m_self;
  bool m_leaving = false;
  bool m_joined = false;
  MemberTable m_table;
  GossipStore m_item_store;
  GossipQueue m_member_gossip;
  GossipQueue m_item_gossip;
  /// Digest of the own configuration, which each packet carries.
  ConfigDigest m_own_digest;
  /// Number of packets with the new digest that are still to be gossiped.
  std::uint32_t m_digest_sends_left = 0;
  double m_gossip_budget_bytes = 0;
  TimePoint m_gossip_budget_refilled_at{};
  FailureDetector m_detector;
  LeaseKeeper m_lease;
  CounterSet<MembershipCounter> m_counters;
  /// Ids of the members that are still to be probed in the current round.
  std::vector<std::string> m_probe_round;
  /// Id that precedes the next page of members to synchronize, and key of the
  /// last item that was added to a synchronization request.
  std::string m_sync_cursor;
  std::string m_item_cursor;
  TimerId m_join_timer = 0;
  TimerId m_sync_timer = 0;
  TimerId m_gossip_timer = 0;
  TimerId m_notify_timer = 0;
  std::vector<UrgentItem> m_urgent_items;
  TimerId m_urgent_timer = 0;
  std::vector<Listener> m_listeners;
  std::vector<DigestListener> m_digest_listeners;
  std::vector<ItemListener> m_item_listeners;
};

}  // namespace chicoryvale

#endif  // CHICORYVALE_SRC_MEMBERSHIP_MEMBERSHIP_H_
