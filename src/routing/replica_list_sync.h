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
  /// All processes start for the first time.
  bool first_start = false;
};

/// Keeps this entry's list of replicas fresh while few entries read the
/// platform. One entry of the group reads it; one of each zone follows that
/// one, and the others of the zone follow the zone's. Both are found by
/// rendezvous hashing over the members, without agreement: entries whose views
/// differ only read more often than needed. A follower keeps a question open at
/// its source, which answers as soon as it has something newer. An entry whose
/// list has become too old, whatever the cause, reads the platform itself, so
/// a part of the group that is cut off depends on nobody. Answers the load that
/// the group would put on the platform: its calls do not grow with the number
/// of entries. Not thread safe.
class ReplicaListSync {
 public:
  using Listener = std::function<void(const std::vector<ListedReplica>&)>;

  /// What it works with; all outlive it.
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

  /// Sets the function called with each list that differs from the last.
  void SetListener(Listener listener) { m_listener = std::move(listener); }

  /// Sets the time between two reads of the platform, from the next one on.
  void SetPeriod(Duration period) { m_options.period = period; }

  /// Follows or reads from now on.
  void Start();

  [[nodiscard]] const ReplicaList& List() const { return m_list; }

 private:
  /// A follower's question that waits for something newer.
  struct Parked {
    std::uint64_t version = 0;
    TimePoint asked_at{};
    /// Of what the follower holds.
    TimePoint read_at{};
    PeerTransport::Responder respond;
    TimerId timer = 0;
  };

  /// Where the next list comes from.
  struct Source {
    /// Nothing if this entry reads the platform.
    std::optional<Address> entry;
    /// The others of this zone follow this entry.
    bool leads_zone = false;
  };

  void StepAfter(Duration pause);
  void Step();
  [[nodiscard]] Source PickSource() const;
  void DrawSpread();
  [[nodiscard]] bool IsSpared(const Address& entry) const;
  [[nodiscard]] bool MayRead(const Source& source) const;
  [[nodiscard]] Duration TimeUntilStale(const Source& source) const;
  void ReadPlatform();
  void OnPlatformRead(const Result<std::vector<ListedReplica>>& replicas,
                      TimePoint asked_at);
  void Ask(const Address& source, Duration left);
  void OnAnswer(const Address& source, TimePoint asked_at,
                const Result<std::string>& bytes);
  void Spare(const Address& source, const std::string& reason);
  void OnQuestion(const std::string& bytes,
                  const PeerTransport::Responder& respond);
  void AnswerParked();
  void Answer(const Parked& asked) const;
  void OnNewRead(bool changed);
  void NoteSource(const std::string& source);

  Ports m_ports;
  ReplicaListOptions m_options;
  std::mt19937_64 m_random;
  Listener m_listener;
  TimePoint m_started{};
  TimerId m_timer = 0;
  /// Added to the age from which this entry reads the platform itself.
  Duration m_spread{};
  ReplicaList m_list;
  std::list<Parked> m_parked;
  std::map<Address, TimePoint> m_spared_until;
  std::string m_source;
  bool m_platform_failing = false;
  /// The platform just failed to answer: a peer is asked next.
  bool m_peers_first = false;
  /// The last update did not lead to the version that it named.
  bool m_ask_whole = false;
  std::shared_ptr<int> m_alive = std::make_shared<int>(0);
};

}  // namespace chicoryvale

#endif  // CHICORYVALE_SRC_ROUTING_REPLICA_LIST_SYNC_H_
