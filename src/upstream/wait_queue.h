#ifndef CHICORYVALE_SRC_UPSTREAM_WAIT_QUEUE_H_
#define CHICORYVALE_SRC_UPSTREAM_WAIT_QUEUE_H_

#include <cstddef>
#include <map>
#include <optional>
#include <utility>

#include "base/time.h"
#include "ports/replica_gate.h"

namespace chicoryvale {

/// An attempt that is queued until a replica is free.
struct QueuedAttempt {
  AttemptSpec spec;
  GateTicket ticket = 0;
  TimePoint queued_at{};
  ReplicaGate::Callback callback;
};

/// Bounded queue ordered by deadline, then by ticket, which is the order of
/// arrival. Not thread safe.
class WaitQueue {
 public:
  explicit WaitQueue(std::size_t capacity) : m_capacity(capacity) {}

  [[nodiscard]] bool IsEmpty() const { return m_attempts.empty(); }
  [[nodiscard]] bool IsFull() const { return m_attempts.size() >= m_capacity; }
  [[nodiscard]] std::size_t Size() const { return m_attempts.size(); }

  /// Adds an attempt. Precondition: not full.
  void Push(QueuedAttempt attempt) {
    const Key key(attempt.spec.deadline, attempt.ticket);
    m_attempts.emplace(key, std::move(attempt));
  }

  /// Returns the attempt with the earliest deadline; nullptr if empty.
  [[nodiscard]] const QueuedAttempt* First() const {
    return IsEmpty() ? nullptr : &m_attempts.begin()->second;
  }

  /// Returns the attempt after `attempt`; nullptr if it is the last.
  [[nodiscard]] const QueuedAttempt* After(const QueuedAttempt& attempt) const {
    const Key key(attempt.spec.deadline, attempt.ticket);
    const auto next = m_attempts.upper_bound(key);
    return next == m_attempts.end() ? nullptr : &next->second;
  }

  /// Removes and returns First(). Precondition: not empty.
  QueuedAttempt Pop() {
    return std::move(m_attempts.extract(m_attempts.begin()).mapped());
  }

  /// Removes and returns an attempt; nullopt if it is not in the queue.
  std::optional<QueuedAttempt> Remove(TimePoint deadline, GateTicket ticket) {
    auto node = m_attempts.extract(Key(deadline, ticket));
    if (node.empty()) return std::nullopt;
    return std::move(node.mapped());
  }

 private:
  using Key = std::pair<TimePoint, GateTicket>;
  std::size_t m_capacity;
  std::map<Key, QueuedAttempt> m_attempts;
};

}  // namespace chicoryvale

#endif  // CHICORYVALE_SRC_UPSTREAM_WAIT_QUEUE_H_
