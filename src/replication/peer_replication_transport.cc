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
  m_state->receiver = {};
  m_peers->SetHandler(
      PeerChannel::kReplication,
      [](const Address& /*from*/, const std::string& /*request*/,
         const PeerTransport::Responder& respond) { respond({}); });
}

void PeerReplicationTransport::OnSend(const Address& to, std::string bytes) {
  if (m_respond != nullptr && *m_caller == to) {
    (*std::exchange(m_respond, nullptr))(std::move(bytes));
    return;
  }
  m_peers->Call(to, PeerChannel::kReplication, std::move(bytes), m_timeout,
                [state = m_state](Result<std::string> answer) {
                  // A lost message is sent again by the protocol above.
                  if (!answer || answer->empty() || !state->receiver) return;
                  state->receiver(std::move(*answer));
                });
}

void PeerReplicationTransport::OnSetReceiver(Receiver receiver) {
  m_state->receiver = std::move(receiver);
}

void PeerReplicationTransport::OnCall(const Address& from, std::string request,
                                      const PeerTransport::Responder& respond) {
  m_caller = &from;
  m_respond = &respond;
  if (m_state->receiver) m_state->receiver(std::move(request));
  m_caller = nullptr;
  if (std::exchange(m_respond, nullptr) != nullptr) respond({});
}

}  // namespace chicoryvale
