#include "query/outcome_classifier.h"

#include <algorithm>
#include <array>
#include <cstddef>
#include <optional>

namespace chicoryvale {
namespace {

using enum QueryCounter;

// In the order of SubOutcomeKind.
constexpr std::array<OutcomeMeaning, 8> kMeanings = {{
    {Ran::kYes, ShardState::kCovered, kRetryFailed},
    {Ran::kNo, ShardState::kOverloaded, kRetryNotStarted},
    {Ran::kNo, ShardState::kSnapshotUnavailable, kRetrySnapshot},
    {Ran::kMaybe, ShardState::kFailed, kRetryFailed},
    {Ran::kNo, ShardState::kUnreachable, kRetryNotConnected},
    {Ran::kMaybe, ShardState::kFailed, kRetryConnectionLost},
    {Ran::kMaybe, ShardState::kDeadline, kRetryTimedOut},
    {Ran::kMaybe, ShardState::kBadAnswer, kRetryBadAnswer},
}};

std::optional<QueryCounter> EchoFault(SubRequestId id, ShardId shard,
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

const OutcomeMeaning& MeaningOf(SubOutcomeKind kind) {
  return kMeanings[static_cast<std::size_t>(kind)];
}

void CheckEcho(SubRequestId id, ShardId shard, const SnapshotId& snapshot,
               SubOutcome* outcome, QueryCounters* counters) {
  const auto fault = EchoFault(id, shard, snapshot, *outcome);
  if (!fault) return;
  counters->Add(*fault);
  outcome->kind = SubOutcomeKind::kMalformed;
  outcome->body.clear();
}

Ran StrongerRan(Ran a, Ran b) { return std::max(a, b); }

}  // namespace chicoryvale
