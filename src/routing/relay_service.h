#ifndef CHICORYVALE_SRC_ROUTING_RELAY_SERVICE_H_
#define CHICORYVALE_SRC_ROUTING_RELAY_SERVICE_H_

#include <cstdint>
#include <map>
#include <memory>
#include <utility>

#include "ports/peer_transport.h"
#include "routing/relay_messages.h"
#include "routing/routed_query.h"

namespace chicoryvale {

/// Serves the relay requests of other entries: sends the sub-requests to
/// replicas, merges the answers, and replies in time with a partial or complete
/// answer. Not thread safe.
class RelayService {
 public:
  /// `peers` and everything that `context` points to outlive the service.
  RelayService(const RoutingContext& context, PeerTransport* peers);
  ~RelayService();
  RelayService(const RelayService&) = delete;
  RelayService& operator=(const RelayService&) = delete;

  /// Refuses new requests from now on; those in progress are finished.
  void StopAccepting() { m_stopping = true; }

  [[nodiscard]] std::size_t InFlight() const { return m_calls.size(); }

 private:
  /// The requesting process and its number of the relay request.
  using Key = std::pair<Address, std::uint64_t>;

  /// A relay request that has not been answered.
  struct OpenCall {
    std::unique_ptr<RoutedQuery> query;
    PeerTransport::Responder respond;
  };

  void Handle(const Address& from, const std::string& bytes,
              const PeerTransport::Responder& respond);
  void Start(const Key& key, RelayRequestMessage message,
             const PeerTransport::Responder& respond);
  void Cancel(const Key& key);
  void End(const Key& key);

  RoutingContext m_context;
  PeerTransport* m_peers;
  bool m_stopping = false;
  std::map<Key, OpenCall> m_calls;
};

}  // namespace chicoryvale

#endif  // CHICORYVALE_SRC_ROUTING_RELAY_SERVICE_H_
