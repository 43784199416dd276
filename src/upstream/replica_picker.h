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
  /// Factor on the cost of replicas in other availability zones.
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
  /// A replica would do, but has no free place.
  kAllBusy,
  /// Every replica leaves, is paused or is to be avoided.
  kNoneUsable,
};

/// What a pick found: a replica, or the failure if `state` is nullptr.
struct PickResult {
  ReplicaState* state = nullptr;
  PickFailure failure = PickFailure::kNoneUsable;
  /// The replica is one that was to be avoided, as no other was usable.
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

  /// Picks one of `members`; those in `avoid` only if no other is usable, and
  /// those paused after failures only if all are, for one trial at a time.
  PickResult Pick(const std::vector<ReplicaMember>& members,
                  const std::vector<Address>& avoid, TimePoint now);

  /// Picks, of the members that Pick would consider, the one that ranks highest
  /// for `key`, the same in each process that considers the same members. It is
  /// waited for if it has no free place. Source: Thaler and Ravishankar, Using
  /// Name-Based Mappings to Increase Hit Rates, 1998 (rendezvous hashing).
  PickResult PickByHash(const std::vector<ReplicaMember>& members,
                        const std::vector<Address>& avoid, std::uint64_t key,
                        TimePoint now);

 private:
  /// Which members a pass over a replica set takes.
  enum class Pass : std::uint8_t { kPreferred, kAvoided, kPaused };

  /// Fills m_usable and m_free by the first pass that finds members.
  PickResult CollectAny(const std::vector<ReplicaMember>& members,
                        const std::vector<Address>& avoid, TimePoint now);
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
  /// Usable members, and those with a free place, in the present pick; kept to
  /// reuse its memory.
  std::vector<const ReplicaMember*> m_usable;
  std::vector<const ReplicaMember*> m_free;
  double m_known_latency_us = 0.0;
};

}  // namespace chicoryvale

#endif  // CHICORYVALE_SRC_UPSTREAM_REPLICA_PICKER_H_
