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

/// Source of a signal that a replica is unavailable. Signals of these sources
/// are shared by gossip.
enum class AvailabilitySource : std::uint8_t { kDrainHeader, kConnectFailures };
inline constexpr std::size_t kAvailabilitySourceCount = 2;

/// The last signal of one source about a replica. Signals of one replica and
/// source are totally ordered by (stamp, unavailable). A merge keeps the
/// greatest, so it is commutative, associative and idempotent.
struct AvailabilitySignal {
  Address replica;
  AvailabilitySource source = AvailabilitySource::kDrainHeader;
  bool unavailable = false;
  /// Increases by one with each change that any process observes; 0 if no
  /// signal was ever received.
  std::uint64_t stamp = 0;
  bool operator==(const AvailabilitySignal&) const = default;
};

/// A replica as shown in the platform's list of VMs.
struct PlatformReplica {
  Address replica;
  bool leaving = false;
};

/// Settings of an AvailabilityTracker.
struct AvailabilitySettings {
  /// Time after a replica appears as leaving in the platform's list before the
  /// list takes effect, so that direct evidence can contradict it.
  Duration platform_list_grace = milliseconds(1500);
  /// Age at which a drain header expires, unless the platform's list also shows
  /// the replica as leaving.
  Duration drain_header_ttl = seconds(600);
  /// Age at which connect failures expire, so that another attempt is made.
  Duration connect_failure_ttl = seconds(1);
  /// Number of consecutive connect failures after which a replica is
  /// unreachable.
  std::uint32_t connect_failure_threshold = 3;
};

/// Decides which replicas are available for new work, from the operators' drain
/// requests, the replicas' drain headers, connect failures and the platform's
/// list. The list lags both when a replica starts and when it stops leaving, so
/// it never overrides a more recent signal. Not thread safe.
class AvailabilityTracker {
 public:
  /// The availability signals of one replica.
  struct Record {
    bool operator_draining = false;
    std::array<AvailabilitySignal, kAvailabilitySourceCount> signals;
    std::array<TimePoint, kAvailabilitySourceCount> signal_updated_at{};
    bool platform_leaving = false;
    TimePoint platform_changed_at{};
    /// Send time of the last attempt that was answered without drain header.
    std::optional<TimePoint> serving_sent_at;
    std::uint32_t connect_failures = 0;
  };

  explicit AvailabilityTracker(const AvailabilitySettings& settings)
      : m_settings(settings) {}

  /// Returns the record of `replica` and creates it if it is missing. It stays
  /// valid until Remove(replica).
  Record* FindOrCreateRecord(const Address& replica);

  /// Removes the record of a replica that is no longer configured.
  void Remove(const Address& replica) { m_records.erase(replica.host_port); }

  /// Returns whether the replica is draining at `now` and gets no new work,
  /// because of the operators, its drain header or the platform's list.
  [[nodiscard]] bool IsDraining(const Record& record, TimePoint now) const;

  /// Returns whether the replica is unreachable at `now` after connect
  /// failures. It then gets work only if no other replica is available.
  [[nodiscard]] bool IsUnreachable(const Record& record, TimePoint now) const;

  /// Records an answer, received at `now`, to an attempt sent at `sent_at`.
  void OnAnswer(Record* record, bool draining, TimePoint sent_at,
                TimePoint now);

  /// Records that no connection could be made at `now`.
  void OnConnectFailure(Record* record, TimePoint now);

  /// Applies the platform's list as read at `now`. Replicas that it does not
  /// contain count as live.
  void OnPlatformList(const std::vector<PlatformReplica>& list, TimePoint now);

  /// Merges a signal from another process; returns whether it replaced an older
  /// one. Signals about replicas without record are ignored.
  bool Merge(const AvailabilitySignal& signal, TimePoint now);

  /// Returns all signals that have been observed or received.
  [[nodiscard]] std::vector<AvailabilitySignal> Signals() const;

  /// Returns whether PopChanges has something to return.
  [[nodiscard]] bool HasChanges() const { return !m_changes.empty(); }

  /// Removes and returns the signals that changed since the last call; only the
  /// newest ones if there are very many.
  std::vector<AvailabilitySignal> PopChanges();

 private:
  void UpdateSignal(Record* record, AvailabilitySource source, bool unavailable,
                    TimePoint now);
  void AddChange(const AvailabilitySignal& signal);
  [[nodiscard]] bool IsDrainingByHeader(const Record& record,
                                        TimePoint now) const;
  [[nodiscard]] bool IsLeavingByPlatform(const Record& record,
                                         TimePoint now) const;

  AvailabilitySettings m_settings;
  std::unordered_map<std::string, Record> m_records;
  std::deque<AvailabilitySignal> m_changes;
};

}  // namespace chicoryvale

#endif  // CHICORYVALE_SRC_UPSTREAM_AVAILABILITY_TRACKER_H_
