#ifndef CHICORYVALE_SRC_QUERY_QUERY_ENGINE_H_
#define CHICORYVALE_SRC_QUERY_QUERY_ENGINE_H_

#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <unordered_map>
#include <vector>

#include "config/cluster_config.h"
#include "ports/replica_gate.h"
#include "ports/scheduler.h"
#include "ports/upstream_transport.h"
#include "query/answer_merger.h"
#include "query/attempt_table.h"
#include "query/query.h"
#include "query/query_context.h"
#include "query/query_counters.h"
#include "query/query_types.h"
#include "query/service_state.h"

namespace chicoryvale {

/// Runs the queries of callers on the shards of their services. Not thread
/// safe: used only on the event loop.
class QueryEngine {
 public:
  struct Options {
    /// The pointees must outlive the engine.
    Scheduler* scheduler = nullptr;
    UpstreamTransport* transport = nullptr;
    ReplicaGate* gate = nullptr;
    std::uint64_t random_seed = 0;
    /// Queries end this long before the deadline of the caller, but at most a
    /// tenth of their timeout before it.
    Duration answer_margin = milliseconds(2);
    /// Sends hedges for slow shards.
    bool hedging = true;
  };

  explicit QueryEngine(const Options& options);

  /// Cancels the queries in flight. Their callbacks are not called.
  ~QueryEngine();
  QueryEngine(const QueryEngine&) = delete;
  QueryEngine& operator=(const QueryEngine&) = delete;

  /// Applies a newer configuration. Queries in flight keep their pinned
  /// snapshot or restart at a newer one. Precondition: the gate has applied the
  /// configuration, so that it knows all shards of new queries.
  void SetConfig(const ClusterConfig& config);

  /// Starts a query. Calls `callback` exactly once, never from within this
  /// call, unless the query is cancelled first. `mergers` is used only during
  /// this call. Precondition: if the request is not idempotent, its claim is
  /// granted.
  QueryId Start(QuerySpec spec, AnswerMergerFactory* mergers,
                QueryCallback callback);

  /// As above, with `merger`, which must not be null.
  QueryId Start(QuerySpec spec, std::unique_ptr<AnswerMerger> merger,
                QueryCallback callback);

  /// Cancels a query whose caller disconnected. Returns true if the callback
  /// will not be called. Returns false if the query has ended, or if it is not
  /// idempotent and was sent, so that its outcome is still needed.
  bool Cancel(QueryId id);

  /// Refuses further queries with kShuttingDown. Queries in flight continue.
  void StopAccepting() { m_accepting = false; }

  /// Returns the number of queries whose callback is pending.
  [[nodiscard]] std::size_t InFlight() const {
    return m_queries.size() + m_pending_answers.size();
  }

  /// Returns the number of attempts that wait for the gate or are in flight.
  [[nodiscard]] std::size_t AttemptsInFlight() const {
    return m_attempts.Size();
  }

  [[nodiscard]] const QueryCounters& Counters() const { return m_counters; }

  /// Returns the snapshot that a new query of `service` would pin, or nothing
  /// if the configuration has no such service.
  [[nodiscard]] std::optional<SnapshotId> CurrentSnapshot(
      const std::string& service);

 private:
  struct RunningQuery {
    std::unique_ptr<Query> query;
    QueryCallback callback;
    /// Whether Start has not returned yet.
    bool starting = true;
  };
  /// The answer of a query that ended within Start. Its callback is pending.
  struct PendingAnswer {
    TimerId timer = 0;
  };

  /// Returns the service that `spec` names, or the error with which the query
  /// is refused.
  Result<ServiceState*> ResolveService(const QuerySpec& spec);
  void ScheduleAnswer(QueryId id, QueryAnswer answer, QueryCallback callback);
  void DeleteLater(std::unique_ptr<Query> query);
  void OnQueryDone(QueryId id, QueryAnswer answer);
  void CountResult(const QueryAnswer& answer);
  void ApplyService(const ServiceConfig& config);
  void DeleteRemovedServices();
  QueryDependencies MakeDependencies();

  Options m_options;
  QueryCounters m_counters;
  std::mt19937_64 m_random;
  AttemptTable m_attempts;
  std::unordered_map<std::string, std::unique_ptr<ServiceState>> m_services;
  std::unordered_map<QueryId, RunningQuery> m_queries;
  std::unordered_map<QueryId, PendingAnswer> m_pending_answers;
  /// Cancelled queries, to be deleted by `m_cleanup_timer`.
  std::vector<std::unique_ptr<Query>> m_cancelled_queries;
  TimerId m_cleanup_timer = 0;
  QueryId m_last_id = 0;
  bool m_accepting = true;
};

}  // namespace chicoryvale

#endif  // CHICORYVALE_SRC_QUERY_QUERY_ENGINE_H_
