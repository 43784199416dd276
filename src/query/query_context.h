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

/// What all queries of an engine use. The pointees outlive every query.
struct QueryParts {
  Scheduler* scheduler = nullptr;
  UpstreamTransport* transport = nullptr;
  ReplicaGate* gate = nullptr;
  QueryCounters* counters = nullptr;
  AttemptTable* attempts = nullptr;
  std::mt19937_64* random = nullptr;
  bool hedging = true;
};

/// Why a query wants to start again.
enum class RestartCause : std::uint8_t { kNone, kSnapshot, kMap };

/// State of one query that its shard tasks share.
struct QueryContext {
  QueryParts parts;
  QuerySpec spec;
  ServiceState* service = nullptr;
  SnapshotId pin;
  TimePoint started{};
  TimePoint deadline{};
  Ran ran = Ran::kNo;
  std::uint32_t attempts = 0;
  std::uint32_t retries = 0;
  std::uint32_t hedges = 0;
  RestartCause restart_wanted = RestartCause::kNone;
  /// Reused for each request to the gate.
  AttemptSpec gate_spec;

  /// The shard map has changed since the query pinned its snapshot.
  [[nodiscard]] bool MapChanged() const {
    return service->removed || service->snapshots.MapEpoch() != pin.map_epoch;
  }
};

}  // namespace chicoryvale

#endif  // CHICORYVALE_SRC_QUERY_QUERY_CONTEXT_H_
