#include "adapters/soup_http_server.h"

#include <poll.h>
#include <sys/eventfd.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <cassert>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "adapters/http_message_text.h"
#include "adapters/socket_address.h"

namespace chicoryvale {
namespace {

constexpr Duration kIdleSweepInterval = seconds(1);
/// A body that is too large is read and discarded up to this multiple of the
/// body limit, so that its sender gets a response. Beyond it, the connection is
/// shut down.
constexpr std::size_t kMaxDiscardedBodyFactor = 8;
/// POLLRDHUP: the caller has closed its sending side. GIOCondition has no
/// constant for it.
constexpr auto kPeerClosedCondition = static_cast<GIOCondition>(0x2000);
/// Limit on the bytes in which the end of a head is looked for.
constexpr std::size_t kMaxPeekedBytes = std::size_t{64} * 1024;
/// Requests up to this size are dropped only when the account is over its
/// limit, not when little of it is left.
constexpr std::size_t kSmallRequestBytes = std::size_t{16} * 1024;
constexpr char kExchangeKey[] = "chicoryvale-exchange";

// Creates the listening socket here to set its backlog: GLib's default is 10.
Result<GObjectPtr<GSocket>> Listen(const SoupHttpServerOptions& options) {
  auto address = ToSocketAddress(options.bind);
  if (!address) return tl::unexpected(address.error());
  GError* error = nullptr;
  GObjectPtr<GSocket> socket(
      g_socket_new(g_socket_address_get_family(address->get()),
                   G_SOCKET_TYPE_STREAM, G_SOCKET_PROTOCOL_TCP, &error));
  if (socket != nullptr) {
    g_socket_set_listen_backlog(socket.get(), options.listen_backlog);
  }
  if (socket == nullptr ||
      !g_socket_bind(socket.get(), address->get(), TRUE, &error) ||
      !g_socket_listen(socket.get(), &error)) {
    const GErrorPtr owned(error);
    return MakeError(
        ErrorKind::kUpstreamUnavailable,
        "cannot listen on " + options.bind.host_port + ": " + owned->message);
  }
  return socket;
}

Address GetLocalAddress(GSocket* socket) {
  const GObjectPtr<GSocketAddress> address(
      g_socket_get_local_address(socket, nullptr));
  return FromSocketAddress(address.get());
}

void AppendHeader(const char* name, const char* value, gpointer data) {
  static_cast<std::vector<HttpHeader>*>(data)->push_back({name, value});
}

// Returns whether the body is in a transfer coding other than "chunked" alone.
// libsoup would not read it and handle the request without its body.
bool HasUnsupportedTransferCoding(SoupMessageHeaders* headers) {
  const char* coding =
      soup_message_headers_get_list(headers, "Transfer-Encoding");
  return coding != nullptr && !HeaderNamesEqual(coding, "chunked");
}

bool HasValidContentLength(SoupMessageHeaders* headers) {
  const char* text = soup_message_headers_get_list(headers, "Content-Length");
  return text == nullptr ||
         (*text != '\0' &&
          std::ranges::all_of(std::string_view(text),
                              [](char c) { return g_ascii_isdigit(c); }));
}

bool HasUnreadBytes(GSocket* socket) {
  char byte = 0;
  return recv(g_socket_get_fd(socket), &byte, 1, MSG_PEEK | MSG_DONTWAIT) > 0;
}

// Returns whether the bytes that are left to read contain the end of the head
// of a request.
bool HasEndOfHead(GSocket* socket) {
  std::string rest(kMaxPeekedBytes, '\0');
  const ssize_t size = recv(g_socket_get_fd(socket), rest.data(), rest.size(),
                            MSG_PEEK | MSG_DONTWAIT);
  rest.resize(static_cast<std::size_t>(std::max<ssize_t>(size, 0)));
  return rest.find("\r\n\r\n") != std::string::npos ||
         rest.find("\n\n") != std::string::npos;
}

// Returns whether the caller has closed its sending side.
bool HasPeerClosed(GSocket* socket) {
  pollfd watched{};
  watched.fd = g_socket_get_fd(socket);
  watched.events = POLLRDHUP;
  return poll(&watched, 1, 0) > 0 && (watched.revents & POLLRDHUP) != 0;
}

// Makes libsoup read the end of the stream at its next read.
void ShutDownSocket(GSocket* socket) {
  if (!g_socket_is_closed(socket)) shutdown(g_socket_get_fd(socket), SHUT_RDWR);
}

// Ends a connection whose caller may send without end. A caller whose window is
// closed learns of the end by a reset only: once the receiving side is shut
// down, the kernel announces no more room, and the data never arrives that it
// would answer with a reset.
void ResetSocket(GSocket* socket) {
  const linger reset_at_close{.l_onoff = 1, .l_linger = 0};
  setsockopt(g_socket_get_fd(socket), SOL_SOCKET, SO_LINGER, &reset_at_close,
             sizeof reset_at_close);
  ShutDownSocket(socket);
}

}  // namespace

/// One connection from a caller.
struct SoupHttpServer::Connection {
  SoupHttpServer* server = nullptr;
  /// Number of this connection within the server, from 1.
  std::uint64_t number = 0;
  GObjectPtr<GSocket> socket;
  /// Fires when the caller closes its sending side; null if not watched.
  GSource* hang_up_source = nullptr;
  /// Fires when the first bytes of a head arrive; null if not watched.
  GSource* head_source = nullptr;
  /// The exchange in progress; null between requests.
  Exchange* current = nullptr;
  /// Start of the current wait for a request, its headers or its body.
  TimePoint waiting_since{};
  /// The caller has closed its sending side.
  bool peer_closed = false;
  /// The caller has closed its sending side in the middle of the head of a
  /// request.
  bool head_cut_off = false;
  /// EndIdleConnection was called.
  bool end_requested = false;
  /// The head of a request was read.
  bool has_requested = false;
  bool evicted = false;

