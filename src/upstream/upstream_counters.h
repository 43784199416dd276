#ifndef CHICORYVALE_SRC_UPSTREAM_UPSTREAM_COUNTERS_H_
#define CHICORYVALE_SRC_UPSTREAM_UPSTREAM_COUNTERS_H_

#include <array>
#include <cstdint>
#include <string_view>

#include "base/counters.h"

namespace chicoryvale {

/// Counters of an UpstreamGate.
enum class UpstreamCounter : std::uint8_t {
  kChosen,
  kQueued,
  kAvoidedReplicaUsed,
  kFreshConnection,
  /// Kept connections to one replica, or to all replicas behind one path, were
  /// found dead.
  kSilentReplica,
  kSilentPath,
  kRefusedUnknownShard,
  kRefusedNoReplica,
  kRefusedQueueFull,
  kRefusedWaitTooLong,
  kRefusedExpired,
  kRefusedHedgeBusy,
  kRefusedQuarantined,
  kRefusedSuspect,
  kHeldForCanary,
  kEndedAnswered,
  kEndedNotStarted,
  kEndedSnapshotUnavailable,
  kEndedFailed,
  kEndedNotConnected,
  kEndedConnectionLost,
  kEndedTimedOut,
  kEndedMalformed,
  kEndedAbandoned,
};

template <>
struct CounterNames<UpstreamCounter> {
  static constexpr std::array<std::string_view, 24> kNames = {
      "upstream_chosen",
      "upstream_queued",
      "upstream_avoided_replica_used",
      "upstream_fresh_connection",
      "upstream_silent_replica",
      "upstream_silent_path",
      "upstream_refused_unknown_shard",
      "upstream_refused_no_replica",
      "upstream_refused_queue_full",
      "upstream_refused_wait_too_long",
      "upstream_refused_expired",
      "upstream_refused_hedge_busy",
      "upstream_refused_quarantined",
      "upstream_refused_suspect",
      "upstream_held_for_canary",
      "upstream_ended_answered",
      "upstream_ended_not_started",
      "upstream_ended_snapshot_unavailable",
      "upstream_ended_failed",
      "upstream_ended_not_connected",
      "upstream_ended_connection_lost",
      "upstream_ended_timed_out",
      "upstream_ended_malformed",
      "upstream_ended_abandoned",
  };
};

}  // namespace chicoryvale

#endif  // CHICORYVALE_SRC_UPSTREAM_UPSTREAM_COUNTERS_H_
