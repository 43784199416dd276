#include "routing/answer_timing.h"

#include <algorithm>

namespace chicoryvale {
namespace {

/// Parts of the target latency.
constexpr int kHedgePercent = 45;
constexpr int kShortAnswerPercent = 85;
constexpr int kFirstSendPercent = 92;
constexpr int kLeastSendPercent = 25;
/// The expected time is rough: a hedge is left out where it is clearly late.
constexpr int kHopelessPercent = 130;
/// Late answers are of little use; those that are nearly there are not lost.
constexpr int kWaitPercent = 100;
/// Way of a relay's answer between zones, and the work for it.
constexpr Duration kRelayHop = milliseconds(6);
/// A caller's new connection and its request's way, the way back of the answer,
/// and the work for it: the target latency runs for the caller.
constexpr Duration kCallerWay = milliseconds(18);
/// Part of the target latency that is always left for shards.
constexpr int kLeastShortAnswerPercent = 70;
constexpr int kPercent = 100;

/// Rounding of a share of shards given as a decimal fraction.
constexpr double kShareTolerance = 1e-9;

}  // namespace

Duration AnswerTiming::HedgeDelay() const {
  return m_route->target_latency * kHedgePercent / kPercent;
}

Duration AnswerTiming::ShortAnswerTime() const {
  const Duration target = m_route->target_latency;
  const Duration usual = target * kShortAnswerPercent / kPercent;
  const Duration least = target * kLeastShortAnswerPercent / kPercent;
  return std::min(usual, std::max(target - kCallerWay, least));
}

Duration AnswerTiming::RelayTime() const {
  return std::max(ShortAnswerTime() - kRelayHop, HedgeDelay());
}

Duration AnswerTiming::FirstSendLimit() const {
  return m_route->IsScattered()
             ? m_route->target_latency * kFirstSendPercent / kPercent
             : m_route->timeout;
}

Duration AnswerTiming::LeastSendTime() const {
  return m_route->target_latency * kLeastSendPercent / kPercent;
}

Duration AnswerTiming::WaitLimit() const {
  return m_route->target_latency * kWaitPercent / kPercent;
}

bool AnswerTiming::IsHedgeOfUse(Duration cost, Duration elapsed) const {
  return elapsed + cost < m_route->target_latency * kHopelessPercent / kPercent;
}

bool AnswerTiming::Suffices(std::size_t parts, std::size_t all) const {
  if (parts == 0) return false;
  const double needed =
      m_route->scatter.min_coverage * static_cast<double>(all) -
      kShareTolerance;
  return static_cast<double>(parts) >= needed;
}

}  // namespace chicoryvale
