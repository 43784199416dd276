#ifndef CHICORYVALE_TESTS_SOAK_RETRY_CHECK_H_
#define CHICORYVALE_TESTS_SOAK_RETRY_CHECK_H_

#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "base/time.h"

namespace chicoryvale {

/// Checks what arrives at the replicas against the limits on retries that all
/// entries share: the retry budget of each service in any window, the number of
/// replicas that run one request, and the time that replicas are given. Not
/// thread safe.
class RetryCheck {
 public:
  /// The limits on the retries of all entries together.
  struct Limits {
    double ratio = 0.2;
    Duration window = seconds(10);
    std::uint32_t fixed = 100;
    std::size_t max_attempts = 2;
  };

  /// A request as it arrives at a replica.
  struct Arrival {
    std::string replica_id;
    std::string service;
    std::string request_id;
    /// Time that the replica is given; absent if the request doesn't state it.
    std::optional<Duration> time_left;
    bool ran = false;
    TimePoint at{};
  };

  explicit RetryCheck(const Limits& limits) : m_limits(limits) {}

  /// Records that a caller sent a request which is to reach `services` and ends
  /// at `deadline`.
  void RecordRequest(const std::string& id,
                     const std::vector<std::string>& services, TimePoint now,
                     TimePoint deadline);

  void RecordArrival(const Arrival& arrival);

  /// Returns a description of each limit that was exceeded.
  [[nodiscard]] std::vector<std::string> FindViolations() const;

  /// Returns the most retries of one service in a window, as a ratio of what is
  /// allowed.
  [[nodiscard]] double HighestUse() const;

 private:
  /// Times in ascending order.
  struct ServiceTimes {
    std::vector<TimePoint> requests;
    std::vector<TimePoint> retries;
  };

  /// Use of the budget in the window that begins at `begin`.
  [[nodiscard]] double UseOfWindow(const ServiceTimes& times,
                                   TimePoint begin) const;

  Limits m_limits;
  std::map<std::string, ServiceTimes> m_times;
  std::map<std::string, TimePoint> m_deadlines;
  /// Replicas that ran a request, by service and request id.
  std::map<std::pair<std::string, std::string>, std::set<std::string>> m_runs;
  std::set<std::pair<std::string, std::string>> m_arrived;
  std::size_t m_arrivals = 0;
  std::size_t m_arrivals_with_too_much_time = 0;
};

}  // namespace chicoryvale

#endif  // CHICORYVALE_TESTS_SOAK_RETRY_CHECK_H_
