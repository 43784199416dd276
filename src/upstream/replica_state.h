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

/// Settings of what is believed of a replica.
struct ReplicaSettings {
  /// Time in which the load that a replica claims fades to nothing.
  Duration load_hint_life = seconds(2);
  /// Largest factor by which a claimed load raises the cost of a replica.
  double load_hint_max_factor = 2.0;
  /// Time over which a replica without history is brought to full use.
  Duration slow_start = seconds(5);
  /// Factor on the cost of a replica at the begin of its slow start.
  double slow_start_factor = 4.0;
  /// Shortest and longest pause after failures in a row.
  Duration min_pause = milliseconds(50);
  Duration max_pause = seconds(5);
  /// Failures in a row before a replica is paused.
  std::uint32_t failures_before_pause = 2;
};

/// What this process knows of one replica: its own requests in flight, their
/// latency, failures, and what the replica claims. Not thread safe.
class ReplicaState {
 public:
  /// `cold` replicas go through slow start. `availability` must outlive the
  /// object.
  ReplicaState(Address address, const ReplicaSettings& settings,
               const ConcurrencyLimitSettings& limit,
               AvailabilityTracker::Record* availability, bool cold,
               TimePoint now);

  [[nodiscard]] const Address& GetAddress() const { return m_address; }
  [[nodiscard]] AvailabilityTracker::Record* Availability() const {
    return m_availability;
  }

  /// Returns the number of requests in flight from here.
  [[nodiscard]] std::uint32_t InFlight() const { return m_in_flight; }

  /// Returns how many may be in flight: the lower of the adaptive limit and
  /// the share of connections.
  [[nodiscard]] std::uint32_t Limit(TimePoint now) const;

  /// Sets the share of connections that this process may have open.
  void SetConnectionShare(std::uint32_t connections) {
    m_connection_share = connections;
  }
  [[nodiscard]] std::uint32_t ConnectionShare() const {
    return m_connection_share;
  }

  /// Returns whether failures keep the replica from being used at `now`.
  [[nodiscard]] bool IsPaused(TimePoint now) const {
    return m_failures >= m_settings.failures_before_pause &&
           now < m_paused_until;
  }

  /// Returns the cost of one more request, lower is better.
  /// `default_latency_us` stands in where no latency is known.
  [[nodiscard]] double Cost(TimePoint now, double default_latency_us) const;

  /// Returns the estimated latency in microseconds; 0 if none is known.
  [[nodiscard]] double LatencyMicros() const { return m_latency.Micros(); }

  /// Returns the median latency; zero if none is known.
  [[nodiscard]] Duration Median() const { return m_limit.Median(); }

  /// Counts a request that is sent.
  void OnStart() { ++m_in_flight; }
  /// Counts the end of a request that was answered.
  void OnAnswer(Duration latency, TimePoint now);
  /// Counts the end of a request that the replica refused for its load.
  void OnShed(TimePoint now);
  /// Counts the end of a request that failed through the replica or its path.
  void OnFailure(Duration age, TimePoint now);
  /// Counts the end of a request that had no answer at its deadline.
  void OnTimeout(Duration age, TimePoint now);
  /// Counts the end of a request that was given up here.
  void OnAbandon(Duration age, TimePoint now);
  /// Counts the end of a request that tells nothing of the replica's health.
  void OnNeutral();
  /// Takes the load that the replica claims.
  void OnLoadReport(std::uint32_t load, std::uint32_t slots, TimePoint now);

 private:
  void EndOne();
  [[nodiscard]] double LoadHintFactor(TimePoint now) const;
  [[nodiscard]] double SlowStartFactor(TimePoint now) const;
  void StartSlowly(TimePoint now);

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
  double m_claimed_excess = 0.0;
  std::optional<TimePoint> m_claimed_at;
  std::uint32_t m_answers_since_claim = 0;
};

}  // namespace chicoryvale

#endif  // CHICORYVALE_SRC_UPSTREAM_REPLICA_STATE_H_
