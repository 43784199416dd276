#ifndef CHICORYVALE_SRC_REPLICATION_PEER_REPLICATION_TRANSPORT_H_
#define CHICORYVALE_SRC_REPLICATION_PEER_REPLICATION_TRANSPORT_H_

#include <memory>
#include <string>

#include "ports/peer_transport.h"
#include "replication/replication_transport.h"

namespace chicoryvale {

/// ReplicationTransport over PeerTransport. A message is a call on the channel
/// kReplication. The first message that a replica sends back to the caller
/// while it handles the call travels as its answer, so that an append and its
/// reply cost one call. Not thread safe: used only on the event loop.
class PeerReplicationTransport : public ReplicationTransport {
 public:
  /// `peers` must outlive the transport. A call is given up after `timeout`.
  PeerReplicationTransport(PeerTransport* peers, Duration timeout);
  ~PeerReplicationTransport() override;

  PeerReplicationTransport(const PeerReplicationTransport&) = delete;
  PeerReplicationTransport& operator=(const PeerReplicationTransport&) = delete;

 protected:
  void OnSend(const Address& to, std::string bytes) override;
  void OnSetReceiver(Receiver receiver) override;

 private:
  /// Shared with the callbacks of open calls, which may outlive the transport.
  struct State {
    Receiver receiver;
  };

  void OnCall(const Address& from, std::string request,
              const PeerTransport::Responder& respond);

  PeerTransport* m_peers;
  Duration m_timeout;
  std::shared_ptr<State> m_state = std::make_shared<State>();
  /// Set while a call is handled and not answered.
  const Address* m_caller = nullptr;
  const PeerTransport::Responder* m_respond = nullptr;
};

}  // namespace chicoryvale

#endif  // CHICORYVALE_SRC_REPLICATION_PEER_REPLICATION_TRANSPORT_H_
