#include "adapters/tcp_peer_transport.h"

#include <fcntl.h>

#include <algorithm>
#include <cassert>
#include <utility>
#include <variant>
#include <vector>

#include "base/codec.h"

namespace chicoryvale {
namespace {

constexpr int kListenBacklog = 1024;

enum class MessageType : std::uint8_t { kCall, kAnswer, kNoHandler, kOverload };

}  // namespace

/// Payload of each frame after the greeting.
struct TcpPeerTransport::Message {
  std::uint8_t type = 0;
  CallId call = 0;
  std::uint8_t channel = 0;
  std::string payload;

  template <class Archive>
  void serialize(Archive& archive) {  // NOLINT(readability-identifier-naming)
    archive(type, call, channel, payload);
  }
};

/// A call that waits for its answer or for its connection.
struct TcpPeerTransport::PendingCall {
  Callback callback;
  TimerId timer = 0;
  /// Encoded message; empty after it was sent.
  std::string unsent;
  TimePoint sent_at{};
};

/// A connection that this process opened.
struct TcpPeerTransport::DialledConnection {
  Address peer;
  std::shared_ptr<PeerConnection> connection;
  std::map<CallId, PendingCall> calls;
  TimePoint last_used{};
};

/// A connection that a peer opened.
struct TcpPeerTransport::AcceptedConnection {
  Address peer;
  std::shared_ptr<PeerConnection> connection;
  std::size_t unanswered_calls = 0;
};

Result<std::unique_ptr<TcpPeerTransport>> TcpPeerTransport::Make(
    TcpPeerOptions options) {
  if (options.key.empty() || options.scheduler == nullptr) {
    return MakeError(ErrorKind::kMalformedRequest,
                     "a peer transport requires a key and a scheduler");
  }
  std::unique_ptr<TcpPeerTransport> transport(
      new TcpPeerTransport(std::move(options)));
  const Result<std::monostate> listening = transport->Listen();
  if (!listening) return tl::unexpected(listening.error());
  return transport;
}

TcpPeerTransport::TcpPeerTransport(TcpPeerOptions options)
    : m_options(std::move(options)), m_auth(m_options.key) {}

Result<std::monostate> TcpPeerTransport::Listen() {
  auto address = ToSocketAddress(m_options.bind);
  if (!address) return tl::unexpected(address.error());
  m_service.reset(g_socket_service_new());
  auto* listener = G_SOCKET_LISTENER(m_service.get());
  g_socket_listener_set_backlog(listener, kListenBacklog);
  GSocketAddress* bound_address = nullptr;
  GError* error = nullptr;
  if (g_socket_listener_add_address(listener, address->get(),
                                    G_SOCKET_TYPE_STREAM, G_SOCKET_PROTOCOL_TCP,
                                    nullptr, &bound_address, &error) == 0) {
    const GErrorPtr owned_error(error);
    return MakeError(ErrorKind::kUpstreamUnavailable,
                     m_options.bind.host_port + ": " + owned_error->message);
  }
  const GObjectPtr<GSocketAddress> owned_address(bound_address);
  m_local = FromSocketAddress(bound_address);
  if (m_options.advertised.host_port.empty()) m_options.advertised = m_local;
  m_incoming_handler = g_signal_connect(m_service.get(), "incoming",
                                        G_CALLBACK(&OnIncoming), this);
  g_socket_service_start(m_service.get());
  m_sweep_timer = m_options.scheduler->Schedule(
      m_options.idle_timeout / 2, [this] { CloseIdleConnections(); });
  return std::monostate{};
}

TcpPeerTransport::~TcpPeerTransport() {
  if (m_service != nullptr) {
    if (m_incoming_handler != 0) {
      g_signal_handler_disconnect(m_service.get(), m_incoming_handler);
    }
    g_socket_service_stop(m_service.get());
    g_socket_listener_close(G_SOCKET_LISTENER(m_service.get()));
  }
  m_options.scheduler->Cancel(m_sweep_timer);
  for (const TimerId timer : m_failures) m_options.scheduler->Cancel(timer);
  for (auto& [id, accepted] : m_accepted) accepted->connection->Detach();
  for (auto& [id, dialled] : m_dialled) {
    for (auto& [call, pending] : dialled->calls) {
      m_options.scheduler->Cancel(pending.timer);
    }
    dialled->connection->Detach();
  }
}

PeerConnectionOptions TcpPeerTransport::ConnectionOptions() {
  return {.auth = &m_auth,
          .poller = &m_poller,
          .scheduler = m_options.scheduler,
          .counters = &m_counters,
          .advertised = m_options.advertised,
          .max_payload_bytes = m_options.max_payload_bytes,
          .max_queued_bytes = m_options.max_queued_bytes,
          .handshake_timeout = m_options.handshake_timeout};
}

gboolean TcpPeerTransport::OnIncoming(GSocketService* /*service*/,
                                      GSocketConnection* connection,
                                      GObject* /*source*/, gpointer data) {
  static_cast<TcpPeerTransport*>(data)->AcceptConnection(connection);
  return TRUE;
}

void TcpPeerTransport::LimitUnauthenticatedConnections() {
  const auto is_unauthenticated = [](const auto& entry) {
    return !entry.second->connection->IsReady();
  };
  const auto count = std::ranges::count_if(m_accepted, is_unauthenticated);
  if (count == 0 || static_cast<std::size_t>(count) <
                        m_options.max_unauthenticated_connections) {
    return;
  }
  // Ids are given in ascending order.
  const auto oldest = std::ranges::min_element(
      m_accepted, {}, [&is_unauthenticated](const auto& entry) {
        return std::pair(!is_unauthenticated(entry), entry.first);
      });
  m_counters.Add(PeerCounter::kTooManyConnections);
  oldest->second->connection->Detach();
  m_accepted.erase(oldest);
}

void TcpPeerTransport::AcceptConnection(GSocketConnection* connection) {
  LimitUnauthenticatedConnections();
  if (m_accepted.size() >= m_options.max_connections) {
    m_counters.Add(PeerCounter::kTooManyConnections);
    return;
  }
  const ConnectionId id = ++m_last_connection_id;
  auto accepted = std::make_unique<AcceptedConnection>();
  accepted->connection = std::make_shared<PeerConnection>(
      ConnectionOptions(), PeerConnection::Role::kAcceptor,
      PeerConnection::Callbacks{
          .on_ready = [this,
                       id](const Address& peer) { OnAcceptedReady(id, peer); },
          .on_frame =
              [this, id](const std::string& payload) {
                OnAcceptedFrame(id, payload);
              },
          .on_closed = [this, id] { m_accepted.erase(id); }});
  auto& accepted_connection = accepted->connection;
  auto peer_connection = accepted_connection;
  m_accepted.emplace(id, std::move(accepted));
  // The GSocketConnection closes its own file descriptor, so this connection
  // needs a duplicate.
  GSocket* socket = g_socket_connection_get_socket(connection);
  const int fd = fcntl(g_socket_get_fd(socket), F_DUPFD_CLOEXEC, 0);
  if (fd < 0) return peer_connection->Close();
  peer_connection->Accept(fd);
}

void TcpPeerTransport::OnAcceptedReady(ConnectionId id, const Address& peer) {
  AcceptedConnection& accepted = *m_accepted.at(id);
  accepted.peer = peer;
  if (!m_options.refused_peers.contains(peer)) return;
  m_counters.Add(PeerCounter::kRefusedPeer);
  accepted.connection->Close();
}

void TcpPeerTransport::OnAcceptedFrame(ConnectionId id,
                                       const std::string& payload) {
  AcceptedConnection& accepted = *m_accepted.at(id);
  Message message;
  if (!Decode(payload, &message) ||
      message.type != static_cast<std::uint8_t>(MessageType::kCall)) {
    m_counters.Add(PeerCounter::kMalformed);
    return accepted.connection->Close();
  }
  Message answer{.type = static_cast<std::uint8_t>(MessageType::kAnswer),
                 .call = message.call,
                 .channel = message.channel,
                 .payload = {}};
  const auto handler =
      m_handlers.find(static_cast<PeerChannel>(message.channel));
  if (handler == m_handlers.end()) {
    m_counters.Add(PeerCounter::kNoHandler);
    answer.type = static_cast<std::uint8_t>(MessageType::kNoHandler);
    accepted.connection->Send(Encode(answer));
    return;
  }
  if (accepted.unanswered_calls >= m_options.max_calls_per_connection) {
    m_counters.Add(PeerCounter::kTooManyCalls);
    answer.type = static_cast<std::uint8_t>(MessageType::kOverload);
    accepted.connection->Send(Encode(answer));
    return;
  }
  ++accepted.unanswered_calls;
  const std::weak_ptr<PeerConnection> weak_connection = accepted.connection;
  Responder respond = [this, id, weak_connection,
                       answer](std::string bytes) mutable {
    if (weak_connection.expired()) return;
    answer.payload = std::move(bytes);
    SendAnswer(id, answer);
  };
  handler->second(accepted.peer, std::move(message.payload),
                  std::move(respond));
}

void TcpPeerTransport::SendAnswer(ConnectionId id, const Message& message) {
  const auto found = m_accepted.find(id);
  if (found == m_accepted.end()) return;
  assert(found->second->unanswered_calls > 0);
  --found->second->unanswered_calls;
  found->second->connection->Send(Encode(message));
}

void TcpPeerTransport::OnSetHandler(PeerChannel channel, Handler handler) {
  m_handlers[channel] = std::move(handler);
}

void TcpPeerTransport::ScheduleFailure(Callback callback, ErrorKind kind,
                                       std::string message) {
  auto timer = std::make_shared<TimerId>(0);
  *timer = m_options.scheduler->Schedule(
      Duration::zero(), [this, timer, kind, callback = std::move(callback),
                         message = std::move(message)]() mutable {
        m_failures.erase(*timer);
        callback(MakeError(kind, std::move(message)));
      });
  m_failures.insert(*timer);
}

void TcpPeerTransport::OnCall(const Address& to, PeerChannel channel,
                              std::string request, Duration timeout,
                              Callback callback) {
  if (m_options.refused_peers.contains(to)) {
    m_counters.Add(PeerCounter::kRefusedPeer);
    return ScheduleFailure(
        std::move(callback), ErrorKind::kUpstreamUnavailable,
        to.host_port + ": the settings list this peer as refused");
  }
  if (request.size() + sizeof(Message) > m_options.max_payload_bytes) {
    m_counters.Add(PeerCounter::kTooLarge);
    return ScheduleFailure(
        std::move(callback), ErrorKind::kUpstreamUnavailable,
        to.host_port + ": the request exceeds the frame limit");
  }
  DialledConnection* dialled = FindOrDial(to);
  if (dialled == nullptr) {
    return ScheduleFailure(std::move(callback), ErrorKind::kUpstreamUnavailable,
                           to.host_port + ": no connection can be opened");
  }
  if (dialled->calls.size() >= m_options.max_calls_per_connection) {
    m_counters.Add(PeerCounter::kTooManyCalls);
    return ScheduleFailure(std::move(callback), ErrorKind::kUpstreamUnavailable,
                           to.host_port + ": too many unanswered calls");
  }
  const CallId id = ++m_last_call_id;
  const ConnectionId connection = m_current.at(to);
  PendingCall& call = dialled->calls[id];
  call.callback = std::move(callback);
  call.unsent =
      Encode(Message{.type = static_cast<std::uint8_t>(MessageType::kCall),
                     .call = id,
                     .channel = static_cast<std::uint8_t>(channel),
                     .payload = std::move(request)});
  call.timer = m_options.scheduler->Schedule(
      timeout, [this, connection, id] { OnCallTimeout(connection, id); });
  dialled->last_used = m_options.scheduler->Now();
  if (dialled->connection->IsReady()) SendCall(id, &call, dialled);
}

TcpPeerTransport::DialledConnection* TcpPeerTransport::FindOrDial(
    const Address& to) {
  const auto current = m_current.find(to);
  if (current != m_current.end()) return m_dialled.at(current->second).get();
  auto address = ToSocketAddress(to);
  if (!address) return nullptr;
  if (m_dialled.size() >= m_options.max_connections && !EvictIdleConnection()) {
    m_counters.Add(PeerCounter::kTooManyConnections);
    return nullptr;
  }
  const ConnectionId id = ++m_last_connection_id;
  auto dialled = std::make_unique<DialledConnection>();
  dialled->peer = to;
  dialled->connection = std::make_shared<PeerConnection>(
      ConnectionOptions(), PeerConnection::Role::kInitiator,
      PeerConnection::Callbacks{
          .on_ready = [this, id](const Address&) { OnDialledReady(id); },
          .on_frame =
              [this, id](const std::string& payload) {
                OnDialledFrame(id, payload);
              },
          .on_closed = [this, id] { OnDialledClosed(id); }});
  dialled->connection->Connect(to);
  m_current[to] = id;
  return m_dialled.emplace(id, std::move(dialled)).first->second.get();
}

bool TcpPeerTransport::EvictIdleConnection() {
  const auto oldest =
      std::ranges::min_element(m_dialled, {}, [](const auto& entry) {
        const DialledConnection& dialled = *entry.second;
        return dialled.calls.empty() ? dialled.last_used : TimePoint::max();
      });
  if (oldest == m_dialled.end() || !oldest->second->calls.empty()) return false;
  m_counters.Add(PeerCounter::kIdleConnection);
  const auto current = m_current.find(oldest->second->peer);
  if (current != m_current.end() && current->second == oldest->first) {
    m_current.erase(current);
  }
  oldest->second->connection->Detach();
  m_dialled.erase(oldest);
  return true;
}

void TcpPeerTransport::SendCall(CallId id, PendingCall* call,
                                DialledConnection* dialled) {
  const std::string bytes = std::exchange(call->unsent, {});
  call->sent_at = m_options.scheduler->Now();
  if (dialled->connection->Send(bytes)) return;
  // The send queue is full, and no byte of this call was written.
  m_options.scheduler->Cancel(call->timer);
  ScheduleFailure(
      std::move(call->callback), ErrorKind::kUpstreamUnavailable,
      dialled->peer.host_port + ": the peer does not read its connection");
  dialled->calls.erase(id);
}

void TcpPeerTransport::OnDialledReady(ConnectionId id) {
  DialledConnection& dialled = *m_dialled.at(id);
  std::vector<CallId> queued;
  for (const auto& [call, pending] : dialled.calls) queued.push_back(call);
  for (const CallId call : queued) {
    SendCall(call, &dialled.calls.at(call), &dialled);
  }
}

void TcpPeerTransport::OnDialledFrame(ConnectionId id,
                                      const std::string& payload) {
  DialledConnection& dialled = *m_dialled.at(id);
  Message message;
  if (!Decode(payload, &message) ||
      message.type == static_cast<std::uint8_t>(MessageType::kCall) ||
      message.type > static_cast<std::uint8_t>(MessageType::kOverload)) {
    m_counters.Add(PeerCounter::kMalformed);
    return dialled.connection->Close();
  }
  const auto found = dialled.calls.find(message.call);
  if (found == dialled.calls.end()) return;  // The call has timed out.
  Callback callback = std::move(found->second.callback);
  m_options.scheduler->Cancel(found->second.timer);
  dialled.calls.erase(found);
  dialled.last_used = m_options.scheduler->Now();
  const auto type = static_cast<MessageType>(message.type);
  if (type == MessageType::kAnswer) return callback(std::move(message.payload));
  callback(MakeError(ErrorKind::kUpstreamUnavailable,
                     dialled.peer.host_port +
                         (type == MessageType::kNoHandler
                              ? ": the peer has no handler for this channel"
                              : ": the peer has too many unanswered calls")));
}

void TcpPeerTransport::OnDialledClosed(ConnectionId id) {
  const auto found = m_dialled.find(id);
  const std::unique_ptr<DialledConnection> dialled = std::move(found->second);
  m_dialled.erase(found);
  const auto current = m_current.find(dialled->peer);
  if (current != m_current.end() && current->second == id) {
    m_current.erase(current);
  }
  for (auto& [call, pending] : dialled->calls) {
    m_options.scheduler->Cancel(pending.timer);
    const bool sent = pending.unsent.empty();
    ScheduleFailure(
        std::move(pending.callback),
        sent ? ErrorKind::kDeadlineExceeded : ErrorKind::kUpstreamUnavailable,
        dialled->peer.host_port +
            (sent ? ": the connection was lost before the answer"
                  : ": no connection was established"));
  }
}

void TcpPeerTransport::OnCallTimeout(ConnectionId connection, CallId call) {
  m_counters.Add(PeerCounter::kCallTimeout);
  DialledConnection& dialled = *m_dialled.at(connection);
  const auto found = dialled.calls.find(call);
  PendingCall pending = std::move(found->second);
  dialled.calls.erase(found);
  const bool sent = pending.unsent.empty();
  const auto current = m_current.find(dialled.peer);
  const bool is_current =
      current != m_current.end() && current->second == connection;
  // A connection that is not established either may never be: the peer had no
  // power when it was opened, and the system tries again only after seconds.
  const bool is_silent =
      sent ? dialled.connection->last_receive_time() < pending.sent_at
           : !dialled.connection->IsReady();
  if (is_current && is_silent) {
    m_counters.Add(PeerCounter::kSilentConnection);
    m_current.erase(current);
  }
  // A retired connection stays open for its remaining calls.
  const bool retired = !m_current.contains(dialled.peer) ||
                       m_current.at(dialled.peer) != connection;
  const std::string peer = dialled.peer.host_port;
  if (retired && dialled.calls.empty()) dialled.connection->Close();
  pending.callback(MakeError(
      sent ? ErrorKind::kDeadlineExceeded : ErrorKind::kUpstreamUnavailable,
      peer + (sent ? ": no answer before the timeout"
                   : ": no connection before the timeout")));
}

void TcpPeerTransport::SetRefusedPeers(std::set<Address> refused) {
  m_options.refused_peers = std::move(refused);
  for (auto& [id, accepted] : m_accepted) {
    if (m_options.refused_peers.contains(accepted->peer)) {
      accepted->connection->Close();
    }
  }
  for (auto& [id, dialled] : m_dialled) {
    if (m_options.refused_peers.contains(dialled->peer)) {
      dialled->connection->Close();
    }
  }
}

void TcpPeerTransport::CloseIdleConnections() {
  const TimePoint idle_cutoff =
      m_options.scheduler->Now() - m_options.idle_timeout;
  for (auto& [id, dialled] : m_dialled) {
    if (!dialled->calls.empty() || dialled->last_used >= idle_cutoff) continue;
    m_counters.Add(PeerCounter::kIdleConnection);
    dialled->connection->Close();
  }
  for (auto& [id, accepted] : m_accepted) {
    // The peer normally closes its idle connections first. This closes them if
    // the peer has become unreachable.
    if (accepted->unanswered_calls > 0 ||
        accepted->connection->last_receive_time() >=
            idle_cutoff - m_options.idle_timeout) {
      continue;
    }
    m_counters.Add(PeerCounter::kIdleConnection);
    accepted->connection->Close();
  }
  m_sweep_timer = m_options.scheduler->Schedule(
      m_options.idle_timeout / 2, [this] { CloseIdleConnections(); });
}

}  // namespace chicoryvale
