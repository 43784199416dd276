#ifndef CHICORYVALE_SRC_ROUTING_ANSWER_TIMING_H_
#define CHICORYVALE_SRC_ROUTING_ANSWER_TIMING_H_

#include <cstddef>

#include "base/time.h"
#include "routing/routing_config.h"

namespace chicoryvale {

/// When a request is repeated and when it is answered short of a part. Answers
/// the load in which each replica pauses now and then: of a request over many
/// shards almost always one replica is in a pause, and waiting for it makes the
/// whole answer late. Thread safe.
class AnswerTiming {
 public:
  explicit AnswerTiming(const Route& route) : m_route(&route) {}

  /// Time after its first send at which a silent part is asked of another
  /// replica too: late enough that a working replica has mostly answered,
  /// early enough that the other one answers within the target latency.
  [[nodiscard]] Duration HedgeDelay() const;

  /// Time after its arrival from which a request is answered with the parts
  /// that are in, if they suffice. A request to one replica has none.
  [[nodiscard]] Duration ShortAnswerTime() const;

  /// Time within which a relay answers with the parts that are in: before the
  /// request is answered short of them.
  [[nodiscard]] Duration RelayTime() const;

  /// Time after its arrival until which the first sends of a request's parts
  /// are of use. A replica whose queue holds a part for longer drops it, in
  /// place of working for an answer that has gone out short of that part.
  [[nodiscard]] Duration FirstSendLimit() const;

  /// Shortest time that a replica is given for a part that is to be in time.
  [[nodiscard]] Duration LeastSendTime() const;

  /// Whether another replica, expected to take `cost`, is asked for a part
  /// after `elapsed`: only if it can answer in time. Under load that is rarely
  /// so, and hedges would add to it.
  [[nodiscard]] bool IsHedgeOfUse(Duration cost, Duration elapsed) const;

  /// Time after its arrival until which a part that replicas refused is sent
  /// again.
  [[nodiscard]] Duration WaitLimit() const;

  /// Whether `parts` of `all` suffice for an answer.
  [[nodiscard]] bool Suffices(std::size_t parts, std::size_t all) const;

 private:
  const Route* m_route;
};

}  // namespace chicoryvale

#endif  // CHICORYVALE_SRC_ROUTING_ANSWER_TIMING_H_
