#include "replication/peer_replication_transport.h"

#include <utility>

namespace chicoryvale {
namespace {

// A message that takes longer is of no use: a newer heartbeat follows it.
constexpr Duration kDeliveryTimeout = milliseconds(1000);

}  // namespace

void PeerReplicationTransport::OnSend(const Address& to, std::string bytes) {
  m_peers->Call(to, PeerChannel::kReplication, std::move(bytes),
                kDeliveryTimeout, [](const Result<std::string>&) {});
}

void PeerReplicationTransport::OnSetReceiver(Receiver receiver) {
  m_peers->SetHandler(PeerChannel::kReplication,
                      [receiver = std::move(receiver)](
                          const Address&, std::string request,
                          const PeerTransport::Responder& respond) {
                        if (receiver) receiver(std::move(request));
                        respond({});
                      });
}

}  // namespace chicoryvale
