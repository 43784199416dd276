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
/// list, which lags and can't take it back while the replica runs. That a
/// replica drains ends when the list shows that it has started anew.
/// Deterministic for a given seed. Not thread safe.
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

  /// What the list says of a replica.
  enum class Listed : std::uint8_t { kNo, kDraining, kReady };
  using ListState = std::function<Listed(const std::string& id)>;

  /// Records what a list says, which has just been read, whether or not it
  /// changed. Forgets replicas that it has not contained for a while: if one is
  /// listed again after that, it has started anew. So has one that is listed as
  /// ready for a while after it was listed as draining, because a replica that
  /// drains doesn't become ready again, and one that many lists in a row show
  /// as ready although it said that it drains.
  void RecordList(const ListState& state_of, TimePoint now);

  /// Records what the list that was read last says of one replica.
  void RecordListed(const std::string& id, Listed listed, TimePoint now);

  /// Returns the number of replicas that are remembered.
  [[nodiscard]] std::size_t Size() const { return m_notices.size(); }

 private:
  struct Notice {
    bool draining = false;
    /// Whether a list has shown it as draining since it said so; and since when
    /// and in how many lists it was shown as ready, without interruption.
    bool listed_draining = false;
    std::optional<TimePoint> ready_since;
    std::uint32_t ready_lists = 0;
    TimePoint back_off_end{};
    /// When the list ceased to contain the replica; absent while it does.
    std::optional<TimePoint> unlisted_since;
  };

  static void UpdateListed(Notice* notice, Listed listed, TimePoint now);
  static bool HasStartedAnew(const Notice& notice, TimePoint now);

  std::mt19937_64 m_random;
  std::unordered_map<std::string, Notice> m_notices;
};

}  // namespace chicoryvale

#endif  // CHICORYVALE_SRC_ROUTING_REPLICA_NOTICES_H_
