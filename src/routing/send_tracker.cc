#include "routing/send_tracker.h"

#include <utility>

namespace chicoryvale {
namespace {

/// Maximum time for which a released send stays open. It is below half a
/// second, after which work for a caller that has disconnected counts as
/// wasted.
constexpr Duration kMaxReleasedSendTime = milliseconds(300);

}  // namespace

SendTracker::~SendTracker() {
  for (auto& [id, open] : m_open_sends) {
    m_scheduler->Cancel(open.timer);
    m_transport->Cancel(open.transport_send);
  }
}

std::uint64_t SendTracker::Send(const ReplicaSend& send, Callback callback) {
  const std::uint64_t id = ++m_last_id;
  OpenSend& open = m_open_sends[id];
  open.request = send.request;
  open.replica_id = send.replica_id;
  open.pool_send = m_pool->BeginSend(send.replica_id, m_scheduler->Now());
  open.callback = std::move(callback);
  open.transport_send = m_transport->Send(
      send, [this, id](ReplicaAnswer answer) { OnEnd(id, std::move(answer)); });
  return id;
}

void SendTracker::OnEnd(std::uint64_t id, ReplicaAnswer answer) {
  auto node = m_open_sends.extract(id);
  OpenSend& open = node.mapped();
  m_scheduler->Cancel(open.timer);
  m_pool->EndSend(open.replica_id, open.pool_send, answer, m_scheduler->Now());
  RecordNotice(open, answer.notice);
  if (open.callback) open.callback(std::move(answer));
}

void SendTracker::RecordNotice(const OpenSend& send,
                               const ReplicaNotice& notice) {
  const TimePoint now = m_scheduler->Now();
  if (m_pool->RecordRateLimit(send.replica_id, notice.max_requests_per_s,
                              now)) {
    m_log->Write(
        LogLevel::kInfo, "replica_limit_changed",
        {{"id", send.request->id},
         {"replica", send.replica_id},
         {"requests_per_s", std::to_string(*notice.max_requests_per_s)}});
  }
  const auto change = m_pool->RecordNotice(send.replica_id, notice, now);
  if (change == ReplicaNotices::Change::kNone) return;
  const bool is_draining = change == ReplicaNotices::Change::kDraining;
  m_log->Write(
      LogLevel::kInfo,
      is_draining ? "replica_says_draining" : "replica_backs_off",
      {{"id", send.request->id},
       {"replica", send.replica_id},
       {"for_ms", is_draining ? ""
                              : MillisecondsText(notice.back_off.value_or(
                                    Duration::zero()))}});
}

void SendTracker::Cancel(std::uint64_t id) {
  auto node = m_open_sends.extract(id);
  if (node.empty()) return;
  OpenSend& open = node.mapped();
  m_scheduler->Cancel(open.timer);
  m_transport->Cancel(open.transport_send);
  m_pool->CancelSend(open.replica_id, open.pool_send);
}

void SendTracker::Release(std::uint64_t id) {
  const auto found = m_open_sends.find(id);
  if (found == m_open_sends.end()) return;
  found->second.callback = {};
  found->second.timer =
      m_scheduler->Schedule(kMaxReleasedSendTime, [this, id] { Cancel(id); });
}

}  // namespace chicoryvale
