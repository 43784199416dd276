#ifndef CHICORYVALE_SRC_ADMISSION_OUTCOME_LIMIT_H_
#define CHICORYVALE_SRC_ADMISSION_OUTCOME_LIMIT_H_

#include <cstdint>

#include "base/time.h"

namespace chicoryvale {

/// Adaptive limit of the requests that are in flight to one set of shards. A
/// request that too few shards answer in time has wasted the work of all of
/// them, so beyond saturation more requests in flight mean fewer that are
/// served. The limit grows by a constant number per round of requests that are
/// served in time while it is used, and is reduced by a constant factor, at
/// most once per round, when one is not. Source: Chiu and Jain, "Analysis of
/// the increase and decrease algorithms for congestion avoidance", 1989. Not
/// thread safe.
class OutcomeLimit {
 public:
  /// The first and the lowest limit, and the increase per round of requests
  /// that are served in time. The default is for the requests of one entry of
  /// many, which learns from few of them.
  struct Options {
    double initial = 4;
    double min = 0.1;
    double increase_per_round = 0.5;
  };

  OutcomeLimit() = default;
  explicit OutcomeLimit(const Options& options)
      : m_options(options), m_limit(options.initial) {}

  /// Returns the maximum number of requests in flight. Below 1, it is the ratio
  /// of the time in which one request may be in flight: even one request of
  /// each entry can be too many.
  [[nodiscard]] double Limit() const { return m_limit; }

  /// Records a request that was served within its target latency. `in_flight`
  /// is the number of requests in flight at its end, itself included.
  void OnServedInTime(std::uint32_t in_flight);

  /// Records a request that was started at `started_at` and not served within
  /// its target latency.
  void OnNotServedInTime(TimePoint started_at, TimePoint now);

  static constexpr double kMaxLimit = 1024;

 private:
  Options m_options;
  double m_limit = Options().initial;
  TimePoint m_reduced_at{};
};

}  // namespace chicoryvale

#endif  // CHICORYVALE_SRC_ADMISSION_OUTCOME_LIMIT_H_
