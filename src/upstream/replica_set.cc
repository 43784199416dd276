#include "upstream/replica_set.h"

#include <cstdint>

namespace chicoryvale {

Duration TypicalLatency(const ReplicaSet& set) {
  Duration typical{};
  for (const ReplicaMember& member : set.members) {
    const Duration median = member.state->Median();
    if (median == Duration::zero()) continue;
    if (typical == Duration::zero() || median < typical) typical = median;
  }
  return typical;
}

Duration ExpectedWait(const ReplicaSet& set, TimePoint now) {
  double slots_per_us = 0.0;
  for (const ReplicaMember& member : set.members) {
    const auto median = static_cast<double>(member.state->Median().count());
    if (median > 0.0) slots_per_us += member.state->Limit(now) / median;
  }
  if (slots_per_us == 0.0) return Duration::zero();
  const auto ahead = static_cast<double>(set.queue.Size());
  return Duration(static_cast<std::int64_t>(ahead / slots_per_us));
}

}  // namespace chicoryvale
