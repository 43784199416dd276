#ifndef CHICORYVALE_SRC_QUERY_OUTCOME_CLASSIFIER_H_
#define CHICORYVALE_SRC_QUERY_OUTCOME_CLASSIFIER_H_

#include "base/ids.h"
#include "ports/upstream_transport.h"
#include "query/query_counters.h"
#include "query/query_types.h"

namespace chicoryvale {

/// What the end of an attempt means for its shard and its query.
struct OutcomeMeaning {
  /// What the attempt alone says about execution.
  Ran ran;
  /// Reason for the shard if no other attempt covers it.
  ShardState reason;
  /// Counts the retry that follows.
  QueryCounter retry_counter;
};

/// Returns the meaning of `kind`. Thread safe.
const OutcomeMeaning& MeaningOf(SubOutcomeKind kind);

/// Compares an answer's echoed fields with its sub-request. Where one differs,
/// the outcome becomes kMalformed without a body, and the reason is counted.
/// Malformed outcomes are counted too.
void CheckEcho(SubRequestId id, ShardId shard, const SnapshotId& snapshot,
               SubOutcome* outcome, QueryCounters* counters);

/// Returns the stronger claim of the two: yes over maybe over no. Thread safe.
Ran StrongerRan(Ran a, Ran b);

}  // namespace chicoryvale

#endif  // CHICORYVALE_SRC_QUERY_OUTCOME_CLASSIFIER_H_
