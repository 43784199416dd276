#ifndef CHICORYVALE_SRC_ADMISSION_QUERY_LIMIT_H_
#define CHICORYVALE_SRC_ADMISSION_QUERY_LIMIT_H_

#include <cstdint>

#include "base/time.h"

namespace chicoryvale {

/// Adaptive limit of the queries of one service that this process has in
/// flight. Estimates how many of them wait in queues by comparing the latency
/// with the base latency, which is the latency without queueing, and keeps that
/// number small. Sources: Brakmo and Peterson, "TCP Vegas", 1995, for the
/// estimate; Cardwell et al., "BBR", 2016, for probes that periodically measure
/// the base latency again at half of the load. Not thread safe.
class QueryLimit {
 public:
  /// Returns the maximum number of queries in flight, which is at least 1.
  [[nodiscard]] std::uint32_t Limit() const;

  /// Returns the estimated number of queries that do not wait in queues while
  /// the queries in flight are at the limit.
  [[nodiscard]] double LimitWithoutQueueing() const;

  /// Reports the end of a query. `latency` is the time in which half of its
  /// shards answered, which stragglers and lost shards do not affect.
  /// `in_flight` is the number of queries in flight at its end, including the
  /// query itself.
  void OnQueryEnd(Duration latency, std::uint32_t in_flight, TimePoint now);

  /// Reports a query that the upstreams refused because of overload.
  void OnOverloaded(TimePoint now);

  /// Returns the recent median latency, or zero before the first query.
  [[nodiscard]] Duration MedianLatency() const;

  static constexpr double kInitialLimit = 16;
  static constexpr double kMinLimit = 2;
  static constexpr double kMaxLimit = 4096;
  /// The limit grows while fewer queries than this wait in queues.
  static constexpr double kGrowBelowQueued = 2;
  /// The limit shrinks while more queries than this wait in queues.
  static constexpr double kShrinkAboveQueued = 4;
  /// Time between two probes of the base latency.
  static constexpr Duration kProbeInterval = seconds(10);
  /// Length of a probe, in median latencies.
  static constexpr int kProbeMedianLatencies = 12;

 private:
  void UpdateProbe(TimePoint now);
  void UpdateBaseLatency();

  double m_limit = kInitialLimit;
  /// Recent median latency, and its base: the median latency without queueing.
  double m_median_us = 0;
  double m_base_us = 0;
  TimePoint m_next_probe_at{};
  TimePoint m_probe_end{};
  TimePoint m_next_reduction_at{};
  bool m_probing = false;
  bool m_started = false;
};

}  // namespace chicoryvale

#endif  // CHICORYVALE_SRC_ADMISSION_QUERY_LIMIT_H_
