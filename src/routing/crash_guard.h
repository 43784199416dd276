#ifndef CHICORYVALE_SRC_ROUTING_CRASH_GUARD_H_
#define CHICORYVALE_SRC_ROUTING_CRASH_GUARD_H_

#include <array>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "base/counters.h"
#include "base/time.h"
#include "ports/event_log.h"
#include "ports/member_view.h"
#include "ports/peer_gossip.h"
#include "ports/replica_transport.h"
#include "ports/scheduler.h"
#include "routing/served_requests.h"
#include "upstream/crash_mark_publisher.h"
#include "upstream/crash_quarantine.h"

namespace chicoryvale {

/// Events of a CrashGuard.
enum class CrashGuardCounter : std::uint8_t {
  /// Requests that ended with a lost replica and without a surviving one.
  kRequestsLostWithReplica,
  /// Marked requests that a replica survived.
  kRequestsCleared,
  /// Requests that were not run because they are quarantined.
  kRequestsQuarantined,
  /// Trials of quarantined requests that were served before.
  kTrials,
  /// Quarantines that began at this entry, and those among them whose request
  /// a replica had answered with success before.
  kQuarantinesBegun,
  kServedRequestsQuarantined,
};

template <>
struct CounterNames<CrashGuardCounter> {
  static constexpr std::array<std::string_view, 6> kNames = {
      "requests_lost_with_replica", "requests_cleared",
      "requests_quarantined",       "trials",
      "quarantines_begun",          "served_requests_quarantined"};
};

/// Stops routed requests that crash each replica which runs them, at all
/// entries. A request is marked when it ends with a lost connection to a
/// replica and no replica has answered it; marks are shared by gossip. Resends
/// are recognized by method, host, target and body. A request that replicas
/// have served before is tried again a few times, since it may have been lost
/// with replicas that another request crashed. Not thread safe.
class CrashGuard {
 public:
  /// Ports of the guard. The pointees must outlive it.
  struct Ports {
    Scheduler* scheduler = nullptr;
    PeerGossip* gossip = nullptr;
    EventLog* log = nullptr;
    /// The entries that take turns with trials of quarantined requests.
    MemberView* members = nullptr;
  };

  /// A run of a request, from Begin until it is reported how it ended.
  using Run = CrashQuarantine::RequestRun;

  /// How a run ended.
  struct RunEnd {
    /// Whether a replica answered the request, and whether with success.
    bool survived = false;
    bool succeeded = false;
    /// The replica to which the connection was lost last while it ran the
    /// request, if there is one.
    std::optional<Address> lost_replica;
    /// Whether a replica may have run the request.
    bool may_have_run = false;
  };

  /// `self_id` identifies this run of the process.
  CrashGuard(const Ports& ports, std::string self_id);

  /// Starts to merge the marks of other entries.
  void Start();

  /// Returns whether the request may run now.
  bool MayRun(const OpaqueRequest& request);

  /// Returns the time after which the caller of a request that may not run
  /// should retry.
  [[nodiscard]] Duration RetryAfter(const OpaqueRequest& request) const;

  /// Begins a run of the request; returns nothing if it may not run. A run of a
  /// marked request should go to one replica before it goes to many, and a
  /// trial to one replica only until that has answered.
  std::optional<Run> Begin(const OpaqueRequest& request);

  /// Records how a run of the request ended. A new mark is published at once,
  /// so it precedes the answer to the caller.
  void End(const Run& run, const OpaqueRequest& request, const RunEnd& end);

  /// Returns whether the request has crashed a replica and none has survived it
  /// since.
  [[nodiscard]] bool IsMarked(const OpaqueRequest& request) const;

  /// Records that `replica` answered a send that began at `sent_at`. A loss
  /// shortly before that was a lost connection, not a crash.
  void RecordAnswer(const Address& replica, TimePoint sent_at);

  [[nodiscard]] const CounterSet<CrashGuardCounter>& Counters() const {
    return m_counters;
  }

  /// Returns the key by which resends of the request are recognized.
  static CrashKey KeyOf(const OpaqueRequest& request);

 private:
  void Merge(const GossipItem& item);
  void RecordLoss(const Run& run, const OpaqueRequest& request,
                  const Address& replica);
  void RecordSurvival(const Run& run, const OpaqueRequest& request);
  void RecordQuarantine(std::uint64_t fingerprint);

  Ports m_ports;
  CrashQuarantine m_quarantine;
  CrashMarkPublisher m_publisher;
  ServedRequests m_served;
  CounterSet<CrashGuardCounter> m_counters;
  /// Whether a mark was ever recorded or received. Without one, nothing is
  /// looked up.
  bool m_has_marks = false;
};

}  // namespace chicoryvale

#endif  // CHICORYVALE_SRC_ROUTING_CRASH_GUARD_H_
