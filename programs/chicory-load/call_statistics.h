#ifndef CHICORYVALE_PROGRAMS_CHICORY_LOAD_CALL_STATISTICS_H_
#define CHICORYVALE_PROGRAMS_CHICORY_LOAD_CALL_STATISTICS_H_

#include <array>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "base/time.h"

namespace chicoryvale {

/// The outcome of one call.
struct CallResult {
  /// Empty for an answer; otherwise the kind of the error, or "no_answer".
  std::string error_kind;
  /// Whether the call ran: "no", "maybe" or "yes"; empty if the error does not
  /// state it.
  std::string ran;
  /// Both 0 if the response does not state its coverage.
  std::uint64_t shards_covered = 0;
  std::uint64_t shards_asked = 0;
  /// Measured from the time at which the call was due, so that the time that
  /// calls wait behind slow ones is included (coordinated omission; G. Tene,
  /// "How NOT to Measure Latency").
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

  /// Returns the latency at `quantile` (0 to 1) of the answers; zero if there
  /// are none.
  [[nodiscard]] Duration Latency(double quantile) const;

  [[nodiscard]] std::uint64_t Unsent() const { return m_unsent; }
  [[nodiscard]] std::uint64_t Sent() const { return m_sent; }
  [[nodiscard]] std::uint64_t Answers() const { return m_latencies.size(); }
  [[nodiscard]] std::uint64_t CompleteAnswers() const {
    return m_complete_answers;
  }
  [[nodiscard]] std::uint64_t ShardsCovered() const { return m_shards_covered; }
  [[nodiscard]] std::uint64_t ShardsAsked() const { return m_shards_asked; }
  /// Returns the number of errors by "kind/ran".
  [[nodiscard]] const std::map<std::string, std::uint64_t>& Errors() const {
    return m_errors;
  }

 private:
  std::uint64_t m_unsent = 0;
  std::uint64_t m_sent = 0;
  std::uint64_t m_complete_answers = 0;
  std::uint64_t m_shards_covered = 0;
  std::uint64_t m_shards_asked = 0;
  std::map<std::string, std::uint64_t> m_errors;
  mutable std::vector<Duration> m_latencies;
};

}  // namespace chicoryvale

#endif  // CHICORYVALE_PROGRAMS_CHICORY_LOAD_CALL_STATISTICS_H_
