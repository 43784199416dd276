#ifndef CHICORYVALE_SRC_ROUTING_ANSWER_TIMING_H_
#define CHICORYVALE_SRC_ROUTING_ANSWER_TIMING_H_

#include <cstddef>

#include "base/time.h"
#include "routing/routing_config.h"

namespace chicoryvale {

/// Computes when a request is hedged and when it gets a partial answer.
/// Replicas pause from time to time, so a request over many shards almost
/// always meets a paused replica, and waiting for it would make the whole
/// answer late. Thread safe.
class AnswerTiming {
 public:
  explicit AnswerTiming(const Route& route) : m_route(&route) {}

  /// Time after the first attempt of a sub-request at which an unanswered one
  /// is hedged: late enough that a responsive replica has usually answered,
  /// early enough that the hedge is answered within the target latency.
  [[nodiscard]] Duration HedgeDelay() const;

  /// Time after the arrival of a request from which a partial answer is sent if
  /// its coverage is sufficient. Only scattered requests get partial answers.
  [[nodiscard]] Duration PartialAnswerTime() const;

  /// Time within which a relay sends its answer, partial or complete. It ends
  /// before the requesting entry sends a partial answer.
  [[nodiscard]] Duration RelayAnswerTime() const;

  /// Time after the arrival of a request at which those attempts of its
  /// sub-requests expire that start at least MinAttemptTime before it. For a
  /// route that is not scattered it is the timeout of the route. A replica
  /// drops a sub-request that is still in its queue by then, rather than work
  /// for an answer that has been sent without it.
  [[nodiscard]] Duration FirstAttemptDeadline() const;

  /// Minimum time that a replica gets for a sub-request that is to be answered
  /// in time.
  [[nodiscard]] Duration MinAttemptTime() const;

  /// Returns whether a hedge to a replica with the expected time `cost` is
  /// worth sending after `elapsed`: only if its expected answer is earlier than
  /// 130 % of the target latency, because the expectation is imprecise. Under
  /// load that is rarely the case, and hedges would add to the load.
  [[nodiscard]] bool ShouldHedge(Duration cost, Duration elapsed) const;

  /// Time after the arrival of a request until which sub-requests that replicas
  /// refused are sent again.
  [[nodiscard]] Duration RefusalRetryDeadline() const;

  /// Returns whether answers to `answered` out of `total` sub-requests suffice
  /// for an answer.
  [[nodiscard]] bool IsSufficient(std::size_t answered,
                                  std::size_t total) const;

 private:
  const Route* m_route;
};

}  // namespace chicoryvale

#endif  // CHICORYVALE_SRC_ROUTING_ANSWER_TIMING_H_
