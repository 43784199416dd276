#ifndef CHICORYVALE_SRC_UPSTREAM_LATENCY_ESTIMATE_H_
#define CHICORYVALE_SRC_UPSTREAM_LATENCY_ESTIMATE_H_

#include "base/time.h"

namespace chicoryvale {

/// Moving average of latencies that weights a sample by the time since the last
/// one and rises faster than it falls. Source: the peak EWMA of Twitter's
/// Finagle, with each rise bounded so that one straggler does not keep requests
/// away from a replica. Not thread safe.
class LatencyEstimate {
 public:
  /// Adds a sample taken at `now`.
  void Add(Duration latency, TimePoint now);

  /// Adds the age of an attempt that ended unanswered at `now`. The age is a
  /// lower bound of the attempt's latency and is ignored if it is below the
  /// estimate.
  void AddLowerBound(Duration age, TimePoint now);

  /// Returns the estimate in microseconds; 0 before the first sample.
  [[nodiscard]] double ValueUs() const { return m_estimate_us; }

  /// Discards all samples.
  void Reset() { m_estimate_us = 0.0; }

 private:
  double m_estimate_us = 0.0;
  TimePoint m_last_sample_at{};
};

}  // namespace chicoryvale

#endif  // CHICORYVALE_SRC_UPSTREAM_LATENCY_ESTIMATE_H_
