#include "query/outcome_classifier.h"

#include <algorithm>
#include <array>
#include <cstddef>
#include <optional>

namespace chicoryvale {
namespace {

using enum QueryCounter;

// In the order of SubOutcomeKind.
constexpr std::array<OutcomeClassification, 8> kClassifications = {{
    {Ran::kYes, ShardState::kCovered, kRetryFailed},
    {Ran::kNo, ShardState::kOverloaded, kRetryNotStarted},
    {Ran::kNo, ShardState::kSnapshotUnavailable, kRetrySnapshot},
    {Ran::kMaybe, ShardState::kFailed, kRetryFailed},
    {Ran::kNo, ShardState::kUnreachable, kRetryNotConnected},
    {Ran::kMaybe, ShardState::kFailed, kRetryConnectionLost},
    {Ran::kMaybe, ShardState::kDeadline, kRetryTimedOut},
    {Ran::kMaybe, ShardState::kBadAnswer, kRetryBadAnswer},
}};

// Returns the counter of the reason to reject an outcome, or nothing if the
// outcome is not rejected.
std::optional<QueryCounter> FindRejectionReason(SubRequestId id, ShardId shard,
                                                const SnapshotId& snapshot,
                                                const SubOutcome& outcome) {
  if (outcome.kind == SubOutcomeKind::kMalformed) return kDroppedMalformed;
  if (outcome.kind != SubOutcomeKind::kAnswered) return std::nullopt;
  if (outcome.echoed_id != id) return kDroppedOtherId;
  if (outcome.echoed_shard != shard) return kDroppedOtherShard;
  if (outcome.echoed_snapshot != snapshot) return kDroppedOtherSnapshot;
  return std::nullopt;
}

}  // namespace

const OutcomeClassification& ClassifyOutcome(SubOutcomeKind kind) {
  return kClassifications[static_cast<std::size_t>(kind)];
}

void RejectMismatchedEcho(SubRequestId id, ShardId shard,
                          const SnapshotId& snapshot, SubOutcome* outcome,
                          QueryCounters* counters) {
  const auto rejection_reason =
      FindRejectionReason(id, shard, snapshot, *outcome);
  if (!rejection_reason) return;
  counters->Add(*rejection_reason);
  outcome->kind = SubOutcomeKind::kMalformed;
  outcome->body.clear();
}

Ran CombineRan(Ran a, Ran b) { return std::max(a, b); }

}  // namespace chicoryvale
