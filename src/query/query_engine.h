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

/// Runs callers' queries over the shards of their services. Not thread safe:
/// used only on the event loop.
class QueryEngine {
 public:
  struct Options {
    /// The pointees outlive the engine.
    Scheduler* scheduler = nullptr;
    UpstreamTransport* transport = nullptr;
    ReplicaGate* gate = nullptr;
    std::uint64_t random_seed = 0;
    /// Time by which answers are given before the caller's deadline, at most a
    /// tenth of it.
    Duration answer_margin = milliseconds(2);
    /// Asks a second replica of stragglers.
    bool hedging = true;
  };

  explicit QueryEngine(const Options& options);

  /// Cancels the queries in flight; their callbacks are not called.
  ~QueryEngine();
  QueryEngine(const QueryEngine&) = delete;
  QueryEngine& operator=(const QueryEngine&) = delete;

  /// Takes a newer configuration into force. Queries in flight keep the
  /// snapshot they pinned or start again at a newer one. The gate is given the
  /// configuration first, so that it knows the shards that are asked.
  void SetConfig(const ClusterConfig& config);

  /// Starts a query. Calls `callback` exactly once, never from within this
  /// call, unless Cancel comes first. `mergers` is used within this call only.
  /// A request that is not idempotent has to hold its claim already.
  QueryId Start(QuerySpec spec, AnswerMergerFactory* mergers,
                QueryCallback callback);

  /// As above, with a merger that is not null.
  QueryId Start(QuerySpec spec, std::unique_ptr<AnswerMerger> merger,
                QueryCallback callback);

  /// Abandons a query whose caller went away. Returns whether its callback
  /// will not be called: false if the query has ended, or if it was sent and
  /// may run only once, so that its outcome still counts.
  bool Cancel(QueryId id);

  /// Refuses further queries with kShuttingDown; those in flight go on.
  void StopAccepting() { m_accepting = false; }

  /// Returns the number of queries whose callback is still owed.
  [[nodiscard]] std::size_t InFlight() const {
    return m_queries.size() + m_refusals.size();
  }

  /// Returns the number of sub-requests that wait at the gate or are sent.
  [[nodiscard]] std::size_t AttemptsInFlight() const {
    return m_attempts.Size();
  }

  [[nodiscard]] const QueryCounters& Counters() const { return m_counters; }

  /// Returns the newest snapshot of `service` that a query would pin now, or
  /// nothing if the configuration has no such service.
  [[nodiscard]] std::optional<SnapshotId> CurrentSnapshot(
      const std::string& service);

 private:
  struct Running {
    std::unique_ptr<Query> query;
    QueryCallback callback;
  };
  struct Refusal {
    TimerId timer = 0;
  };

  Result<ServiceState*> Admit(const QuerySpec& spec);
  QueryId Refuse(Error error, QueryCallback callback);
  void Bury(std::unique_ptr<Query> query);
  void OnDone(QueryId id, QueryAnswer answer);
  void CountEnd(const QueryAnswer& answer);
  void ApplyService(const ServiceConfig& config);
  void DropRemovedServices();
  QueryParts Parts();

  Options m_options;
  QueryCounters m_counters;
  std::mt19937_64 m_random;
  AttemptTable m_attempts;
  std::unordered_map<std::string, std::unique_ptr<ServiceState>> m_services;
  std::unordered_map<QueryId, Running> m_queries;
  std::unordered_map<QueryId, Refusal> m_refusals;
  /// Cancelled queries, deleted from the event loop.
  std::vector<std::unique_ptr<Query>> m_cancelled;
  TimerId m_cleanup_timer = 0;
  QueryId m_last_id = 0;
  bool m_accepting = true;
};

}  // namespace chicoryvale

#endif  // CHICORYVALE_SRC_QUERY_QUERY_ENGINE_H_
