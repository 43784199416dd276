#include "replication/peer_replication_transport.h"

#include <cassert>
#include <utility>

namespace chicoryvale {

PeerReplicationTransport::PeerReplicationTransport(PeerTransport* peers,
                                                   Duration timeout)
    : m_peers(peers), m_timeout(timeout) {
  assert(peers != nullptr && timeout > Duration::zero());
  m_peers->SetHandler(PeerChannel::kReplication,
                      [this](const Address& from, std::string request,
                             const PeerTransport::Responder& respond) {
                        OnCall(from, std::move(request), respond);
                      });
}

PeerReplicationTransport::~PeerReplicationTransport() {
  m_shared_state->receiver = {};
  m_peers->SetHandler(
      PeerChannel::kReplication,
      [](const Address& /*from*/, const std::string& /*request*/,
         const PeerTransport::Responder& respond) { respond({}); });
}

void PeerReplicationTransport::OnSend(const Address& to, std::string bytes) {
  if (m_current_responder != nullptr && *m_current_caller == to) {
    (*std::exchange(m_current_responder, nullptr))(std::move(bytes));
    return;
  }
  m_peers->Call(to, PeerChannel::kReplication, std::move(bytes), m_timeout,
                [state = m_shared_state](Result<std::string> reply) {
                  // The replication protocol sends lost messages again.
                  if (!reply || reply->empty() || !state->receiver) return;
                  state->receiver(std::move(*reply));
                });
}

void PeerReplicationTransport::OnSetReceiver(Receiver receiver) {
  m_shared_state->receiver = std::move(receiver);
}

void PeerReplicationTransport::OnCall(const Address& from, std::string request,
                                      const PeerTransport::Responder& respond) {
  m_current_caller = &from;
  m_current_responder = &respond;
  if (m_shared_state->receiver) m_shared_state->receiver(std::move(request));
  m_current_caller = nullptr;
  if (std::exchange(m_current_responder, nullptr) != nullptr) respond({});
}

}  // namespace chicoryvale
