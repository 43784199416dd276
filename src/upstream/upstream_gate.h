#ifndef CHICORYVALE_SRC_UPSTREAM_UPSTREAM_GATE_H_
#define CHICORYVALE_SRC_UPSTREAM_UPSTREAM_GATE_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include "base/counters.h"
#include "config/cluster_config.h"
#include "ports/member_view.h"
#include "ports/replica_gate.h"
#include "ports/scheduler.h"
#include "upstream/availability_tracker.h"
#include "upstream/connection_share.h"
#include "upstream/crash_quarantine.h"
#include "upstream/deferred_requests.h"
#include "upstream/outcome_recorder.h"
#include "upstream/replica_picker.h"
#include "upstream/replica_set.h"
#include "upstream/replica_table.h"
#include "upstream/upstream_counters.h"

namespace chicoryvale {

/// What an UpstreamGate is made of.
struct UpstreamGateOptions {
  /// Not owned; must outlive the gate.
  Scheduler* scheduler = nullptr;
  std::uint64_t seed = 0;
  /// Zone of this process.
  std::string availability_zone;
  /// Requests that may wait for one shard.
  std::size_t queue_capacity = 256;
  ReplicaSettings replica;
  ConcurrencyLimitSettings limit;
  ReplicaPickerSettings picker;
  AvailabilitySettings availability;
  CrashSettings crash;
  ConnectionShareSettings share;
  ConnectionMonitorSettings monitor;
};

/// Chooses the replica of each attempt and bounds the attempts in flight at
/// each replica. When all replicas of a shard are at their limit, requests
/// wait in order of deadline. Not thread safe: used only on the event loop.
class UpstreamGate : public ReplicaGate {
 public:
  /// Returns a gate without configuration, or nullptr if there is no scheduler
  /// or no place in the queue.
  static std::unique_ptr<UpstreamGate> Make(const UpstreamGateOptions& options);

  ~UpstreamGate() override;
  UpstreamGate(const UpstreamGate&) = delete;
  UpstreamGate& operator=(const UpstreamGate&) = delete;

  /// Takes a configuration into use. Replicas that stay keep their state;
  /// requests that wait for a shard that is gone are refused. Not to be called
  /// from within a request's callback.
  void ApplyConfig(const ClusterConfig& config);

  /// Takes the members of the group, on which this process's part of the
  /// replicas' connections depends; to be called after each change.
  void UpdateMembers(const MemberView& view);

  /// Returns the connections that this process may have open at `replica`.
  [[nodiscard]] ConnectionBudget BudgetFor(const Address& replica);

  /// Returns what is known of leaving replicas, for the platform's list,
  /// health probes and gossip.
  [[nodiscard]] AvailabilityTracker* Availability() { return &m_availability; }

  /// Returns the marks of requests that crash upstreams, for gossip.
  [[nodiscard]] CrashQuarantine* Quarantine() { return &m_quarantine; }

  /// Takes a mark from another process.
  void MergeCrashMark(const CrashMark& mark);

  /// Sets the function called when the end of an attempt changed availability
  /// signals or marks, before the caller of the attempt hears of it.
  void SetChangeListener(std::function<void()> listener) {
    m_change_listener = std::move(listener);
  }

  [[nodiscard]] const CounterSet<UpstreamCounter>& Counters() const {
    return m_counters;
  }

  /// Sets the function called when the kept connections of a replica were found
  /// silent: idle ones are to be closed.
  void SetDeadConnectionListener(std::function<void(const Address&)> listener) {
    m_dead_connection_listener = std::move(listener);
  }

  /// Returns the requests in flight from here at `replica`.
  [[nodiscard]] std::uint32_t InFlight(const Address& replica);

  /// Returns the requests that wait for a shard.
  [[nodiscard]] std::size_t Waiting(const std::string& service,
                                    ShardId shard) const;

 protected:
  void OnRequest(const AttemptSpec& spec, GateTicket ticket,
                 Callback callback) override;
  void OnFinish(GateTicket ticket, const SubOutcome& outcome,
                Duration elapsed) override;
  void OnAbandon(GateTicket ticket, Duration elapsed) override;

 private:
  using SetPointer = std::shared_ptr<ReplicaSet>;

  /// A request between OnRequest and its end.
  struct Attempt {
    /// Set while in flight.
    Replica* replica = nullptr;
    /// Set while it waits.
    SetPointer waits_in;
    TimePoint deadline{};
    TimePoint sent_at{};
    bool fresh_connection = false;
    CrashQuarantine::Run run;
  };

  explicit UpstreamGate(const UpstreamGateOptions& options);

  /// Asks the quarantine; returns whether the attempt may go on now.
  bool AdmitRun(const AttemptSpec& spec, const ReplicaSet& set,
                GateTicket ticket, const Callback& callback);
  /// Finds a replica for an admitted attempt.
  void Place(const AttemptSpec& spec, const SetPointer& set, GateTicket ticket,
             Callback callback);
  PickResult PickFor(const AttemptSpec& spec, const ReplicaSet& set,
                     GateTicket ticket);
  void ResumeDeferred(std::uint64_t fingerprint);
  void ResumeReady();
  /// Ends an attempt that gets no replica.
  void EndUnplaced(GateTicket ticket);
  void EndRun(const Attempt& attempt, RunEnd end);
  void Dispatch(const PickResult& pick, const SetPointer& set,
                GateTicket ticket, const Callback& callback);
  void Enqueue(const AttemptSpec& spec, const SetPointer& set,
               GateTicket ticket, Callback callback);
  void Refuse(UpstreamCounter counter, ErrorKind kind, const char* message,
              const Callback& callback);
  /// Starts all requests of `set` that find a place.
  void Wake(const SetPointer& set);
  void JudgeConnection(const Attempt& attempt, const SubOutcome& outcome,
                       Duration elapsed);
  void NotifyChanges();
  void AfterEnd(Replica* replica);
  void WakeWaiting(Replica* replica);
  [[nodiscard]] bool StartOne(const SetPointer& set);
  void AfterDequeue(const SetPointer& set);
  void ArmExpiry(const SetPointer& set);
  void Expire(const SetPointer& set);

  Scheduler* m_scheduler;
  AvailabilityTracker m_availability;
  ReplicaTable m_table;
  ReplicaPicker m_picker;
  ConnectionShare m_share;
  CrashQuarantine m_quarantine;
  DeferredRequests m_deferred;
  CounterSet<UpstreamCounter> m_counters;
  OutcomeRecorder m_recorder;
  std::function<void(const Address&)> m_dead_connection_listener;
  std::function<void()> m_change_listener;
  std::unordered_map<GateTicket, Attempt> m_attempts;
};

}  // namespace chicoryvale

#endif  // CHICORYVALE_SRC_UPSTREAM_UPSTREAM_GATE_H_
