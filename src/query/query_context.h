#ifndef CHICORYVALE_SRC_QUERY_QUERY_CONTEXT_H_
#define CHICORYVALE_SRC_QUERY_QUERY_CONTEXT_H_

#include <cstdint>
#include <random>

#include "ports/replica_gate.h"
#include "ports/scheduler.h"
#include "ports/upstream_transport.h"
#include "query/attempt_table.h"
#include "query/query_counters.h"
#include "query/query_types.h"
#include "query/service_state.h"

namespace chicoryvale {

/// Collaborators that all queries of an engine use. The pointees must outlive
/// every query.
struct QueryDependencies {
  Scheduler* scheduler = nullptr;
  UpstreamTransport* transport = nullptr;
  ReplicaGate* gate = nullptr;
  QueryCounters* counters = nullptr;
  AttemptTable* attempts = nullptr;
  std::mt19937_64* random = nullptr;
  /// Whether hedges are sent.
  bool hedging = true;
};

/// Why a query has to restart.
enum class RestartCause : std::uint8_t { kNone, kSnapshot, kMap };

/// State of one query that its shard tasks share.
struct QueryContext {
  QueryDependencies dependencies;
  QuerySpec spec;
  ServiceState* service = nullptr;
  /// Snapshot that all attempts name until the query restarts.
  SnapshotId pinned_snapshot;
  TimePoint start_time{};
  TimePoint deadline{};
  /// Whether the request ran, judged by all attempts so far.
  Ran ran = Ran::kNo;
  /// Number of attempts sent, including retries and hedges.
  std::uint32_t attempts = 0;
  std::uint32_t retries = 0;
  std::uint32_t hedges = 0;
  /// Set when a task or a change of the shard map requires a restart.
  RestartCause restart_cause = RestartCause::kNone;
  /// Reused for each request to the gate.
  AttemptSpec attempt_spec;

  /// Returns whether the shard map has changed, or the service was removed,
  /// since the query pinned its snapshot.
  [[nodiscard]] bool HasMapChanged() const {
    return service->removed ||
           service->snapshots.MapEpoch() != pinned_snapshot.map_epoch;
  }
};

}  // namespace chicoryvale

#endif  // CHICORYVALE_SRC_QUERY_QUERY_CONTEXT_H_
