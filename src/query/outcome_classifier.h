#ifndef CHICORYVALE_SRC_QUERY_OUTCOME_CLASSIFIER_H_
#define CHICORYVALE_SRC_QUERY_OUTCOME_CLASSIFIER_H_

#include "base/ids.h"
#include "ports/upstream_transport.h"
#include "query/query_counters.h"
#include "query/query_types.h"

namespace chicoryvale {

/// Effect of the end of an attempt on its shard and its query.
struct OutcomeClassification {
  /// Whether the request ran, judged by this attempt alone.
  Ran ran;
  /// State of the shard if no other attempt covers it.
  ShardState shard_state;
  /// Counter of the retries after such an attempt.
  QueryCounter retry_counter;
};

/// Returns the effect of an attempt that ended with `kind`. Thread safe.
const OutcomeClassification& ClassifyOutcome(SubOutcomeKind kind);

/// Compares the echoed fields of an answer with those of its sub-request. If
/// one differs, changes the outcome to kMalformed, clears its body and counts
/// the reason in `counters`. Outcomes that are already kMalformed are counted
/// too. Not thread safe.
void RejectMismatchedEcho(SubRequestId id, ShardId shard,
                          const SnapshotId& snapshot, SubOutcome* outcome,
                          QueryCounters* counters);

/// Combines what two attempts show about execution: kYes takes precedence over
/// kMaybe, and kMaybe over kNo. Thread safe.
Ran CombineRan(Ran a, Ran b);

}  // namespace chicoryvale

#endif  // CHICORYVALE_SRC_QUERY_OUTCOME_CLASSIFIER_H_
