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
#include "upstream/deferred_attempts.h"
#include "upstream/outcome_recorder.h"
#include "upstream/replica_picker.h"
#include "upstream/replica_set.h"
#include "upstream/replica_table.h"
#include "upstream/upstream_counters.h"

namespace chicoryvale {

/// Options of an UpstreamGate.
struct UpstreamGateOptions {
  /// Not owned; must outlive the gate.
  Scheduler* scheduler = nullptr;
  std::uint64_t seed = 0;
  /// Availability zone of this process.
  std::string availability_zone;
  /// Maximum number of attempts queued for one shard.
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
/// each replica. When all replicas of a shard are at their limit, attempts are
/// queued in order of their deadline. Not thread safe: used only on the event
/// loop.
class UpstreamGate : public ReplicaGate {
 public:
  /// Returns a gate without configuration, or nullptr if there is no scheduler
  /// or the queue capacity is 0.
  static std::unique_ptr<UpstreamGate> Make(const UpstreamGateOptions& options);

  ~UpstreamGate() override;
  UpstreamGate(const UpstreamGate&) = delete;
  UpstreamGate& operator=(const UpstreamGate&) = delete;

  /// Applies a configuration. Replicas that it still contains keep their state;
  /// attempts queued for a shard that it no longer contains are refused. Must
  /// not be called from within an attempt's callback.
  void ApplyConfig(const ClusterConfig& config);

  /// Recomputes this process's share of the replicas' connections from the
  /// members of the group. To be called after each change of the members.
  void UpdateMembers(const MemberView& view);

  /// Returns the connection budget of this process at `replica`.
  [[nodiscard]] ConnectionBudget BudgetFor(const Address& replica);

  /// Returns the availability of the replicas, to be updated from the
  /// platform's list, health probes and gossip.
  [[nodiscard]] AvailabilityTracker* Availability() { return &m_availability; }

  /// Returns the marks of requests that crash upstreams, for gossip.
  [[nodiscard]] CrashQuarantine* Quarantine() { return &m_quarantine; }

  /// Merges a crash mark received from another process.
  void MergeCrashMark(const CrashMark& mark);

  /// Sets the function called when the end of an attempt changed availability
  /// signals or crash marks. It is called before the caller of the attempt is
  /// notified.
  void SetChangeListener(std::function<void()> listener) {
    m_on_change = std::move(listener);
  }

  [[nodiscard]] const CounterSet<UpstreamCounter>& Counters() const {
    return m_counters;
  }

  /// Sets the function called when the kept connections of a replica were found
  /// dead. The listener has to close the idle ones.
  void SetDeadConnectionListener(std::function<void(const Address&)> listener) {
    m_dead_connection_listener = std::move(listener);
  }

  /// Returns the number of attempts of this process in flight at `replica`.
  [[nodiscard]] std::uint32_t InFlight(const Address& replica);

  /// Returns the number of attempts queued for a shard.
  [[nodiscard]] std::size_t QueueSize(const std::string& service,
                                      ShardId shard) const;

 protected:
  void OnRequest(const AttemptSpec& spec, GateTicket ticket,
                 Callback callback) override;
  void OnFinish(GateTicket ticket, const SubOutcome& outcome,
                Duration elapsed) override;
  void OnAbandon(GateTicket ticket, Duration elapsed) override;

 private:
  using ReplicaSetPtr = std::shared_ptr<ReplicaSet>;

  /// An attempt between OnRequest and its end.
  struct Attempt {
    /// The replica while the attempt is in flight, else nullptr.
    Replica* replica = nullptr;
    /// The replica set while the attempt is queued, else nullptr.
    ReplicaSetPtr queued_in;
    TimePoint deadline{};
    TimePoint sent_at{};
    bool fresh_connection = false;
    CrashQuarantine::Run run;
  };

  explicit UpstreamGate(const UpstreamGateOptions& options);

  /// Asks the quarantine whether the attempt may run; returns true if it may
  /// continue now. Otherwise the attempt was deferred or refused.
  bool AdmitRun(const AttemptSpec& spec, const ReplicaSet& set,
                GateTicket ticket, const Callback& callback);
  /// Sends an admitted attempt to a replica, or queues or refuses it.
  void AssignReplica(const AttemptSpec& spec, const ReplicaSetPtr& set,
                     GateTicket ticket, Callback callback);
  PickResult PickReplica(const AttemptSpec& spec, const ReplicaSet& set,
                         GateTicket ticket);
  void ResumeDeferred(std::uint64_t fingerprint);
  void ResumeReady();
  /// Removes an attempt that gets no replica and ends its quarantine run.
  void EndUnassigned(GateTicket ticket);
  void EndRun(const Attempt& attempt, RunOutcome outcome);
  void Dispatch(const PickResult& pick, const ReplicaSetPtr& set,
                GateTicket ticket, const Callback& callback);
  void Enqueue(const AttemptSpec& spec, const ReplicaSetPtr& set,
               GateTicket ticket, Callback callback);
  void Refuse(UpstreamCounter counter, ErrorKind kind, const char* message,
              const Callback& callback);
  /// Starts queued attempts of `set` while one of them gets a replica.
  void StartQueued(const ReplicaSetPtr& set);
  void UpdateConnectionMonitor(const Attempt& attempt,
                               const SubOutcome& outcome, Duration elapsed);
  void NotifyChanges();
  void OnAttemptEnded(Replica* replica);
  void StartQueuedAt(Replica* replica);
  [[nodiscard]] bool StartNextQueued(const ReplicaSetPtr& set);
  void OnDequeued(const ReplicaSetPtr& set);
  void ScheduleExpiry(const ReplicaSetPtr& set);
  void ExpireQueued(const ReplicaSetPtr& set);

  Scheduler* m_scheduler;
  AvailabilityTracker m_availability;
  ReplicaTable m_table;
  ReplicaPicker m_picker;
  ConnectionShare m_share;
  CrashQuarantine m_quarantine;
  DeferredAttempts m_deferred;
  CounterSet<UpstreamCounter> m_counters;
  OutcomeRecorder m_recorder;
  std::function<void(const Address&)> m_dead_connection_listener;
  std::function<void()> m_on_change;
  std::unordered_map<GateTicket, Attempt> m_attempts;
};

}  // namespace chicoryvale

#endif  // CHICORYVALE_SRC_UPSTREAM_UPSTREAM_GATE_H_
