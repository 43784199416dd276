#include "routing/send_tracker.h"

#include <utility>

namespace chicoryvale {
namespace {

/// Longest work for which nobody waits: under the half second after which work
/// for a caller that has gone counts as wasted.
constexpr Duration kReleasedPatience = milliseconds(300);

}  // namespace

SendTracker::~SendTracker() {
  for (auto& [number, open] : m_open) {
    m_scheduler->Cancel(open.timer);
    m_transport->Cancel(open.transport_send);
  }
}

std::uint64_t SendTracker::Send(const ReplicaSend& send, Callback callback) {
  const std::uint64_t number = ++m_last_number;
  Open& open = m_open[number];
  open.replica_id = send.replica_id;
  open.pool_send = m_pool->BeginSend(send.replica_id, m_scheduler->Now());
  open.callback = std::move(callback);
  open.transport_send =
      m_transport->Send(send, [this, number](ReplicaAnswer answer) {
        OnEnd(number, std::move(answer));
      });
  return number;
}

void SendTracker::OnEnd(std::uint64_t number, ReplicaAnswer answer) {
  auto node = m_open.extract(number);
  Open& open = node.mapped();
  m_scheduler->Cancel(open.timer);
  m_pool->EndSend(open.replica_id, open.pool_send, answer, m_scheduler->Now());
  if (open.callback) open.callback(std::move(answer));
}

void SendTracker::Cancel(std::uint64_t number) {
  auto node = m_open.extract(number);
  if (node.empty()) return;
  Open& open = node.mapped();
  m_scheduler->Cancel(open.timer);
  m_transport->Cancel(open.transport_send);
  m_pool->ForgetSend(open.replica_id, open.pool_send);
}

void SendTracker::Release(std::uint64_t number) {
  const auto found = m_open.find(number);
  if (found == m_open.end()) return;
  found->second.callback = {};
  found->second.timer = m_scheduler->Schedule(
      kReleasedPatience, [this, number] { Cancel(number); });
}

}  // namespace chicoryvale
