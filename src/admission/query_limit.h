#ifndef CHICORYVALE_SRC_ADMISSION_QUERY_LIMIT_H_
#define CHICORYVALE_SRC_ADMISSION_QUERY_LIMIT_H_

#include <cstdint>

#include "base/time.h"

namespace chicoryvale {

/// Adaptive bound on the queries of one service in flight from here. Estimates
/// how many of them wait in queues from the latency against that without
/// queues, and keeps that number small. Sources: Brakmo and Peterson, "TCP
/// Vegas", 1995, for the estimate; Cardwell et al., "BBR", 2016, for measuring
/// the latency without queues anew at times with half of the load. Not thread
/// safe.
class QueryLimit {
 public:
  /// Returns the number of queries that may be in flight, at least 1.
  [[nodiscard]] std::uint32_t Limit() const;

  /// Returns how many of the queries at the limit do not wait in queues.
  [[nodiscard]] double Working() const;

  /// Reports a query that ended: `latency` is the time in which half of its
  /// shards answered, which stragglers and lost shards do not move. `in_flight`
  /// counts the queries at its end, itself included.
  void OnEnd(Duration latency, std::uint32_t in_flight, TimePoint now);

  /// Reports a query that was refused for load below.
  void OnOverloaded(TimePoint now);

  /// Returns the recent median latency; zero before the first query.
  [[nodiscard]] Duration Median() const;

  static constexpr double kInitialLimit = 16;
  static constexpr double kMinLimit = 2;
  static constexpr double kMaxLimit = 4096;
  /// The limit grows while fewer queries than this wait.
  static constexpr double kFewWaiting = 2;
  /// The limit shrinks while more queries than this wait.
  static constexpr double kManyWaiting = 4;
  /// Time between two measurements of the latency without queues.
  static constexpr Duration kProbeInterval = seconds(10);
  /// Length of a measurement, in median latencies.
  static constexpr int kProbeMedians = 12;

 private:
  void UpdateProbe(TimePoint now);
  void UpdateBase();

  double m_limit = kInitialLimit;
  double m_median_us = 0;
  double m_base_us = 0;
  TimePoint m_next_probe{};
  TimePoint m_probe_end{};
  TimePoint m_next_cut{};
  bool m_probing = false;
  bool m_started = false;
};

}  // namespace chicoryvale

#endif  // CHICORYVALE_SRC_ADMISSION_QUERY_LIMIT_H_
