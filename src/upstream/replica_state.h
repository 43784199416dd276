#ifndef CHICORYVALE_SRC_UPSTREAM_REPLICA_STATE_H_
#define CHICORYVALE_SRC_UPSTREAM_REPLICA_STATE_H_

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "base/ids.h"
#include "base/time.h"
#include "upstream/availability_tracker.h"
#include "upstream/concurrency_limit.h"
#include "upstream/latency_estimate.h"

namespace chicoryvale {

/// Settings of a ReplicaState.
struct ReplicaSettings {
  /// Age at which a load report no longer affects the cost of a replica; its
  /// weight falls linearly until then.
  Duration load_report_lifetime = seconds(2);
  /// Maximum factor by which a load report raises the cost of a replica.
  double load_report_max_factor = 2.0;
  /// Time over which the cost factor of a replica without history falls from
  /// `slow_start_cost_factor` to 1.
  Duration slow_start_duration = seconds(5);
  /// Factor applied to the cost of a replica at the start of its slow start.
  double slow_start_cost_factor = 4.0;
  /// Minimum and maximum pause after consecutive failures.
  Duration min_pause = milliseconds(50);
  Duration max_pause = seconds(5);
  /// Number of consecutive failures after which a replica is paused.
  std::uint32_t failures_before_pause = 2;
};

/// State of one replica as observed by this process: its attempts in flight,
/// their latency and failures, and the load that the replica reports. Not
/// thread safe.
class ReplicaState {
 public:
  /// Replicas with `cold` set go through slow start. `availability` must
  /// outlive the object.
  ReplicaState(Address address, const ReplicaSettings& settings,
               const ConcurrencyLimitSettings& limit,
               AvailabilityTracker::Record* availability, bool cold,
               TimePoint now);

  [[nodiscard]] const Address& GetAddress() const { return m_address; }
  [[nodiscard]] AvailabilityTracker::Record* Availability() const {
    return m_availability;
  }

  /// Returns the number of attempts of this process in flight.
  [[nodiscard]] std::uint32_t InFlight() const { return m_in_flight; }

  /// Returns the maximum number of attempts in flight: the lower of the
  /// adaptive limit and the connection share.
  [[nodiscard]] std::uint32_t Limit(TimePoint now) const;

  /// Sets the number of connections that this process may have open.
  void SetConnectionShare(std::uint32_t connections) {
    m_connection_share = connections;
  }
  [[nodiscard]] std::uint32_t ConnectionShare() const {
    return m_connection_share;
  }

  /// Returns whether the replica is paused at `now` after failures.
  [[nodiscard]] bool IsPaused(TimePoint now) const {
    return m_failures >= m_settings.failures_before_pause &&
           now < m_paused_until;
  }

  /// Returns the cost of one more attempt; lower is better.
  /// `default_latency_us` is used if no latency is known.
  [[nodiscard]] double Cost(TimePoint now, double default_latency_us) const;

  /// Returns the estimated latency in microseconds; 0 if none is known.
  [[nodiscard]] double LatencyUs() const { return m_latency.ValueUs(); }

  /// Returns the median latency; zero if none is known.
  [[nodiscard]] Duration Median() const { return m_limit.Median(); }

  /// Records that an attempt was sent.
  void OnStart() { ++m_in_flight; }
  /// Records the end of an attempt that was answered.
  void OnAnswer(Duration latency, TimePoint now);
  /// Records the end of an attempt that the replica refused because of its
  /// load.
  void OnShed(TimePoint now);
  /// Records the end of an attempt that failed because of the replica or the
  /// path to it.
  void OnFailure(Duration age, TimePoint now);
  /// Records the end of an attempt that had no answer at its deadline.
  void OnTimeout(Duration age, TimePoint now);
  /// Records the end of an attempt that this process abandoned.
  void OnAbandon(Duration age, TimePoint now);
  /// Records the end of an attempt whose outcome says nothing about the
  /// replica's health.
  void OnInconclusive();
  /// Records the load that the replica reports, in requests, and its number of
  /// slots.
  void OnLoadReport(std::uint32_t load, std::uint32_t slots, TimePoint now);

 private:
  void DecrementInFlight();
  [[nodiscard]] double LoadReportFactor(TimePoint now) const;
  [[nodiscard]] double SlowStartFactor(TimePoint now) const;
  void BeginSlowStart(TimePoint now);

  Address m_address;
  ReplicaSettings m_settings;
  ConcurrencyLimit m_limit;
  LatencyEstimate m_latency;
  AvailabilityTracker::Record* m_availability;
  std::uint32_t m_in_flight = 0;
  std::uint32_t m_connection_share;
  std::uint32_t m_failures = 0;
  TimePoint m_paused_until{};
  bool m_cold;
  TimePoint m_cold_since;
  double m_reported_excess_ratio = 0.0;
  std::optional<TimePoint> m_load_reported_at;
  std::uint32_t m_answers_since_report = 0;
};

}  // namespace chicoryvale

#endif  // CHICORYVALE_SRC_UPSTREAM_REPLICA_STATE_H_
