#ifndef CHICORYVALE_SRC_UPSTREAM_REPLICA_PICKER_H_
#define CHICORYVALE_SRC_UPSTREAM_REPLICA_PICKER_H_

#include <cstdint>
#include <random>
#include <vector>

#include "base/ids.h"
#include "base/time.h"
#include "upstream/availability_tracker.h"
#include "upstream/replica_state.h"

namespace chicoryvale {

/// Settings of a ReplicaPicker.
struct ReplicaPickerSettings {
  /// Factor applied to the cost of replicas in other availability zones.
  double other_zone_factor = 1.5;
  /// Latency assumed while no replica of a set has answered.
  Duration default_latency = milliseconds(10);
};

/// A replica as a member of one shard's replica set.
struct ReplicaMember {
  ReplicaState* state = nullptr;
  bool own_zone = true;
};

/// Why no replica was picked.
enum class PickFailure : std::uint8_t {
  /// At least one replica is usable, but all usable ones are at their limit.
  kAllBusy,
  /// Every replica is draining, paused, unreachable or to be avoided.
  kNoneUsable,
};

/// Result of a pick: a replica, or the failure if `state` is nullptr.
struct PickResult {
  ReplicaState* state = nullptr;
  PickFailure failure = PickFailure::kNoneUsable;
  /// The picked replica is in `avoid`, because no other one was usable.
  bool avoided = false;
};

/// Chooses a replica by the power of two choices on ReplicaState::Cost.
/// Source: Mitzenmacher, The Power of Two Choices in Randomized Load
/// Balancing, 2001. Not thread safe.
class ReplicaPicker {
 public:
  /// `availability` must outlive the object.
  ReplicaPicker(const ReplicaPickerSettings& settings,
                const AvailabilityTracker* availability, std::uint64_t seed);

  /// Picks one of `members`. Members in `avoid` are picked only if no other is
  /// usable. Members that are paused or unreachable after failures are picked
  /// only if all are, and get one trial attempt at a time.
  PickResult Pick(const std::vector<ReplicaMember>& members,
                  const std::vector<Address>& avoid, TimePoint now);

  /// Picks the member with the highest rank for `key` among those that Pick
  /// would consider. All processes that consider the same members pick the same
  /// one. If it is at its limit, the result is PickFailure::kAllBusy and the
  /// caller waits for it. Source: Thaler and Ravishankar, Using Name-Based
  /// Mappings to Increase Hit Rates, 1998 (rendezvous hashing).
  PickResult PickByHash(const std::vector<ReplicaMember>& members,
                        const std::vector<Address>& avoid, std::uint64_t key,
                        TimePoint now);

 private:
  /// Which members a pass over a replica set accepts.
  enum class Pass : std::uint8_t { kPreferred, kAvoided, kPaused };

  /// Fills m_usable and m_free in the first pass that finds usable members.
  PickResult CollectCandidates(const std::vector<ReplicaMember>& members,
                               const std::vector<Address>& avoid,
                               TimePoint now);
  void Collect(const std::vector<ReplicaMember>& members,
               const std::vector<Address>& avoid, Pass pass, TimePoint now);
  [[nodiscard]] bool IsUsable(const ReplicaState& state,
                              const std::vector<Address>& avoid, Pass pass,
                              TimePoint now) const;
  [[nodiscard]] ReplicaState* Choose(TimePoint now);
  [[nodiscard]] double Cost(const ReplicaMember& member, TimePoint now) const;

  ReplicaPickerSettings m_settings;
  const AvailabilityTracker* m_availability;
  std::mt19937_64 m_random;
  /// Usable members, and those below their limit, in the current pick. They are
  /// class members so that their memory is reused.
  std::vector<const ReplicaMember*> m_usable;
  std::vector<const ReplicaMember*> m_free;
  double m_mean_latency_us = 0.0;
};

}  // namespace chicoryvale

#endif  // CHICORYVALE_SRC_UPSTREAM_REPLICA_PICKER_H_
