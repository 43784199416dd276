#include "routing/answer_timing.h"

#include <algorithm>

namespace chicoryvale {
namespace {

/// The times below are percentages of the target latency of a route, except
/// where they are durations.
constexpr int kHedgeDelayPercent = 45;
constexpr int kPartialAnswerPercent = 85;
constexpr int kFirstAttemptDeadlinePercent = 92;
constexpr int kMinAttemptTimePercent = 25;
/// Expected answer time up to which a hedge is sent. The expectation is rough,
/// so only hedges that would clearly be late are omitted.
constexpr int kMaxHedgeAnswerPercent = 130;
/// Refused sub-requests are retried up to the target latency. Late answers have
/// little value, but an answer that is nearly in time is not given up.
constexpr int kRefusalRetryPercent = 100;
/// Time for the answer of a relay to cross between availability zones and to be
/// processed.
constexpr Duration kRelayReplyTime = milliseconds(6);
/// Time for the caller to connect and send its request, and for the answer to
/// be processed and to return. The target latency is measured at the caller, so
/// it includes this time.
constexpr Duration kCallerOverhead = milliseconds(18);
/// Lower bound of PartialAnswerTime as a percentage of the target latency.
constexpr int kMinPartialAnswerPercent = 70;
constexpr int kPercent = 100;
/// A route may have a target latency of zero, and hedges are checked
/// repeatedly.
constexpr Duration kMinHedgeDelay = milliseconds(1);

/// Tolerance for the rounding of a minimum share of shards that is given as a
/// decimal fraction.
constexpr double kCoverageTolerance = 1e-9;

}  // namespace

Duration AnswerTiming::HedgeDelay() const {
  return std::max<Duration>(
      m_route->target_latency * kHedgeDelayPercent / kPercent, kMinHedgeDelay);
}

Duration AnswerTiming::PartialAnswerTime() const {
  const Duration target = m_route->target_latency;
  const Duration default_time = target * kPartialAnswerPercent / kPercent;
  const Duration min_time = target * kMinPartialAnswerPercent / kPercent;
  return std::min(default_time, std::max(target - kCallerOverhead, min_time));
}

Duration AnswerTiming::RelayAnswerTime() const {
  return std::max(PartialAnswerTime() - kRelayReplyTime, HedgeDelay());
}

Duration AnswerTiming::FirstAttemptDeadline() const {
  return m_route->IsScattered()
             ? m_route->target_latency * kFirstAttemptDeadlinePercent / kPercent
             : m_route->timeout;
}

Duration AnswerTiming::MinAttemptTime() const {
  return m_route->target_latency * kMinAttemptTimePercent / kPercent;
}

Duration AnswerTiming::RefusalRetryDeadline() const {
  return m_route->target_latency * kRefusalRetryPercent / kPercent;
}

bool AnswerTiming::ShouldHedge(Duration cost, Duration elapsed) const {
  return elapsed + cost <
         m_route->target_latency * kMaxHedgeAnswerPercent / kPercent;
}

bool AnswerTiming::IsSufficient(std::size_t answered, std::size_t total) const {
  if (answered == 0) return false;
  const double needed =
      m_route->scatter.min_coverage * static_cast<double>(total) -
      kCoverageTolerance;
  return static_cast<double>(answered) >= needed;
}

}  // namespace chicoryvale
