#ifndef CHICORYVALE_SRC_UPSTREAM_WAIT_QUEUE_H_
#define CHICORYVALE_SRC_UPSTREAM_WAIT_QUEUE_H_

#include <cstddef>
#include <map>
#include <optional>
#include <utility>

#include "base/time.h"
#include "ports/replica_gate.h"

namespace chicoryvale {

/// A queued request that waits until a replica is free.
struct WaitingRequest {
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

  [[nodiscard]] bool IsEmpty() const { return m_requests.empty(); }
  [[nodiscard]] bool IsFull() const { return m_requests.size() >= m_capacity; }
  [[nodiscard]] std::size_t Size() const { return m_requests.size(); }

  /// Adds a request. Precondition: not full.
  void Push(WaitingRequest request) {
    const Key key(request.spec.deadline, request.ticket);
    m_requests.emplace(key, std::move(request));
  }

  /// Returns the request with the earliest deadline; nullptr if empty.
  [[nodiscard]] const WaitingRequest* First() const {
    return IsEmpty() ? nullptr : &m_requests.begin()->second;
  }

  /// Returns the request after `request`; nullptr if it is the last.
  [[nodiscard]] const WaitingRequest* After(
      const WaitingRequest& request) const {
    const Key key(request.spec.deadline, request.ticket);
    const auto next = m_requests.upper_bound(key);
    return next == m_requests.end() ? nullptr : &next->second;
  }

  /// Removes and returns First(). Precondition: not empty.
  WaitingRequest Pop() {
    return std::move(m_requests.extract(m_requests.begin()).mapped());
  }

  /// Removes and returns a request; nullopt if it is not in the queue.
  std::optional<WaitingRequest> Remove(TimePoint deadline, GateTicket ticket) {
    auto node = m_requests.extract(Key(deadline, ticket));
    if (node.empty()) return std::nullopt;
    return std::move(node.mapped());
  }

 private:
  using Key = std::pair<TimePoint, GateTicket>;
  std::size_t m_capacity;
  std::map<Key, WaitingRequest> m_requests;
};

}  // namespace chicoryvale

#endif  // CHICORYVALE_SRC_UPSTREAM_WAIT_QUEUE_H_