  ~Connection() {
    StopWatching();
    DestroySource(&head_source);
  }

  void StopWatching() { DestroySource(&hang_up_source); }

  static void DestroySource(GSource** source) {
    if (*source == nullptr) return;
    g_source_destroy(*source);
    g_source_unref(*source);
    *source = nullptr;
  }
};

/// One request of a connection, from its first byte to the end of its response.
struct SoupHttpServer::Exchange {
  Exchange(SoupHttpServer* new_server, Connection* new_connection)
      : server(new_server),
        connection(new_connection),
        held_bytes(new_server->m_account) {}

  /// Null once the server is destroyed.
  SoupHttpServer* server = nullptr;
  Connection* connection = nullptr;
  bool headers_read = false;
  /// The whole head had arrived when libsoup began to read the request.
  bool head_arrived = false;
  std::size_t body_bytes = 0;
  /// The body as received. libsoup would allocate an object of about 100 bytes
  /// for each chunk, even of one byte.
  std::string body;
  AccountedBytes held_bytes;
  bool too_large = false;
  /// The connection was closed to free the memory of the request.
  bool dropped = false;
  /// The request was passed to the handler.
  bool handled = false;
  bool responded = false;
  /// libsoup has finished or aborted the request.
  bool ended = false;
};

/// The response that a handler has yet to send. If the last responder is
/// destroyed without a response, the connection is aborted, so that the caller
/// does not wait forever.
class SoupHttpServer::PendingResponse {
 public:
  PendingResponse(const std::shared_ptr<SoupHttpServer*>& server,
                  SoupServerMessage* message)
      : m_server(server),
        m_message(static_cast<SoupServerMessage*>(g_object_ref(message))) {}
  PendingResponse(const PendingResponse&) = delete;
  PendingResponse& operator=(const PendingResponse&) = delete;
  ~PendingResponse() {
    HttpResponse response;
    response.abort_connection = true;
    Send(response);
  }

  void Send(const HttpResponse& response) {
    const auto server = m_server.lock();
    m_server.reset();
    if (server != nullptr) (*server)->SendResponse(m_message.get(), response);
    m_message.reset();
  }

