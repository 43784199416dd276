#ifndef CHICORYVALE_SRC_ROUTING_SEND_HISTORY_H_
#define CHICORYVALE_SRC_ROUTING_SEND_HISTORY_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>

#include "base/time.h"
#include "ports/replica_transport.h"
#include "routing/reported_load.h"

namespace chicoryvale {

/// What the sends of this entry to one replica tell of it: how long it takes to
/// answer, how often it fails, whether it seems to be paused, and whether it is
/// to be avoided for a while. Not thread safe.
class SendHistory {
 public:
  /// Weight of a new latency or outcome in its exponentially weighted moving
  /// average.
  static constexpr double kSampleWeight = 0.2;

  /// Records a send, by a number that no other send has.
  void Begin(std::uint64_t send, TimePoint now) { m_open_sends[send] = now; }

  /// Records that a send was cancelled before it was answered.
  void Cancel(std::uint64_t send) { m_open_sends.erase(send); }

  /// Records how a send ended. Returns how long it was open, or nothing if it
  /// has ended before.
  std::optional<Duration> End(std::uint64_t send, const ReplicaAnswer& answer,
                              TimePoint now);

  /// Records the time to an answer in microseconds, as if the replica had been
  /// as slow as usual.
  void RecordLatency(double latency_us);

  [[nodiscard]] std::size_t OpenSends() const { return m_open_sends.size(); }

  /// Returns whether RecordLatency was ever called.
  [[nodiscard]] bool HasLatency() const { return m_has_latency; }

  /// Returns the expected time to an answer in microseconds, if the replica is
  /// as slow as usual. `service_latency_us` is the mean of its service; what
  /// the replica exceeds it by counts less as time passes without an answer.
  /// Requires HasLatency.
  [[nodiscard]] double LatencyUs(std::optional<double> service_latency_us,
                                 TimePoint now) const;

  /// Returns the recency-weighted ratio of failures, from 0 to 1. Refusals
  /// count as failures, so a full replica is avoided like a failing one.
  [[nodiscard]] double FailureRatio(TimePoint now) const;

  /// Returns whether the replica, which reported `load`, is probably paused.
  [[nodiscard]] bool IsLikelyPaused(const ReportedLoad& load,
                                    TimePoint now) const;

  /// Returns whether the replica announced a moment ago that it closes a
  /// connection, and may be leaving.
  [[nodiscard]] bool IsClosing(TimePoint now) const {
    return now < m_closing_until;
  }

  /// Returns whether another replica answered at the address, a short time ago.
  [[nodiscard]] bool IsAddressOfAnother(TimePoint now) const {
    return now < m_wrong_replica_until;
  }

 private:
  void RecordOutcome(bool failed, double weight, TimePoint now);

  /// Start times of the sends that have not ended, by number.
  std::map<std::uint64_t, TimePoint> m_open_sends;
  std::optional<TimePoint> m_last_answer_at;
  /// Recency-weighted mean.
  double m_mean_latency_us = 0;
  bool m_has_latency = false;
  double m_failure_ratio = 0;
  TimePoint m_failure_updated_at{};
  /// Whether the last send that ended timed out.
  bool m_last_send_timed_out = false;
  /// If so, the replica is assumed to be paused until this time.
  TimePoint m_paused_until{};
  TimePoint m_closing_until{};
  TimePoint m_wrong_replica_until{};
};

}  // namespace chicoryvale

#endif  // CHICORYVALE_SRC_ROUTING_SEND_HISTORY_H_
