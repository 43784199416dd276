#include "soak/retry_check.h"

#include <algorithm>

namespace chicoryvale {
namespace {

/// Requests that may run at more replicas than allowed.
constexpr std::ptrdiff_t kMaxRequestsBeyondAttempts = 3;

/// Replicas may be given this much more time than is left, and more than that
/// in a few cases.
constexpr Duration kTimeSlack = milliseconds(500);
constexpr std::size_t kMaxArrivalsWithTooMuchTime = 20;
constexpr std::size_t kMaxShareOfTooMuchTime = 5;

std::ptrdiff_t CountBetween(const std::vector<TimePoint>& times,
                            TimePoint begin, TimePoint end) {
  return std::ranges::upper_bound(times, end) -
         std::ranges::lower_bound(times, begin);
}

}  // namespace

void RetryCheck::RecordRequest(const std::string& id,
                               const std::vector<std::string>& services,
                               TimePoint now, TimePoint deadline) {
  for (const std::string& service : services) {
    m_times[service].requests.push_back(now);
  }
  m_deadlines[id] = deadline;
}

void RetryCheck::RecordArrival(const Arrival& arrival) {
  ++m_arrivals;
  const std::pair key(arrival.service, arrival.request_id);
  if (!m_arrived.insert(key).second) {
    m_times[arrival.service].retries.push_back(arrival.at);
  }
  if (arrival.ran) m_runs[key].insert(arrival.replica_id);
  const auto deadline = m_deadlines.find(arrival.request_id);
  if (deadline == m_deadlines.end()) return;
  const bool has_too_much_time =
      !arrival.time_left ||
      arrival.at + *arrival.time_left > deadline->second + kTimeSlack;
  if (has_too_much_time) ++m_arrivals_with_too_much_time;
}

double RetryCheck::UseOfWindow(const ServiceTimes& times,
                               TimePoint begin) const {
  const Duration window = m_limits.window;
  const auto requests = std::max(
      {CountBetween(times.requests, begin, begin + window),
       CountBetween(times.requests, begin - window, begin),
       CountBetween(times.requests, begin - window / 2, begin + window / 2)});
  const double allowed =
      m_limits.ratio * static_cast<double>(requests) + m_limits.fixed;
  const auto retries = CountBetween(times.retries, begin, begin + window);
  return static_cast<double>(retries) / allowed;
}

double RetryCheck::HighestUse() const {
  double highest = 0;
  for (const auto& [service, times] : m_times) {
    for (const TimePoint begin : times.retries) {
      highest = std::max(highest, UseOfWindow(times, begin));
    }
  }
  return highest;
}

std::vector<std::string> RetryCheck::FindViolations() const {
  std::vector<std::string> violations;
  const double use = HighestUse();
  if (use > 1) {
    violations.push_back("the retries of a window are " + std::to_string(use) +
                         " times what is allowed");
  }
  const auto beyond_attempts =
      std::ranges::count_if(m_runs, [this](const auto& runs) {
        return runs.second.size() > m_limits.max_attempts;
      });
  if (beyond_attempts > kMaxRequestsBeyondAttempts) {
    violations.push_back(std::to_string(beyond_attempts) +
                         " requests ran at more replicas than allowed");
  }
  if (m_arrivals_with_too_much_time > kMaxArrivalsWithTooMuchTime &&
      m_arrivals_with_too_much_time > m_arrivals / kMaxShareOfTooMuchTime) {
    violations.push_back(std::to_string(m_arrivals_with_too_much_time) +
                         " requests gave a replica more time than is left");
  }
  return violations;
}

}  // namespace chicoryvale