 private:
  std::weak_ptr<SoupHttpServer*> m_server;
  GObjectPtr<SoupServerMessage> m_message;
};

SoupHttpServer::SoupHttpServer(const SoupHttpServerOptions& options)
    : m_options(options),
      m_own_account(options.max_held_bytes),
      m_account(options.account != nullptr ? options.account : &m_own_account),
      m_alive(std::make_shared<SoupHttpServer*>(this)) {}

Result<std::unique_ptr<SoupHttpServer>> SoupHttpServer::Make(
    const SoupHttpServerOptions& options) {
  std::unique_ptr<SoupHttpServer> server(new SoupHttpServer(options));
  auto started = server->Start();
  if (!started) return tl::unexpected(started.error());
  return server;
}

Result<void> SoupHttpServer::Start() {
  auto socket = Listen(m_options);
  if (!socket) return tl::unexpected(socket.error());
  m_address = GetLocalAddress(socket->get());
  m_server = soup_server_new("server-header", "chicoryvale", nullptr);
  g_signal_connect(m_server, "request-started", G_CALLBACK(&OnRequestStarted),
                   this);
  g_signal_connect(m_server, "request-finished", G_CALLBACK(&OnRequestFinished),
                   this);
  g_signal_connect(m_server, "request-aborted", G_CALLBACK(&OnRequestAborted),
                   this);
  soup_server_add_early_handler(m_server, nullptr, &OnHeadersRead, this,
                                nullptr);
  soup_server_add_handler(m_server, nullptr, &OnRequestRead, this, nullptr);
  GError* error = nullptr;
  if (!soup_server_listen_socket(m_server, socket->get(),
                                 static_cast<SoupServerListenOptions>(0),
                                 &error)) {
    const GErrorPtr owned(error);
    return MakeError(ErrorKind::kUpstreamUnavailable, owned->message);
  }
  m_listener = std::move(*socket);
  ScheduleSweep();
  return {};
}

SoupHttpServer::~SoupHttpServer() {
  m_alive.reset();
  if (m_server == nullptr) return;
  g_signal_handlers_disconnect_by_data(m_server, this);
  soup_server_remove_handler(m_server, nullptr);
  soup_server_disconnect(m_server);
  // The port is closed before the connections: a client whose connection ends
  // must not be able to reconnect to a server that is being destroyed.
  g_socket_close(m_listener.get(), nullptr);
  for (const auto& [socket, connection] : m_connections) {
    if (connection->current != nullptr) {
      connection->current->server = nullptr;
      connection->current->held_bytes.Set(0);
    }
    connection->StopWatching();
    Connection::DestroySource(&connection->head_source);
    ShutDownSocket(socket);
  }
  g_object_unref(m_server);
}

void SoupHttpServer::OnStopAccepting() {
  if (!m_accepting) return;
  m_accepting = false;
  // soup_server_disconnect would drop requests in flight. Instead, the
  // listener's descriptor is replaced by an eventfd that never becomes
  // readable, which closes the port.
  const int never_ready_fd = eventfd(0, EFD_CLOEXEC);
  dup2(never_ready_fd, g_socket_get_fd(m_listener.get()));
  close(never_ready_fd);
}

void SoupHttpServer::OnRequestStarted(SoupServer* /*server*/,
                                      SoupServerMessage* message,
                                      gpointer self) {
  auto* server = static_cast<SoupHttpServer*>(self);
  GSocket* socket = soup_server_message_get_socket(message);
  if (socket == nullptr) return;
  const auto found = server->m_connections.find(socket);
  Connection* connection = found == server->m_connections.end()
                               ? server->AddConnection(socket)
                               : found->second.get();
  auto* exchange = new Exchange(server, connection);
  exchange->head_arrived = HasEndOfHead(socket);
  connection->current = exchange;
  if (!exchange->head_arrived) WatchForHead(connection);
  g_object_set_data(G_OBJECT(message), kExchangeKey, exchange);
  g_object_weak_ref(G_OBJECT(message), &OnMessageFinalized, exchange);
  g_signal_connect(message, "wrote-headers", G_CALLBACK(&OnHeadersWritten),
                   exchange);
}

SoupHttpServer::Connection* SoupHttpServer::AddConnection(GSocket* socket) {
  auto new_connection = std::make_unique<Connection>();
  Connection* connection = new_connection.get();
  connection->server = this;
  connection->socket.reset(static_cast<GSocket*>(g_object_ref(socket)));
  connection->waiting_since = m_scheduler.Now();
  m_connections.emplace(socket, std::move(new_connection));
  WatchForHangUp(connection);
  m_counters.Add(SoupHttpServerCounter::kConnections);
  connection->number = m_counters.Get(SoupHttpServerCounter::kConnections);
  if (m_connections.size() > m_options.max_connections &&
      !EvictUnusedConnection(connection)) {
    m_counters.Add(SoupHttpServerCounter::kConnectionsRefused);
    connection->evicted = true;
    ShutDownSocket(socket);
  }
  return connection;
}

void SoupHttpServer::OnHeadersRead(SoupServer* /*server*/,
                                   SoupServerMessage* message,
                                   const char* /*path*/, GHashTable* /*query*/,
                                   gpointer self) {
  auto* server = static_cast<SoupHttpServer*>(self);
  auto* exchange = static_cast<Exchange*>(
      g_object_get_data(G_OBJECT(message), kExchangeKey));
  if (exchange == nullptr) return;
  exchange->headers_read = true;
  exchange->connection->has_requested = true;
  exchange->connection->waiting_since = server->m_scheduler.Now();
  if (IsHeadCutOff(*exchange)) {
    server->m_counters.Add(SoupHttpServerCounter::kHeadsCutOff);
    soup_server_message_set_status(message, SOUP_STATUS_BAD_REQUEST, nullptr);
    ShutDownSocket(exchange->connection->socket.get());
    return;
  }
  g_signal_connect(message, "got-chunk", G_CALLBACK(&OnBodyChunk), exchange);
  soup_message_body_set_accumulate(
      soup_server_message_get_request_body(message), FALSE);
  SoupMessageHeaders* headers =
      soup_server_message_get_request_headers(message);
  if (HasUnsupportedTransferCoding(headers) ||
      !HasValidContentLength(headers)) {
    // libsoup would read an invalid length as zero and parse the body as the
    // next request.
    soup_server_message_set_status(message, SOUP_STATUS_BAD_REQUEST, nullptr);
    soup_message_headers_replace(
        soup_server_message_get_response_headers(message), "Connection",
        "close");
    return;
  }
  const goffset length = soup_message_headers_get_content_length(headers);
  if (length <= static_cast<goffset>(server->m_options.max_body_bytes)) return;
  server->MarkBodyTooLarge(exchange);
}

void SoupHttpServer::OnBodyChunk(SoupServerMessage* /*message*/, GBytes* chunk,
                                 gpointer data) {
  auto* exchange = static_cast<Exchange*>(data);
  SoupHttpServer* server = exchange->server;
  if (server == nullptr || exchange->dropped) return;
  gsize size = 0;
  const auto* bytes = static_cast<const char*>(g_bytes_get_data(chunk, &size));
  exchange->body_bytes += size;
  const std::size_t limit = server->m_options.max_body_bytes;
  if (exchange->body_bytes <= limit && !exchange->too_large) {
    exchange->body.append(bytes, size);
    exchange->held_bytes.Set(exchange->body.capacity());
    return server->EnforceMemoryLimit();
  }
  server->MarkBodyTooLarge(exchange);
  if (exchange->body_bytes <= limit * kMaxDiscardedBodyFactor) return;
  server->m_counters.Add(SoupHttpServerCounter::kBodiesCutOff);
  ResetSocket(exchange->connection->socket.get());
}

void SoupHttpServer::MarkBodyTooLarge(Exchange* exchange) {
  if (exchange->too_large) return;
  exchange->too_large = true;
  FreeBody(exchange);
  m_counters.Add(SoupHttpServerCounter::kBodiesTooLarge);
}

void SoupHttpServer::FreeBody(Exchange* exchange) {
  std::string().swap(exchange->body);
  exchange->held_bytes.Set(0);
}

void SoupHttpServer::EnforceMemoryLimit() {
  const auto size_of = [](const auto& entry) {
    const Exchange* exchange = entry.second->current;
    const bool is_read = exchange != nullptr && !exchange->handled;
    return is_read ? exchange->held_bytes.Get() : 0;
  };
  while (m_account->IsTight()) {
    const auto largest = std::ranges::max_element(m_connections, {}, size_of);
    const std::size_t min_bytes =
        m_account->IsOver() ? 1 : kSmallRequestBytes + 1;
    if (largest == m_connections.end() || size_of(*largest) < min_bytes) return;
    Exchange* exchange = largest->second->current;
    exchange->dropped = true;
    FreeBody(exchange);
    m_counters.Add(SoupHttpServerCounter::kOverTotal);
    ResetSocket(exchange->connection->socket.get());
  }
}

bool SoupHttpServer::EvictUnusedConnection(const Connection* accepted) {
  Connection* oldest = nullptr;
  for (const auto& [socket, connection] : m_connections) {
    const bool is_unused = connection.get() != accepted &&
                           !connection->has_requested && !connection->evicted;
    if (!is_unused) continue;
    if (oldest == nullptr || connection->number < oldest->number) {
      oldest = connection.get();
    }
  }
  if (oldest == nullptr) return false;
  oldest->evicted = true;
  m_counters.Add(SoupHttpServerCounter::kUnusedEvicted);
  ShutDownSocket(oldest->socket.get());
  return true;
}

void SoupHttpServer::OnRequestRead(SoupServer* /*server*/,
                                   SoupServerMessage* message, const char* path,
                                   GHashTable* /*query*/, gpointer self) {
  auto* server = static_cast<SoupHttpServer*>(self);
  auto* exchange = static_cast<Exchange*>(
      g_object_get_data(G_OBJECT(message), kExchangeKey));
  if (exchange == nullptr) return;
  if (exchange->dropped) {
    // The answer reaches nobody, but the request must not run.
    soup_server_message_set_status(message, SOUP_STATUS_SERVICE_UNAVAILABLE,
                                   nullptr);
    return;
  }
  HttpRequest request;
  request.method = soup_server_message_get_method(message);
  request.path = path;
  request.connection = exchange->connection->number;
  request.too_large = exchange->too_large;
  soup_message_headers_foreach(soup_server_message_get_request_headers(message),
                               AppendHeader, &request.headers);
  request.body = std::move(exchange->body);
  exchange->handled = true;
  ++server->m_in_flight;
  server->m_counters.Add(SoupHttpServerCounter::kRequests);
  soup_server_message_pause(message);
  auto pending = std::make_shared<PendingResponse>(server->m_alive, message);
  if (!server->m_handler) return;
  server->m_handler(
      std::move(request),
      [pending](const HttpResponse& response) { pending->Send(response); });
}

void SoupHttpServer::SendResponse(SoupServerMessage* message,
                                  const HttpResponse& response) {
  auto* exchange = static_cast<Exchange*>(
      g_object_get_data(G_OBJECT(message), kExchangeKey));
  if (exchange->responded || exchange->ended) return;
  exchange->responded = true;
  --m_in_flight;
  if (response.abort_connection) {
    m_counters.Add(SoupHttpServerCounter::kAbortedByHandler);
    soup_server_message_set_status(message, SOUP_STATUS_INTERNAL_SERVER_ERROR,
                                   nullptr);
    ShutDownSocket(exchange->connection->socket.get());
    soup_server_message_unpause(message);
    return;
  }
  soup_server_message_set_status(message, static_cast<guint>(response.status),
                                 nullptr);
  SoupMessageHeaders* headers =
      soup_server_message_get_response_headers(message);
  for (const HttpHeader& header : response.headers) {
    soup_message_headers_replace(headers, header.name.c_str(),
                                 header.value.c_str());
  }
  if (!m_accepting || exchange->too_large ||
      exchange->connection->peer_closed) {
    soup_message_headers_replace(headers, "Connection", "close");
  }
  soup_server_message_set_response(message, response.content_type.c_str(),
                                   SOUP_MEMORY_COPY, response.body.data(),
                                   response.body.size());
  soup_server_message_unpause(message);
}

void SoupHttpServer::OnRequestFinished(SoupServer* /*server*/,
                                       SoupServerMessage* message,
                                       gpointer self) {
  static_cast<SoupHttpServer*>(self)->EndExchange(message, true);
}

void SoupHttpServer::OnRequestAborted(SoupServer* /*server*/,
                                      SoupServerMessage* message,
                                      gpointer self) {
  static_cast<SoupHttpServer*>(self)->EndExchange(message, false);
}

void SoupHttpServer::EndExchange(SoupServerMessage* message, bool finished) {
  auto* exchange = static_cast<Exchange*>(
      g_object_get_data(G_OBJECT(message), kExchangeKey));
  if (exchange == nullptr || exchange->ended) return;
  exchange->ended = true;
  exchange->held_bytes.Set(0);
  if (exchange->handled && !exchange->responded) --m_in_flight;
  if (exchange->handled) {
    m_counters.Add(finished ? SoupHttpServerCounter::kAnswered
                            : SoupHttpServerCounter::kAbandonedByCaller);
  }
}

void SoupHttpServer::OnHeadersWritten(SoupServerMessage* /*message*/,
                                      gpointer data) {
  const auto* exchange = static_cast<const Exchange*>(data);
  // Counts responses to requests that never reached the handler: libsoup itself
  // responds to requests that it can't parse.
  if (exchange->server == nullptr || exchange->handled ||
      exchange->connection->end_requested) {
    return;
  }
  exchange->server->m_counters.Add(SoupHttpServerCounter::kBrokenRequests);
}

void SoupHttpServer::OnMessageFinalized(gpointer data, GObject* /*message*/) {
  const std::unique_ptr<Exchange> exchange(static_cast<Exchange*>(data));
  SoupHttpServer* server = exchange->server;
  if (server == nullptr) return;
  if (exchange->handled && !exchange->responded && !exchange->ended) {
    --server->m_in_flight;
  }
  Connection* connection = exchange->connection;
  if (connection->current != exchange.get()) return;
  connection->current = nullptr;
  connection->waiting_since = server->m_scheduler.Now();
  if (g_socket_is_closed(connection->socket.get())) {
    server->m_connections.erase(connection->socket.get());
  } else {
    server->WatchForHangUp(connection);
  }
}

void SoupHttpServer::WatchForHangUp(Connection* connection) {
  if (connection->hang_up_source != nullptr) return;
  // A GSocket source also fires when this process has closed the socket, before
  // its descriptor is polled. It has a higher priority than libsoup's own
  // source, because libsoup drops an idle connection on which it has read the
  // end of the stream without closing it.
  connection->hang_up_source = g_socket_create_source(
      connection->socket.get(), kPeerClosedCondition, nullptr);
  g_source_set_priority(connection->hang_up_source, G_PRIORITY_HIGH);
  g_source_set_callback(connection->hang_up_source, G_SOURCE_FUNC(&OnHangUp),
                        connection, nullptr);
  g_source_attach(connection->hang_up_source,
                  g_main_context_get_thread_default());
}

gboolean SoupHttpServer::OnHangUp(GSocket* socket, GIOCondition /*condition*/,
                                  gpointer data) {
  auto* connection = static_cast<Connection*>(data);
  SoupHttpServer* server = connection->server;
  connection->StopWatching();
  connection->peer_closed = true;
  const Exchange* current = connection->current;
  connection->head_cut_off =
      (current == nullptr || !current->headers_read) && !HasEndOfHead(socket);
  // An exchange in progress is completed first, and its response closes the
  // connection.
  if (connection->current != nullptr) return G_SOURCE_REMOVE;
  if (g_socket_is_closed(socket)) {
    server->m_connections.erase(socket);
  } else if (!HasUnreadBytes(socket)) {
    server->m_counters.Add(SoupHttpServerCounter::kHangUps);
    server->EndIdleConnection(connection);
  }
  return G_SOURCE_REMOVE;
}

// Has a higher priority than libsoup's source, so it sees the bytes first. It
// fires once, because libsoup's source is not dispatched beside it.
void SoupHttpServer::WatchForHead(Connection* connection) {
  Connection::DestroySource(&connection->head_source);
  connection->head_source =
      g_socket_create_source(connection->socket.get(), G_IO_IN, nullptr);
  g_source_set_priority(connection->head_source, G_PRIORITY_HIGH);
  g_source_set_callback(connection->head_source, G_SOURCE_FUNC(&OnHeadBytes),
                        connection, nullptr);
  g_source_attach(connection->head_source, g_main_context_get_thread_default());
}

gboolean SoupHttpServer::OnHeadBytes(GSocket* socket,
                                     GIOCondition /*condition*/,
                                     gpointer data) {
  auto* connection = static_cast<Connection*>(data);
  Connection::DestroySource(&connection->head_source);
  Exchange* current = connection->current;
  if (current == nullptr || current->headers_read) return G_SOURCE_REMOVE;
  current->head_arrived = HasEndOfHead(socket);
  return G_SOURCE_REMOVE;
}

// libsoup takes the end of the stream for the end of a head, so that a request
// would be handled without the headers that are missing, and with an empty
// body. If the end of the stream was read before OnHangUp saw it, nothing tells
// whether the head was complete; the request is then not handled either.
bool SoupHttpServer::IsHeadCutOff(const Exchange& exchange) {
  if (exchange.head_arrived) return false;
  const Connection& connection = *exchange.connection;
  if (connection.peer_closed) return connection.head_cut_off;
  return HasPeerClosed(connection.socket.get());
}

void SoupHttpServer::EndIdleConnection(Connection* connection) {
  // libsoup ends a connection only while it has a message for it. Therefore the
  // descriptor is replaced by one end of a socket pair from which libsoup reads
  // an empty line and then the end of the stream: it begins a message, finds
  // the end and frees the connection.
  if (connection->end_requested) return;
  int pair[2];
  if (socketpair(AF_UNIX, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0,
                 pair) != 0) {
    return;  // Out of descriptors; the next sweep retries.
  }
  connection->end_requested = true;
  constexpr char kEmptyLine[] = {'\r', '\n'};
  const ssize_t written = write(pair[1], kEmptyLine, sizeof kEmptyLine);
  assert(written == sizeof kEmptyLine);
  static_cast<void>(written);
  close(pair[1]);
  dup2(pair[0], g_socket_get_fd(connection->socket.get()));
  close(pair[0]);
}

void SoupHttpServer::ScheduleSweep() {
  m_sweep_timer = m_scheduler.Schedule(
      std::min<Duration>(kIdleSweepInterval, m_options.idle_timeout), [this] {
        SweepIdleConnections();
        ScheduleSweep();
      });
}

void SoupHttpServer::SweepIdleConnections() {
  const TimePoint idle_cutoff = m_scheduler.Now() - m_options.idle_timeout;
  // Closes connections on which libsoup did not notice the end of the stream
  // that EndIdleConnection had caused.
  std::erase_if(m_connections, [](const auto& entry) {
    const Connection& connection = *entry.second;
    const bool stuck =
        connection.end_requested && connection.current == nullptr;
    if (stuck) g_socket_close(connection.socket.get(), nullptr);
    return stuck;
  });
  for (const auto& [socket, connection] : m_connections) {
    const Exchange* current = connection->current;
    const bool is_waiting = current == nullptr || !current->handled;
    if (!is_waiting || connection->waiting_since > idle_cutoff ||
        connection->end_requested) {
      continue;
    }
    m_counters.Add(SoupHttpServerCounter::kIdleClosed);
    if (current == nullptr) {
      connection->StopWatching();
      EndIdleConnection(connection.get());
    } else {
      connection->waiting_since = m_scheduler.Now();
      ResetSocket(socket);
    }
  }
}

}  // namespace chicoryvale
