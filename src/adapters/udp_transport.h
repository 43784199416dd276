#ifndef CHICORYVALE_SRC_ADAPTERS_UDP_TRANSPORT_H_
#define CHICORYVALE_SRC_ADAPTERS_UDP_TRANSPORT_H_

#include <gio/gio.h>

#include <cstddef>
#include <memory>
#include <set>
#include <string>
#include <string_view>
#include <utility>
#include <variant>
#include <vector>

#include "adapters/frame_auth.h"
#include "adapters/socket_address.h"
#include "ports/peer_transport.h"

namespace chicoryvale {

/// Settings of a UdpTransport.
struct UdpOptions {
  /// IP address and port to bind. Port 0 selects a free port.
  Address bind;
  /// Shared secret; must not be empty. The daemons' settings require at least
  /// kMinKeyBytes bytes.
  std::string key;
  /// Peers to which nothing is sent and whose datagrams are dropped, so that
  /// tests of processes can simulate network partitions.
  std::set<Address> refused_peers;
  /// Maximum payload. The default keeps a whole datagram within the usual MTU
  /// of 1500 bytes.
  std::size_t max_payload_bytes = 1400;
};

/// DatagramTransport over UDP with one frame of FrameAuth in each datagram.
/// There is no protection against the replay of a recorded datagram; receivers
/// rely on incarnation numbers and stamps that only increase. Not thread safe:
/// use only on the event loop.
class UdpTransport : public DatagramTransport {
 public:
  /// Binds the socket and receives on the thread-default main context. Returns
  /// kMalformedRequest for invalid options and kUpstreamUnavailable if the
  /// address can't be bound.
  static Result<std::unique_ptr<UdpTransport>> Make(UdpOptions options);
  ~UdpTransport() override;
  UdpTransport(const UdpTransport&) = delete;
  UdpTransport& operator=(const UdpTransport&) = delete;

  /// Returns the bound address with its actual port.
  [[nodiscard]] const Address& LocalAddress() const { return m_local; }

  /// Replaces the set of refused peers.
  void SetRefusedPeers(std::set<Address> refused) {
    m_options.refused_peers = std::move(refused);
  }

  [[nodiscard]] const PeerCounters& counters() const { return m_counters; }

 protected:
  void OnSend(const Address& to, std::string payload) override;
  void OnSetReceiver(Receiver receiver) override;

 private:
  explicit UdpTransport(UdpOptions options);
  Result<std::monostate> Bind();
  static gboolean OnReadable(GSocket* socket, GIOCondition condition,
                             gpointer data);
  void ReceiveBatch();
  void HandleDatagram(const Address& from, std::string_view bytes);

  UdpOptions m_options;
  FrameAuth m_auth;
  PeerCounters m_counters;
  Address m_local;
  Receiver m_receiver;
  GObjectPtr<GSocket> m_socket;
  GSource* m_source = nullptr;
  std::vector<char> m_buffer;
};

}  // namespace chicoryvale

#endif  // CHICORYVALE_SRC_ADAPTERS_UDP_TRANSPORT_H_
