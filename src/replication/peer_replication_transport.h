#ifndef CHICORYVALE_SRC_REPLICATION_PEER_REPLICATION_TRANSPORT_H_
#define CHICORYVALE_SRC_REPLICATION_PEER_REPLICATION_TRANSPORT_H_

#include "ports/peer_transport.h"
#include "replication/replication_transport.h"

namespace chicoryvale {

/// ReplicationTransport over the calls of a PeerTransport; the answers are
/// empty and only tell that the message arrived. Not thread safe.
class PeerReplicationTransport : public ReplicationTransport {
 public:
  /// `peers` must outlive the transport.
  explicit PeerReplicationTransport(PeerTransport* peers) : m_peers(peers) {}

 protected:
  void OnSend(const Address& to, std::string bytes) override;
  void OnSetReceiver(Receiver receiver) override;

 private:
  PeerTransport* m_peers;
};

}  // namespace chicoryvale

#endif  // CHICORYVALE_SRC_REPLICATION_PEER_REPLICATION_TRANSPORT_H_
