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
  /// IP number and port to listen on; port 0 takes a free one.
  Address bind;
  /// Address that peers dial; the listening address if empty.
  Address advertised;
  /// Shared secret, as ReadSecretFile returns it.
  std::string key;
  /// Outlives the transport.
  Scheduler* scheduler = nullptr;
  /// Peers that are neither dialled nor listened to; cuts links in tests of
  /// processes.
  std::set<Address> refused_peers;
  std::size_t max_payload_bytes = std::size_t{16} * 1024 * 1024;
  std::size_t max_queued_bytes = std::size_t{32} * 1024 * 1024;
  /// Bound for accepted connections and, separately, for dialled ones.
  std::size_t max_connections = 1024;
  /// Calls of one connection that are not answered yet.
  std::size_t max_calls_per_connection = 1024;
  Duration handshake_timeout = seconds(3);
  /// A connection without calls is closed after this long.
  Duration idle_timeout = seconds(120);
};

/// PeerTransport over TCP: one kept connection to each peer that is called,
/// many calls at once on each, frames by PeerConnection. A call that times out
/// on a connection that has received nothing since it was sent retires the
/// connection: later calls dial a new one, so that a connection that went
/// silent costs one timeout. Calls open at destruction get no callback.
/// Not thread safe: used only on the event loop.
class TcpPeerTransport : public PeerTransport {
 public:
  /// Binds and listens on the thread-default context. kMalformedRequest for
  /// bad options, kUpstreamUnavailable if the address can't be bound.
  static Result<std::unique_ptr<TcpPeerTransport>> Make(TcpPeerOptions options);
  ~TcpPeerTransport() override;
  TcpPeerTransport(const TcpPeerTransport&) = delete;
  TcpPeerTransport& operator=(const TcpPeerTransport&) = delete;

  /// Returns the address listened on, with the port that was taken.
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
  struct Dialled;
  struct Accepted;
  struct Message;

  explicit TcpPeerTransport(TcpPeerOptions options);
  Result<std::monostate> Listen();
  [[nodiscard]] PeerConnectionOptions ConnectionOptions();

  static gboolean OnIncoming(GSocketService* service,
                             GSocketConnection* connection, GObject* source,
                             gpointer data);
  void AcceptConnection(GSocketConnection* connection);
  void OnAcceptedReady(ConnectionId id, const Address& peer);
  void OnAcceptedFrame(ConnectionId id, const std::string& payload);
  void Answer(ConnectionId id, const Message& message);

  // Returns the connection for new calls to `to`, dialled if there is none;
  // nullptr if none can be opened.
  Dialled* FindOrDial(const Address& to);
  // Closes a dialled connection without calls, if there is one.
  bool EvictIdle();
  void OnDialledReady(ConnectionId id);
  void OnDialledFrame(ConnectionId id, const std::string& payload);
  void OnDialledClosed(ConnectionId id);
  void SendCall(CallId id, PendingCall* call, Dialled* dialled);
  void OnCallTimeout(ConnectionId connection, CallId call);
  void Fail(Callback callback, ErrorKind kind, std::string message);
  void SweepIdle();

  TcpPeerOptions m_options;
  FdPoller m_poller;
  FrameAuth m_auth;
  PeerCounters m_counters;
  Address m_local;
  GObjectPtr<GSocketService> m_service;
  gulong m_incoming_handler = 0;
  TimerId m_sweep_timer = 0;
  ConnectionId m_last_connection = 0;
  CallId m_last_call = 0;
  std::map<PeerChannel, Handler> m_handlers;
  std::unordered_map<ConnectionId, std::unique_ptr<Accepted>> m_accepted;
  std::unordered_map<ConnectionId, std::unique_ptr<Dialled>> m_dialled;
  /// Connections that take new calls.
  std::map<Address, ConnectionId> m_current;
  /// Zero-delay timers of failed calls.
  std::set<TimerId> m_failures;
};

}  // namespace chicoryvale

#endif  // CHICORYVALE_SRC_ADAPTERS_TCP_PEER_TRANSPORT_H_
