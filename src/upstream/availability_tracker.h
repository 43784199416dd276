#ifndef CHICORYVALE_SRC_UPSTREAM_AVAILABILITY_TRACKER_H_
#define CHICORYVALE_SRC_UPSTREAM_AVAILABILITY_TRACKER_H_

#include <array>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "base/ids.h"
#include "base/time.h"

namespace chicoryvale {

/// Where a sign that a replica leaves comes from and is shared by gossip.
enum class AvailabilitySource : std::uint8_t { kDrainHeader, kFailedProbes };
inline constexpr std::size_t kAvailabilitySourceCount = 2;

/// What one source last said of a replica. Signals of one replica and source
/// are totally ordered by (stamp, unavailable); a merge keeps the greatest, so
/// it is commutative, associative and idempotent.
struct AvailabilitySignal {
  Address replica;
  AvailabilitySource source = AvailabilitySource::kDrainHeader;
  bool unavailable = false;
  /// Rises by one with each change that any process observes; 0: never seen.
  std::uint64_t stamp = 0;
  bool operator==(const AvailabilitySignal&) const = default;
};

/// One row of the platform's list of VMs.
struct PlatformReplica {
  Address replica;
  bool leaving = false;
};

/// Settings of a AvailabilityTracker.
struct AvailabilitySettings {
  /// Time in which direct evidence may contradict the platform's list.
  Duration platform_grace = milliseconds(1500);
  /// Age at which a drain header no longer holds, unless the platform's list
  /// agrees with it.
  Duration drain_memory = seconds(600);
  /// Age at which failed probes allow another attempt.
  Duration probe_memory = seconds(1);
  /// Consecutive failures to connect that count as a failed probe.
  std::uint32_t probe_failures = 3;
};

/// Decides which replicas availability, from the operators' word, the replicas'
/// drain headers, failed probes and the platform's list. The list lags both
/// ways: it never overrules a sign that is fresher. Not thread safe.
class AvailabilityTracker {
 public:
  /// All that is known of one replica.
  struct Record {
    bool operator_draining = false;
    std::array<AvailabilitySignal, kAvailabilitySourceCount> signals;
    std::array<TimePoint, kAvailabilitySourceCount> heard_at{};
    bool platform_leaving = false;
    TimePoint platform_since{};
    /// Send time of the last attempt that was answered without drain header.
    std::optional<TimePoint> serving_as_of;
    std::uint32_t connect_failures = 0;
  };

  explicit AvailabilityTracker(const AvailabilitySettings& settings)
      : m_settings(settings) {}

  /// Returns the record of `replica`, made if missing. It stays valid until
  /// Forget(replica).
  Record* RecordOf(const Address& replica);

  /// Drops what is known of a replica that is no longer placed.
  void Forget(const Address& replica) { m_records.erase(replica.host_port); }

  /// Returns whether the replica leaves and takes no new work at `now`, by the
  /// operators' word, its drain header or the platform's list.
  [[nodiscard]] bool IsDraining(const Record& record, TimePoint now) const;

  /// Returns whether failed probes keep the replica from work at `now`, unless
  /// no other replica is left.
  [[nodiscard]] bool IsUnreachable(const Record& record, TimePoint now) const;

  /// Reports an answer at `now` to an attempt sent at `sent`.
  void OnAnswer(Record* record, bool draining, TimePoint sent, TimePoint now);

  /// Reports that no connection could be made at `now`.
  void OnConnectFailure(Record* record, TimePoint now);

  /// Takes the platform's list as read at `now`. Replicas that it does not
  /// name count as live.
  void OnPlatformList(const std::vector<PlatformReplica>& list, TimePoint now);

  /// Takes a signal from another process; returns whether it was news.
  /// Signals of replicas without record are ignored.
  bool Merge(const AvailabilitySignal& signal, TimePoint now);

  /// Returns every signal that has been heard.
  [[nodiscard]] std::vector<AvailabilitySignal> Signals() const;

  /// Returns whether TakeChanges has something to return.
  [[nodiscard]] bool HasChanges() const { return !m_changes.empty(); }

  /// Returns the signals that changed since the last call, the newest ones if
  /// there are very many.
  std::vector<AvailabilitySignal> TakeChanges();

 private:
  void Observe(Record* record, AvailabilitySource source, bool unavailable,
               TimePoint now);
  void AddChange(const AvailabilitySignal& signal);
  [[nodiscard]] bool DrainHolds(const Record& record, TimePoint now) const;
  [[nodiscard]] bool PlatformHolds(const Record& record, TimePoint now) const;

  AvailabilitySettings m_settings;
  std::unordered_map<std::string, Record> m_records;
  std::deque<AvailabilitySignal> m_changes;
};

}  // namespace chicoryvale

#endif  // CHICORYVALE_SRC_UPSTREAM_AVAILABILITY_TRACKER_H_
