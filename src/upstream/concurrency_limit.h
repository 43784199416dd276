#ifndef CHICORYVALE_SRC_UPSTREAM_CONCURRENCY_LIMIT_H_
#define CHICORYVALE_SRC_UPSTREAM_CONCURRENCY_LIMIT_H_

#include <cstdint>

#include "base/time.h"

namespace chicoryvale {

/// Settings of a ConcurrencyLimit.
struct ConcurrencyLimitSettings {
  double initial = 2.0;
  double minimum = 1.0;
  double maximum = 64.0;
  /// The limit grows while the median latency is below this multiple of the
  /// base latency, which is the latency without queueing, and at least half of
  /// the limit is in flight.
  double grow_below_ratio = 1.5;
  /// The limit shrinks while the median latency is above this multiple of the
  /// base latency.
  double shrink_above_ratio = 3.0;
  /// Factor applied to the limit when the replica sheds load or an attempt
  /// times out.
  double shed_factor = 0.7;
};

/// Adaptive bound on the attempts that this process keeps in flight at one
/// replica. It grows by one per round of answers while the latency shows no
/// queueing and at least half of the limit is in flight, shrinks while the
/// latency shows queueing, and is cut when the replica sheds load or an attempt
/// times out.
/// Source of the scheme: Brakmo and Peterson, TCP Vegas, 1995. The median is
/// tracked as in Ma, Muthukrishnan and Sandler, Frugal Streaming, 2013, so that
/// single stragglers do not move it. Not thread safe.
class ConcurrencyLimit {
 public:
  explicit ConcurrencyLimit(const ConcurrencyLimitSettings& settings);

  /// Returns the maximum number of attempts in flight, at least 1.
  [[nodiscard]] std::uint32_t Limit() const {
    return static_cast<std::uint32_t>(m_limit);
  }

  /// Records an answer that took `latency`. `in_flight` is the number of
  /// attempts in flight when it arrived, the answered one included.
  void OnAnswer(Duration latency, std::uint32_t in_flight);

  /// Records that the replica refused an attempt at `now` because of its load,
  /// or that an attempt timed out.
  void OnShed(TimePoint now);

  /// Sets the upper bound of the limit. The lower bound takes precedence over
  /// it.
  void SetMaximum(double maximum);

  /// Returns the median latency; zero before the first answer.
  [[nodiscard]] Duration Median() const {
    return Duration(static_cast<std::int64_t>(m_median_us));
  }

 private:
  void UpdateMedian(double latency_us);
  void UpdateBase();
  void Clamp();

  ConcurrencyLimitSettings m_settings;
  double m_limit;
  double m_median_us = 0.0;
  double m_base_us = 0.0;
  TimePoint m_last_cut{};
  bool m_was_cut = false;
};

}  // namespace chicoryvale

#endif  // CHICORYVALE_SRC_UPSTREAM_CONCURRENCY_LIMIT_H_
