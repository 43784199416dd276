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

/// Settings of a Membership.
struct MembershipOptions {
  MemberInfo self;
  /// Rises with each start of the process: milliseconds of the wall clock, for
  /// example.
  std::uint64_t incarnation = 1;
  /// Members to join through; any of them suffices. A lease is taken only by
  /// one that knows more than half of them, so that two parts of a group that
  /// started apart do not both take the shares.
  std::vector<Address> seeds;
  std::uint64_t random_seed = 0;
  /// Both outlive the membership.
  Scheduler* scheduler = nullptr;
  DatagramTransport* transport = nullptr;
  FailureDetectorOptions detector;
  LeaseOptions lease;
  Duration gossip_period = milliseconds(200);
  std::size_t gossip_fanout = 2;
  /// News goes out this many times, times the binary logarithm of the size.
  std::uint32_t sends_factor = 3;
  /// Bounds the news in all packets when many members change at once.
  std::uint32_t news_bytes_per_second = 6 * 1024;
  std::uint32_t news_burst_bytes = 12 * 1024;
  Duration sync_period = seconds(3);
  /// Whether this process asks for a lease. One that divides nothing by leases
  /// saves the messages.
  bool keeps_lease = true;
  Duration join_period = seconds(1);
  /// Members that left or whose lease expired are forgotten after this long.
  Duration forget_after = seconds(3600);
  std::size_t max_items_per_kind = 2048;
};

/// This process's part in the group: finds the other members, tells apart who
/// is alive, suspect, dead or gone, keeps the lease, and spreads news. Each
/// node's cost per second is constant at any size of the group, apart from the
/// news itself. Methods of the SWIM protocol: see FailureDetector and
/// GossipQueue; pages of the member list are compared with a random peer, so
/// that news lost by chance arrives too.
/// Not thread safe: used only on the event loop.
class Membership : public MemberView,
                   public PeerGossip,
                   private FailureDetectorHost,
                   private LeaseHost {
 public:
  /// kMalformedRequest for bad options.
  static Result<std::unique_ptr<Membership>> Make(MembershipOptions options);
  ~Membership() override;
  Membership(const Membership&) = delete;
  Membership& operator=(const Membership&) = delete;

  /// Replaces the members to join through.
  void SetSeeds(std::vector<Address> seeds) {
    m_options.seeds = std::move(seeds);
  }

  /// Joins the group and takes part from now on. Called once.
  void Start();

  /// Announces that this process leaves. It goes on spreading the news until
  /// it is destroyed, which should be a few gossip periods later.
  void Leave();

  /// Announces that `id` is gone for good, on an operator's word: its share
  /// may be taken. Does nothing if `id` is unknown or this process.
  void Retire(const std::string& id);

  /// Returns whether the list of members was read whole from a peer.
  [[nodiscard]] bool joined() const { return m_joined; }
  [[nodiscard]] const CounterSet<MembershipCounter>& counters() const {
    return m_counters;
  }
  /// Returns the member `id` as known here, or nullptr. Invalid after the next
  /// change.
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
  /// An item that is sent to many members without waiting for a tick.
  struct UrgentItem {
    GossipItem item;
    std::uint32_t sends_left = 0;
  };

  explicit Membership(MembershipOptions options);

  // FailureDetectorHost and LeaseHost.
  void SendTo(const Member& to, Packet packet) override;
  void SendToAddress(const Address& to, Packet packet) override;
  std::optional<Member> NextProbeTarget() override;
  std::vector<Member> Helpers(std::size_t count,
                              const std::string& except) override;
  [[nodiscard]] std::size_t GroupSize() const override;
  void OnProbeFailed(const Member& target) override;
  void OnSuspicionEnded(const std::string& id) override;
  [[nodiscard]] std::vector<Member> LeaseGroup() const override;
  [[nodiscard]] bool AllHoldersSeen() const override;
  [[nodiscard]] bool KnowsMostSeeds() const;
  void OnLeaseExpired(const std::string& id) override;
  void OnOwnLeaseChanged() override;

  // Receiving.
  void OnDatagram(const Address& from, const std::string& bytes);
  void Dispatch(const Address& from, const Packet& packet);
  void NoteSender(const Address& from, const Packet& packet);
  void Apply(const MemberUpdate& update);
  void ApplyToSelf(const Member& update);
  void ApplyState(const std::string& id, MemberState state);
  void ApplyItem(const GossipItem& item);

  // Sending.
  void Transmit(const Address& to, Packet packet);
  void FillNews(std::size_t used, Packet* packet);
  // Returns the bytes of news that may go out now.
  std::size_t RefillNewsBudget();
  void NoteNews();
  void GossipTick();
  std::vector<Member> NearPeers(std::size_t count);
  // Sends an item to many members without waiting for a tick.
  void SendAtOnce(const GossipItem& item);
  void UrgentTick();
  [[nodiscard]] std::uint32_t MaxSends() const;
  void Announce(MemberState state);

  // Joining and comparing lists.
  void JoinTick();
  void SyncTick();
  void SendSyncRequest(const Address& to);
  void OnSyncRequest(const Address& from, const Packet& packet);
  void OnSyncAnswer(const Address& from, const Packet& packet);
  // Adds the records that follow `cursor`; returns the last id added, or an
  // empty string at the end of the list.
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
  GossipStore m_items;
  GossipQueue m_member_news;
  GossipQueue m_item_news;
  ConfigDigest m_digest;
  std::uint32_t m_digest_sends = 0;
  double m_news_budget_bytes = 0;
  TimePoint m_news_refilled{};
  FailureDetector m_detector;
  LeaseKeeper m_lease;
  CounterSet<MembershipCounter> m_counters;
  std::vector<std::string> m_probe_round;
  std::string m_sync_cursor;
  std::string m_item_cursor;
  TimerId m_join_timer = 0;
  TimerId m_sync_timer = 0;
  TimerId m_gossip_timer = 0;
  TimerId m_notify_timer = 0;
  std::vector<UrgentItem> m_urgent;
  TimerId m_urgent_timer = 0;
  std::vector<Listener> m_listeners;
  std::vector<DigestListener> m_digest_listeners;
  std::vector<ItemListener> m_item_listeners;
};

}  // namespace chicoryvale

#endif  // CHICORYVALE_SRC_MEMBERSHIP_MEMBERSHIP_H_
