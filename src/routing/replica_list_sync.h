#ifndef CHICORYVALE_SRC_ROUTING_REPLICA_LIST_SYNC_H_
#define CHICORYVALE_SRC_ROUTING_REPLICA_LIST_SYNC_H_

#include <cstdint>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <vector>

#include "base/time.h"
#include "ports/event_log.h"
#include "ports/member_view.h"
#include "ports/peer_transport.h"
#include "ports/replica_directory.h"
#include "ports/scheduler.h"
#include "routing/replica_list.h"

namespace chicoryvale {

/// Settings of a ReplicaListSync.
struct ReplicaListOptions {
  /// Time between two reads of the platform.
  Duration period = seconds(1);
  /// Time for which replicas continue to serve after they are listed as
  /// draining. A list that may be older is read anew.
  Duration drain_time = seconds(3);
  /// Whether all processes start for the first time.
  bool first_start = false;
};

/// Keeps this entry's list of replicas up to date while only few entries read
/// the platform. One entry of the group, the reader, reads it. One entry of
/// each availability zone, the zone leader, follows the reader. The other
/// entries of the zone follow the zone leader or, in a large zone, each other
/// in a tree below it. All are chosen by rendezvous hashing over the members,
/// without agreement: entries with different views of the members only cause
/// more reads than necessary. A follower keeps a request
/// pending at its source, which replies as soon as it has a newer list. An
/// entry whose list becomes too old, whatever the cause, reads the platform
/// itself, so a partitioned part of the group does not depend on the rest. The
/// load on the platform does not grow with the number of entries. Not thread
/// safe.
class ReplicaListSync {
 public:
  using Listener = std::function<void(const std::vector<ListedReplica>&)>;

  /// Ports that the class uses; all outlive it.
  struct Ports {
    Scheduler* scheduler = nullptr;
    ReplicaDirectory* directory = nullptr;
    PeerTransport* peers = nullptr;
    MemberView* members = nullptr;
    EventLog* log = nullptr;
  };

  ReplicaListSync(const Ports& ports, const ReplicaListOptions& options,
                  std::uint64_t seed);
  ~ReplicaListSync();
  ReplicaListSync(const ReplicaListSync&) = delete;
  ReplicaListSync& operator=(const ReplicaListSync&) = delete;

  /// Sets the function that is called with each list whose content differs from
  /// that of the previous one.
  void SetListener(Listener listener) { m_listener = std::move(listener); }

  /// Sets the function that is called when the list was read again and its
  /// content has not changed.
  void SetConfirmListener(std::function<void()> listener) {
    m_confirm_listener = std::move(listener);
  }

  /// Sets the time between two reads of the platform, which applies after the
  /// next read, and the drain time.
  void SetTimes(Duration period, Duration drain_time) {
    m_options.period = period;
    m_options.drain_time = drain_time;
  }

  /// Starts to follow a source or to read the platform. Called once.
  void Start();

  [[nodiscard]] const ReplicaList& List() const { return m_list; }

 private:
  /// A request of a follower that is pending until there is a newer list.
  struct Request {
    std::uint64_t version = 0;
    TimePoint received_at{};
    /// When the platform was asked for the list of the follower.
    TimePoint read_at{};
    PeerTransport::Responder respond;
    TimerId timer = 0;
  };

  /// Source of the next list.
  struct Source {
    /// The entry to follow; absent if this entry is the reader.
    std::optional<Address> entry;
    /// Number of entries of the own zone through which lists reach this one; 0
    /// if it is the zone leader.
    std::uint32_t depth = 0;
    [[nodiscard]] bool IsZoneLeader() const { return depth == 0; }
    /// Whether this entry knows no other entry.
    bool is_alone = false;
  };

  void ScheduleRefresh(Duration delay);
  void Refresh();
  [[nodiscard]] Source PickSource();
  void DrawReadSpread();
  [[nodiscard]] Duration MaxReadSpread() const;
  [[nodiscard]] bool IsAvoided(const Address& entry) const;
  [[nodiscard]] bool MayReadPlatform(const Source& source) const;
  [[nodiscard]] Duration TimeUntilStale(const Source& source) const;
  void ReadPlatform();
  void OnPlatformRead(const Result<std::vector<ListedReplica>>& replicas,
                      TimePoint asked_at);
  void SendRequest(const Address& source, Duration time_until_stale);
  void OnReply(const Address& source, TimePoint asked_at,
               const Result<std::string>& bytes);
  void AvoidSource(const Address& source, const std::string& reason);
  void OnRequest(const std::string& bytes,
                 const PeerTransport::Responder& respond);
  void ReplyToPending();
  void Reply(const Request& request) const;
  void OnNewerList(bool content_changed);
  void RecordSource(const std::string& source);

  Ports m_ports;
  ReplicaListOptions m_options;
  std::mt19937_64 m_random;
  Listener m_listener;
  std::function<void()> m_confirm_listener;
  TimePoint m_started{};
  /// Time after the start before which this entry does not read the platform
  /// while it knows no other entry.
  Duration m_alone_delay{};
  /// Number of entries that could be the source, and when it last changed.
  std::size_t m_entry_count = 0;
  TimePoint m_entry_count_changed_at{};
  TimerId m_timer = 0;
  /// Added to the maximum age of the list, so that entries read the platform
  /// one after the other.
  Duration m_read_spread{};
  ReplicaList m_list;
  std::list<Request> m_pending;
  std::map<Address, TimePoint> m_avoided_until;
  std::string m_source;
  bool m_platform_failing = false;
  /// The last read of the platform failed, other than by overload, so the next
  /// request goes to a peer.
  bool m_prefer_peer = false;
  /// The last update did not lead to its stated version, so the next request
  /// asks for the full list.
  bool m_request_full_list = false;
  std::shared_ptr<int> m_alive = std::make_shared<int>(0);
};

}  // namespace chicoryvale

#endif  // CHICORYVALE_SRC_ROUTING_REPLICA_LIST_SYNC_H_
