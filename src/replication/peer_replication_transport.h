#ifndef CHICORYVALE_SRC_REPLICATION_PEER_REPLICATION_TRANSPORT_H_
#define CHICORYVALE_SRC_REPLICATION_PEER_REPLICATION_TRANSPORT_H_

#include <memory>
#include <string>

#include "ports/peer_transport.h"
#include "replication/replication_transport.h"

namespace chicoryvale {

/// ReplicationTransport over PeerTransport. Each message is a call on the
/// channel kReplication. The first message that a replica sends back to the
/// caller while it handles the call is sent as the response of the call, so
/// that an AppendRequest and its reply need one call. Not thread safe: used
/// only on the event loop.
class PeerReplicationTransport : public ReplicationTransport {
 public:
  /// `peers` must outlive the transport. A call without a response fails after
  /// `timeout`.
  PeerReplicationTransport(PeerTransport* peers, Duration timeout);
  ~PeerReplicationTransport() override;

  PeerReplicationTransport(const PeerReplicationTransport&) = delete;
  PeerReplicationTransport& operator=(const PeerReplicationTransport&) = delete;

 protected:
  void OnSend(const Address& to, std::string bytes) override;
  void OnSetReceiver(Receiver receiver) override;

 private:
  /// Shared with the callbacks of calls in flight, which may outlive the
  /// transport.
  struct SharedState {
    Receiver receiver;
  };

  void OnCall(const Address& from, std::string request,
              const PeerTransport::Responder& respond);

  PeerTransport* m_peers;
  Duration m_timeout;
  std::shared_ptr<SharedState> m_shared_state = std::make_shared<SharedState>();
  /// Caller and responder of the call that is being handled. The responder is
  /// null once the call has a response.
  const Address* m_current_caller = nullptr;
  const PeerTransport::Responder* m_current_responder = nullptr;
};

}  // namespace chicoryvale

#endif  // CHICORYVALE_SRC_REPLICATION_PEER_REPLICATION_TRANSPORT_H_
