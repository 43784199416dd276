#ifndef CHICORYVALE_SRC_ROUTING_REPLICA_NOTICES_H_
#define CHICORYVALE_SRC_ROUTING_REPLICA_NOTICES_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <optional>
#include <random>
#include <string>
#include <unordered_map>

#include "base/time.h"
#include "ports/replica_transport.h"

namespace chicoryvale {

/// What replicas have said of themselves in their answers: that they drain, or
/// that they want no requests until a time. It holds besides the platform's
/// list, which lags and can't take it back. Deterministic for a given seed. Not
/// thread safe.
class ReplicaNotices {
 public:
  /// What a notice changed.
  enum class Change : std::uint8_t {
    kNone,
    /// The replica drains; for good, until it starts anew.
    kDraining,
    /// The replica backs off, or does so for longer than before.
    kBackingOff,
  };

  explicit ReplicaNotices(std::uint64_t seed) : m_random(seed) {}

  /// Records what the replica `id` said in an answer that was received at
  /// `now`. A back-off ends later by a random part of it, so that the replica
  /// isn't met by all entries at once. A shorter one doesn't replace a longer
  /// one.
  Change Record(const std::string& id, const ReplicaNotice& notice,
                TimePoint now);

  /// Returns whether the replica has said that it drains.
  [[nodiscard]] bool IsDraining(const std::string& id) const;

  /// Returns the time until which the replica wants no requests; the epoch if
  /// it has not said so.
  [[nodiscard]] TimePoint BackOffEnd(const std::string& id) const;

  /// Forgets the replica, because another one has its id now.
  void Forget(const std::string& id) { m_notices.erase(id); }

  /// Returns whether the list contains a replica.
  using IsListed = std::function<bool(const std::string& id)>;

  /// Records which replicas a new list contains. Forgets those that the list
  /// has not contained for a while: if one is listed again after that, it has
  /// started anew.
  void RecordList(const IsListed& is_listed, TimePoint now);

  /// Returns the number of replicas that are remembered.
  [[nodiscard]] std::size_t Size() const { return m_notices.size(); }

 private:
  struct Notice {
    bool draining = false;
    TimePoint back_off_end{};
    /// When the list ceased to contain the replica; absent while it does.
    std::optional<TimePoint> unlisted_since;
  };

  std::mt19937_64 m_random;
  std::unordered_map<std::string, Notice> m_notices;
};

}  // namespace chicoryvale

#endif  // CHICORYVALE_SRC_ROUTING_REPLICA_NOTICES_H_
