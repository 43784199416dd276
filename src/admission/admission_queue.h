#ifndef CHICORYVALE_SRC_ADMISSION_ADMISSION_QUEUE_H_
#define CHICORYVALE_SRC_ADMISSION_ADMISSION_QUEUE_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <string>
#include <unordered_map>
#include <vector>

#include "admission/admission_counters.h"
#include "admission/fair_queue.h"
#include "admission/query_limit.h"
#include "chicoryvale/error.h"
#include "ports/scheduler.h"
#include "query/latency_quantile.h"
#include "query/query_types.h"

namespace chicoryvale {

/// Stands before the query engine, one for each service: bounds the queries in
/// flight by an adaptive limit, lets the others wait, fairly between
/// workspaces, and refuses those that could not end in their time. A refused
/// query did not run. Not thread safe: used only on the event loop.
class AdmissionQueue {
 public:
  /// Told once: that the query is to start now, or why it is refused
  /// (kOverloaded or kWorkspaceOverShare).
  using Callback = std::function<void(Result<void>)>;

  /// The arguments outlive the queue; `counters` may be shared by queues.
  AdmissionQueue(Scheduler* scheduler, AdmissionCounters* counters);
  ~AdmissionQueue();
  AdmissionQueue(const AdmissionQueue&) = delete;
  AdmissionQueue& operator=(const AdmissionQueue&) = delete;

  /// Sets the weights of the workspaces.
  void SetWeights(const std::vector<WorkspaceWeight>& weights) {
    m_queue.SetWeights(weights);
  }

  /// Asks to start a query of `workspace` that is due at `deadline`. Calls
  /// `callback` exactly once, perhaps from within this call, unless Cancel
  /// comes first. After an admission the caller owes one Finish or Cancel.
  AdmissionTicket Submit(const std::string& workspace, TimePoint deadline,
                         Callback callback);

  /// Reports the answer of an admitted query.
  void Finish(AdmissionTicket ticket, const QueryAnswer& answer);

  /// Withdraws a query that waits, or ends one that was admitted and gave no
  /// answer. Does nothing if the ticket has ended.
  void Cancel(AdmissionTicket ticket);

  [[nodiscard]] std::size_t Waiting() const { return m_queue.Size(); }
  [[nodiscard]] std::size_t InFlight() const { return m_admitted.size(); }
  [[nodiscard]] std::uint32_t Limit() const { return m_limit.Limit(); }

  /// A workspace that on average uses less than this part of its share may for
  /// a moment use more than its share.
  static constexpr double kBurstPart = 0.75;
  /// Waiting queries, in shares of the queries in flight, that are a long
  /// backlog, and the part of the share that is left to such a workspace.
  static constexpr double kLongBacklog = 4;
  static constexpr double kBacklogPart = 0.7;
  /// Time over which the use of a workspace is averaged.
  static constexpr Duration kUseTime = seconds(1);
  /// Time after its last query for which a workspace counts as active.
  static constexpr Duration kActiveTime = seconds(1);
  /// Queries that may wait.
  static constexpr std::size_t kCapacity = 1024;
  /// Quantile of query latencies within which a query has to be able to end.
  static constexpr double kLatencyQuantile = 0.99;

 private:
  struct WaitingEntry {
    WaitingQuery query;
    Callback callback;
  };

  struct AdmittedEntry {
    std::string workspace;
    TimePoint started{};
  };
  /// What one workspace uses.
  struct Use {
    std::uint32_t in_flight = 0;
    /// `in_flight` averaged up to `changed`.
    double average = 0;
    TimePoint changed{};
    TimePoint last_submit{};
  };

  /// Returns the part of the limit that is the workspace's share among those
  /// that are active.
  [[nodiscard]] double PartOf(const std::string& workspace) const;
  [[nodiscard]] bool MayStart(const std::string& workspace) const;
  [[nodiscard]] double AverageOf(const Use& use) const;
  void ChangeUse(const std::string& workspace, int change);
  void NoteSubmit(const std::string& workspace);
  [[nodiscard]] Duration ExpectedLatency() const;
  [[nodiscard]] Duration ExpectedWait(const std::string& workspace) const;
  [[nodiscard]] bool IsOverShare(const std::string& workspace) const;
  Result<void> CheckTime(const std::string& workspace, TimePoint deadline);
  Result<void> MakeRoom(const std::string& workspace);
  void Refuse(const WaitingQuery& query, AdmissionCounter counter,
              ErrorKind kind, const char* message);
  void Pump();
  void DropTooLate();
  void ArmTimer();

  Scheduler* m_scheduler;
  AdmissionCounters* m_counters;
  QueryLimit m_limit;
  LatencyQuantile m_latency{kLatencyQuantile};
  FairQueue m_queue;
  std::unordered_map<AdmissionTicket, WaitingEntry> m_waiting;
  std::unordered_map<AdmissionTicket, AdmittedEntry> m_admitted;
  std::unordered_map<std::string, Use> m_uses;
  AdmissionTicket m_last_ticket = 0;
  TimerId m_timer = 0;
  bool m_pumping = false;
};

}  // namespace chicoryvale

#endif  // CHICORYVALE_SRC_ADMISSION_ADMISSION_QUEUE_H_
