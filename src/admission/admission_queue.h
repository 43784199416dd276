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

/// Admission control of one service, in front of the query engine. Bounds the
/// queries in flight by an adaptive limit, queues further queries with weighted
/// fairness between workspaces, and refuses queries that could not finish
/// before their deadline. A refused query did not run. Not thread safe: used
/// only on the event loop.
class AdmissionQueue {
 public:
  /// Called exactly once, unless the query is cancelled first: with success
  /// when the query must start now, or with the error that refuses it
  /// (kOverloaded or kWorkspaceOverShare).
  using Callback = std::function<void(Result<void>)>;

  /// The arguments outlive the queue. Several queues may share `counters`.
  AdmissionQueue(Scheduler* scheduler, AdmissionCounters* counters);
  ~AdmissionQueue();
  AdmissionQueue(const AdmissionQueue&) = delete;
  AdmissionQueue& operator=(const AdmissionQueue&) = delete;

  /// Sets the weights of the workspaces.
  void SetWeights(const std::vector<WorkspaceWeight>& weights) {
    m_queue.SetWeights(weights);
  }

  /// Requests the admission of a query of `workspace` with `deadline`. Calls
  /// `callback` exactly once, possibly from within this call, unless the query
  /// is cancelled first. After an admission the caller must call Finish or
  /// Cancel once.
  AdmissionTicket Submit(const std::string& workspace, TimePoint deadline,
                         Callback callback);

  /// Reports the answer of an admitted query.
  void Finish(AdmissionTicket ticket, const QueryAnswer& answer);

  /// Removes a waiting query, or ends an admitted query without an answer. Does
  /// nothing if the query of `ticket` has ended.
  void Cancel(AdmissionTicket ticket);

  [[nodiscard]] std::size_t Waiting() const { return m_queue.Size(); }
  [[nodiscard]] std::size_t InFlight() const { return m_admitted.size(); }
  [[nodiscard]] std::uint32_t Limit() const { return m_limit.Limit(); }

  /// A workspace whose average number of queries in flight is below this ratio
  /// of its share may temporarily exceed its share.
  static constexpr double kBurstShareRatio = 0.75;
  /// A workspace has a long backlog if its waiting queries exceed this multiple
  /// of its share of the queries in flight.
  static constexpr double kLongBacklogMultiple = 4;
  /// Ratio of its share to which a workspace with a long backlog is limited.
  static constexpr double kLongBacklogShareRatio = 0.7;
  /// Time constant of the moving average of the usage of a workspace.
  static constexpr Duration kUsageAveragingTime = seconds(1);
  /// Time after its last submitted query during which a workspace counts as
  /// active.
  static constexpr Duration kWorkspaceActiveTime = seconds(1);
  /// Queue limit: maximum number of waiting queries.
  static constexpr std::size_t kMaxWaiting = 1024;
  /// Quantile of the query latencies that is used as the expected latency of a
  /// query when its deadline is checked.
  static constexpr double kLatencyQuantile = 0.99;

 private:
  struct WaitingEntry {
    WaitingQuery query;
    Callback callback;
  };

  struct AdmittedEntry {
    std::string workspace;
    TimePoint started_at{};
  };
  /// Usage of the limit by one workspace.
  struct WorkspaceUsage {
    std::uint32_t in_flight = 0;
    /// Moving average of `in_flight` up to `changed_at`.
    double average_in_flight = 0;
    TimePoint changed_at{};
    TimePoint last_submitted_at{};
  };

  /// Returns the share of `workspace` among the active workspaces, as a ratio
  /// of the limit.
  [[nodiscard]] double ShareRatio(const std::string& workspace) const;
  [[nodiscard]] bool MayStart(const std::string& workspace) const;
  [[nodiscard]] double AverageInFlight(const WorkspaceUsage& usage) const;
  void UpdateUsage(const std::string& workspace, int in_flight_change);
  void RecordSubmission(const std::string& workspace);
  [[nodiscard]] Duration ExpectedLatency() const;
  /// Returns the expected time until the waiting queries of `workspace` have
  /// been admitted.
  [[nodiscard]] Duration ExpectedWait(const std::string& workspace) const;
  [[nodiscard]] bool IsOverShare(const std::string& workspace) const;
  Result<void> CheckDeadline(const std::string& workspace, TimePoint deadline);
  /// Evicts a query of another workspace if the queue is full, or returns the
  /// error that refuses the new query.
  Result<void> EnsureCapacity(const std::string& workspace);
  void Refuse(const WaitingQuery& query, AdmissionCounter counter,
              ErrorKind kind, const char* message);
  void AdmitWaiting();
  void DropTooLate();
  void ScheduleDropTimer();

  Scheduler* m_scheduler;
  AdmissionCounters* m_counters;
  QueryLimit m_limit;
  LatencyQuantile m_latency_quantile{kLatencyQuantile};
  FairQueue m_queue;
  std::unordered_map<AdmissionTicket, WaitingEntry> m_waiting;
  std::unordered_map<AdmissionTicket, AdmittedEntry> m_admitted;
  std::unordered_map<std::string, WorkspaceUsage> m_usages;
  AdmissionTicket m_last_ticket = 0;
  TimerId m_timer = 0;
  bool m_admitting = false;
};

}  // namespace chicoryvale

#endif  // CHICORYVALE_SRC_ADMISSION_ADMISSION_QUEUE_H_
