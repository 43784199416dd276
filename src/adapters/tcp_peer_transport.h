#ifndef CHICORYVALE_SRC_ADAPTERS_TCP_PEER_TRANSPORT_H_
#define CHICORYVALE_SRC_ADAPTERS_TCP_PEER_TRANSPORT_H_

#include <gio/gio.h>

#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>
#include <variant>

#include "adapters/fd_poller.h"
#include "adapters/frame_auth.h"
#include "adapters/peer_connection.h"
#include "adapters/socket_address.h"
#include "ports/peer_transport.h"
#include "ports/scheduler.h"

namespace chicoryvale {

/// Settings of a TcpPeerTransport.
struct TcpPeerOptions {
  /// IP address and port to listen on. Port 0 selects a free port.
  Address bind;
  /// Address at which peers can reach this process; the listening address if
  /// empty.
  Address advertised;
  /// Shared secret; must not be empty. The daemons' settings require at least
  /// kMinKeyBytes bytes.
  std::string key;
  /// Must outlive the transport.
  Scheduler* scheduler = nullptr;
  /// Peers to which no connection is opened and whose connections are closed,
  /// so that tests of processes can simulate network partitions.
  std::set<Address> refused_peers;
  std::size_t max_payload_bytes = std::size_t{16} * 1024 * 1024;
  /// Maximum number of bytes in the send queue of one connection.
  std::size_t max_queued_bytes = std::size_t{32} * 1024 * 1024;
  /// Maximum number of accepted connections and, separately, of dialled ones.
  std::size_t max_connections = 1024;
  /// Maximum number of accepted connections that are not authenticated yet.
  /// Beyond it, the oldest of them is closed.
  std::size_t max_unauthenticated_connections = 512;
  /// Maximum number of unanswered calls on one connection.
  std::size_t max_calls_per_connection = 1024;
  Duration handshake_timeout = seconds(3);
  /// A connection without calls is closed after this time; an accepted one
  /// after twice this time.
  Duration idle_timeout = seconds(120);
};

/// PeerTransport over TCP. Keeps one connection to each peer that is called,
/// with many concurrent calls; PeerConnection carries the frames. If a call
/// times out and its connection has received nothing since the call was sent,
/// the connection is retired and later calls dial a new one, so that an
/// unresponsive connection costs only one timeout. The callbacks of calls that
/// are pending at destruction are not called. Not thread safe: use only on the
/// event loop.
class TcpPeerTransport : public PeerTransport {
 public:
  /// Binds the socket and listens on the thread-default main context. Returns
  /// kMalformedRequest for invalid options and kUpstreamUnavailable if the
  /// address can't be bound.
  static Result<std::unique_ptr<TcpPeerTransport>> Make(TcpPeerOptions options);
  ~TcpPeerTransport() override;
  TcpPeerTransport(const TcpPeerTransport&) = delete;
  TcpPeerTransport& operator=(const TcpPeerTransport&) = delete;

  /// Returns the listening address with its actual port.
  [[nodiscard]] const Address& LocalAddress() const { return m_local; }

  /// Replaces the set of refused peers and closes connections to them.
  void SetRefusedPeers(std::set<Address> refused);

  [[nodiscard]] const PeerCounters& counters() const { return m_counters; }
  [[nodiscard]] std::size_t ConnectionCount() const {
    return m_accepted.size() + m_dialled.size();
  }

 protected:
  void OnCall(const Address& to, PeerChannel channel, std::string request,
              Duration timeout, Callback callback) override;
  void OnSetHandler(PeerChannel channel, Handler handler) override;

 private:
  using CallId = std::uint64_t;
  using ConnectionId = std::uint64_t;
  struct PendingCall;
  struct DialledConnection;
  struct AcceptedConnection;
  struct Message;

  explicit TcpPeerTransport(TcpPeerOptions options);
  Result<std::monostate> Listen();
  [[nodiscard]] PeerConnectionOptions ConnectionOptions();

  static gboolean OnIncoming(GSocketService* service,
                             GSocketConnection* connection, GObject* source,
                             gpointer data);
  void AcceptConnection(GSocketConnection* connection);
  // Closes the oldest connection that is not authenticated, if there are as
  // many as allowed.
  void LimitUnauthenticatedConnections();
  void OnAcceptedReady(ConnectionId id, const Address& peer);
  void OnAcceptedFrame(ConnectionId id, const std::string& payload);
  void SendAnswer(ConnectionId id, const Message& message);

  // Returns the connection for new calls to `to`, and dials one if there is
  // none. Returns nullptr if no connection can be opened.
  DialledConnection* FindOrDial(const Address& to);
  // Closes the least recently used dialled connection without calls. Returns
  // false if all of them have calls.
  bool EvictIdleConnection();
  void OnDialledReady(ConnectionId id);
  void OnDialledFrame(ConnectionId id, const std::string& payload);
  void OnDialledClosed(ConnectionId id);
  void SendCall(CallId id, PendingCall* call, DialledConnection* dialled);
  void OnCallTimeout(ConnectionId connection, CallId call);
  // Calls `callback` with an error from the event loop.
  void ScheduleFailure(Callback callback, ErrorKind kind, std::string message);
  void CloseIdleConnections();

  TcpPeerOptions m_options;
  FdPoller m_poller;
  FrameAuth m_auth;
  PeerCounters m_counters;
  Address m_local;
  GObjectPtr<GSocketService> m_service;
  gulong m_incoming_handler = 0;
  TimerId m_sweep_timer = 0;
  ConnectionId m_last_connection_id = 0;
  CallId m_last_call_id = 0;
  std::map<PeerChannel, Handler> m_handlers;
  std::unordered_map<ConnectionId, std::unique_ptr<AcceptedConnection>>
      m_accepted;
  std::unordered_map<ConnectionId, std::unique_ptr<DialledConnection>>
      m_dialled;
  /// The connection for new calls to each peer; retired connections are absent.
  std::map<Address, ConnectionId> m_current;
  /// Zero-delay timers that call the callbacks of failed calls.
  std::set<TimerId> m_failures;
};

}  // namespace chicoryvale

#endif  // CHICORYVALE_SRC_ADAPTERS_TCP_PEER_TRANSPORT_H_
