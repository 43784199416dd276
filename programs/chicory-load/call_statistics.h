#ifndef CHICORYVALE_PROGRAMS_CHICORY_LOAD_CALL_STATISTICS_H_
#define CHICORYVALE_PROGRAMS_CHICORY_LOAD_CALL_STATISTICS_H_

#include <array>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "base/time.h"

namespace chicoryvale {

/// How one call ended.
struct CallResult {
  /// Empty for an answer; else the error's kind, or "no_answer".
  std::string error_kind;
  /// "no", "maybe" or "yes", as the error tells; empty if it does not.
  std::string ran;
  /// Shards covered and asked; 0 of 0 if the answer does not tell.
  std::uint64_t covered = 0;
  std::uint64_t asked = 0;
  /// From the time at which the call was due, so that calls that wait behind
  /// slow ones are not flattered (coordinated omission; G. Tene, "How NOT to
  /// Measure Latency").
  Duration latency{};
};

/// Results of the calls of one stream. Not thread safe.
class CallStatistics {
 public:
  /// Counts a call that was due but not sent.
  void AddUnsent() { ++m_unsent; }
  void Add(const CallResult& result);
  /// Adds all results of `other`.
  void Add(const CallStatistics& other);

  /// Returns the latency below which the share `quantile` of the answers lies;
  /// zero without answers.
  [[nodiscard]] Duration Latency(double quantile) const;

  [[nodiscard]] std::uint64_t Unsent() const { return m_unsent; }
  [[nodiscard]] std::uint64_t Sent() const { return m_sent; }
  [[nodiscard]] std::uint64_t Answers() const { return m_latencies.size(); }
  [[nodiscard]] std::uint64_t Whole() const { return m_whole; }
  [[nodiscard]] std::uint64_t Covered() const { return m_covered; }
  [[nodiscard]] std::uint64_t Asked() const { return m_asked; }
  /// Counts by "kind/ran".
  [[nodiscard]] const std::map<std::string, std::uint64_t>& Errors() const {
    return m_errors;
  }

 private:
  std::uint64_t m_unsent = 0;
  std::uint64_t m_sent = 0;
  std::uint64_t m_whole = 0;
  std::uint64_t m_covered = 0;
  std::uint64_t m_asked = 0;
  std::map<std::string, std::uint64_t> m_errors;
  mutable std::vector<Duration> m_latencies;
};

}  // namespace chicoryvale

#endif  // CHICORYVALE_PROGRAMS_CHICORY_LOAD_CALL_STATISTICS_H_
