#include "adapters/beast_http_server.h"

#include <gio/gio.h>
#include <sys/epoll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <boost/asio/buffer.hpp>
#include <boost/beast/http/parser.hpp>
#include <cerrno>
#include <optional>
#include <utility>

#include "adapters/http_message_text.h"
#include "adapters/received_body.h"
#include "adapters/socket_address.h"
#include "adapters/stream_socket.h"
#include "adapters/transfer_coding.h"
#include "base/spare_capacity.h"

namespace chicoryvale {
namespace {

namespace http = boost::beast::http;

constexpr int kListenBacklog = 1024;

/// Limit on the bytes of further requests that are buffered while a request
/// waits for its response. Beyond it, reading stops until the response is sent.
constexpr std::size_t kMaxPipelinedBytes = std::size_t{64} * 1024;

/// Maximum time for which a connection stays open after its last response was
/// sent completely. The close may reset the connection.
constexpr Duration kLingerTimeout = seconds(2);

/// Limit on the bytes that are discarded meanwhile.
constexpr std::size_t kMaxDiscardedBytes = std::size_t{4} << 20;

/// Limit on the bytes of a response that the caller has not read when the next
/// request of the connection is processed.
constexpr std::size_t kMaxUnreadBytes = std::size_t{16} * 1024;

/// Requests of at most this size are read on while the account is tight.
constexpr std::size_t kSmallRequestBytes = std::size_t{16} * 1024;

constexpr int kStatusBadRequest = 400;
constexpr int kStatusTooLarge = 413;
constexpr int kStatusHeadersTooLarge = 431;
constexpr int kStatusUnavailable = 503;

/// Time after which a caller should send a request again that was refused
/// because the requests of all callers together were too large, or because a
/// limit was not confirmed to be current.
constexpr char kRetryAfterS[] = "1";

int StatusForParseError(const boost::system::error_code& code) {
  if (code == http::error::header_limit) return kStatusHeadersTooLarge;
  if (code == http::error::body_limit) return kStatusTooLarge;
  return kStatusBadRequest;
}

}  // namespace

/// One connection from a caller.
class BeastHttpServer::Connection : public StreamListener {
 public:
  Connection(BeastHttpServer* server, std::uint64_t number)
      : m_server(server),
        m_number(number),
        m_received(server->m_account),
        m_unread(server->m_account) {}

  ~Connection() override { CancelTimer(); }

  bool Open(int fd) {
    m_socket = StreamSocket::Adopt(m_server->m_options.poller, fd, this);
    if (!m_socket) return false;
    ArmIdleTimer();
    return true;
  }

  /// Returns whether no request is being read or waits for its response, and
  /// all responses have been sent.
  [[nodiscard]] bool IsIdle() const {
    return !m_awaiting_response && !m_reading_request && m_unparsed.empty() &&
           !m_lingering && !m_socket->HasUnsent();
  }

  /// Returns whether a request is being read or waits for its response, or a
  /// response has not been sent completely.
  [[nodiscard]] bool IsUnfinished() const {
    return m_awaiting_response || m_socket->HasUnsent() ||
           (!m_lingering && (m_reading_request || !m_unparsed.empty()));
  }

  void CloseNow() { m_server->DestroyLater(m_number); }

  /// Returns whether no byte has arrived on the connection.
  [[nodiscard]] bool IsUnused() const { return !m_has_received; }

  /// Returns the bytes that DropLargest would free; 0 while a request waits for
  /// its response, because closing the connection would not stop that request.
  [[nodiscard]] std::size_t DroppableBytes() const {
    if (m_awaiting_response) return 0;
    return std::max(BytesBeingRead(), m_unread.Get());
  }

  /// Refuses the request that is being read, or closes the connection if the
  /// caller leaves more bytes unread.
  void DropLargest() {
    if (m_lingering || m_unread.Get() > BytesBeingRead()) {
      m_server->m_counters.Add(BeastHttpServerCounter::kUnreadAnswers);
      return CloseNow();
    }
    m_server->m_counters.Add(BeastHttpServerCounter::kOverTotal);
    RefuseForNow(R"({"kind":"overloaded","ran":"no"})");
  }

  void Close() {
    m_received.Set(0);
    m_unread.Set(0);
    CancelTimer();
    if (m_awaiting_response) {
      m_awaiting_response = false;
      --m_server->m_in_flight;
    }
    m_socket.reset();
  }

  void OnBytes(std::string_view bytes) override {
    if (m_lingering || m_exceeded_status != 0) return Discard(bytes.size());
    m_has_received = true;
    m_last_received = m_server->m_options.scheduler->Now();
    m_received.Set(m_received.Get() + bytes.size());
    m_unparsed.append(bytes);
    m_server->EnforceMemoryLimits();
    if (m_lingering || !m_socket) return;
    if (!m_awaiting_response && !m_draining) return Parse();
    if (m_unparsed.size() > kMaxPipelinedBytes ||
        m_server->m_account->IsTight()) {
      m_socket->SetReading(false);
    }
  }

  void OnFlushed() override {
    m_unread.Set(m_socket->UnsentBytes());
    if (m_lingering && !m_socket->HasUnsent()) {
      return CloseUnlessRead(kLingerTimeout);
    }
    if (m_server->m_closing_connections && IsIdle()) return FinishAndLinger();
    if (!m_draining || m_unread.Get() > kMaxUnreadBytes) return;
    m_draining = false;
    m_socket->SetReading(true);
    Parse();
  }

  void OnEnd(StreamEnd end) override {
    if (end == StreamEnd::kTimedOut) {
      m_server->m_counters.Add(BeastHttpServerCounter::kAnswersTimedOut);
    }
    const bool pending = m_awaiting_response;
    const std::uint64_t number = m_number;
    BeastHttpServer* server = m_server;
    if (pending) server->m_counters.Add(BeastHttpServerCounter::kCallersGone);
    server->DestroyLater(number);
    if (pending && server->m_on_disconnect) server->m_on_disconnect(number);
  }

  /// Sends the response to the request with number `request_serial` of this
  /// connection. Has no effect if that request no longer waits for a response.
  void Respond(std::uint64_t request_serial, const HttpResponse& response) {
    if (!m_awaiting_response || request_serial != m_request_serial) return;
    m_awaiting_response = false;
    --m_server->m_in_flight;
    m_received.Set(m_unparsed.size());
    SendResponse(response);
    // May close this connection.
    m_server->EnforceMemoryLimits();
  }

 private:
  void SendResponse(const HttpResponse& response) {
    if (response.abort_connection) return CloseNow();
    const bool close =
        m_close_after_response || m_server->m_closing_connections;
    Write(FormatResponse(response, close, m_is_head));
    if (close) return FinishAndLinger();
    ArmIdleTimer();
    m_draining = m_unread.Get() > kMaxUnreadBytes;
    m_socket->SetReading(!m_draining);
    if (m_unparsed.empty() || m_draining) return;
    // Parses pipelined requests from a timer, because the handler may call
    // Respond synchronously and would be reentered.
    m_server->m_options.scheduler->Schedule(
        Duration::zero(),
        [server = m_server, alive = std::weak_ptr<int>(m_server->m_alive),
         number = m_number] {
          if (alive.expired()) return;
          const auto found = server->m_connections.find(number);
          if (found != server->m_connections.end()) found->second->Parse();
        });
  }

  void Discard(std::size_t bytes) {
    m_discarded_bytes += bytes;
    if (m_discarded_bytes > kMaxDiscardedBytes) CloseNow();
  }

  // Makes a parser with the current limits, which may have changed since the
  // last request of the connection.
  void BeginRequest() {
    m_reading_request = true;
    m_head_read = false;
    m_parser.emplace();
    m_parser->eager(true);
    m_parser->header_limit(m_server->m_options.limits.max_header_bytes);
    m_parser->body_limit(m_server->m_options.limits.max_body_bytes);
    ArmHeaderTimer();
  }

  // Returns the bytes received of the request that is being read.
  [[nodiscard]] std::size_t BytesBeingRead() const {
    return m_awaiting_response || m_draining ? 0 : m_received.Get();
  }

  void Write(std::string_view bytes) {
    m_socket->Write(bytes);
    m_unread.Set(m_socket->UnsentBytes());
  }

  void CancelTimer() {
    m_server->m_options.scheduler->Cancel(std::exchange(m_timer, 0));
  }

  // A caller may pause within a response as long as between two requests.
  void ArmIdleTimer() {
    const Duration timeout = m_server->m_options.limits.idle_timeout;
    m_socket->SetSendTimeout(timeout);
    CloseUnlessRead(timeout);
  }

  // Closes the connection after each `period` in which the caller has not read
  // any more of the responses.
  void CloseUnlessRead(Duration period) {
    CancelTimer();
    m_timer = m_server->m_options.scheduler->Schedule(
        period, [this, period, unsent = m_socket->UnsentBytes()] {
          m_timer = 0;
          if (m_socket->UnsentBytes() < unsent) return CloseUnlessRead(period);
          CloseNow();
        });
  }

  void ArmHeaderTimer() {
    CancelTimer();
    m_timer = m_server->m_options.scheduler->Schedule(
        m_server->m_options.limits.header_timeout, [this] {
          m_timer = 0;
          m_server->m_counters.Add(BeastHttpServerCounter::kHeaderTimeouts);
          CloseNow();
        });
  }

  // Closes the connection once no byte of the body has arrived for the idle
  // timeout. The timer is not moved on each read, but checks the last one.
  void ArmBodyTimer(Duration delay) {
    CancelTimer();
    m_timer = m_server->m_options.scheduler->Schedule(delay, [this] {
      m_timer = 0;
      const Duration silence =
          m_server->m_options.scheduler->Now() - m_last_received;
      const Duration limit = m_server->m_options.limits.idle_timeout;
      if (silence < limit) return ArmBodyTimer(limit - silence);
      m_server->m_counters.Add(BeastHttpServerCounter::kBodyTimeouts);
      CloseNow();
    });
  }

  void OnHeadRead() {
    if (m_head_read) return;
    m_head_read = true;
    ArmBodyTimer(m_server->m_options.limits.idle_timeout);
    SendContinueIfExpected();
  }

  void Parse() {
    if (m_awaiting_response || m_draining || m_lingering ||
        m_exceeded_status != 0) {
      return;
    }
    while (!m_unparsed.empty()) {
      if (!m_reading_request) BeginRequest();
      boost::system::error_code code;
      const std::size_t parsed_bytes = m_parser->put(
          boost::asio::buffer(m_unparsed.data(), m_unparsed.size()), code);
      m_unparsed.erase(0, parsed_bytes);
      ReleaseSpareCapacity(&m_unparsed);
      if (code == http::error::need_more) {
        // The parser itself has no limit on the lines between chunks.
        if (m_unparsed.size() <= kMaxPipelinedBytes) return;
        return Reject(kStatusBadRequest);
      }
      if (code) return RejectUnlessLimitIsOld(StatusForParseError(code));
      if (AnnouncesMoreThan(*m_parser,
                            m_server->m_options.limits.max_body_bytes)) {
        return RejectUnlessLimitIsOld(kStatusTooLarge);
      }
      const bool has_unknown_body =
          m_parser->is_header_done() &&
          HasUnsupportedTransferCoding(m_parser->get());
      if (has_unknown_body) return Reject(kStatusBadRequest);
      if (m_parser->is_done()) return HandleRequest();
      if (m_parser->is_header_done()) OnHeadRead();
      if (parsed_bytes == 0) return;
    }
  }

  void SendContinueIfExpected() {
    const auto expect = m_parser->get()[http::field::expect];
    if (HeaderNamesEqual({expect.data(), expect.size()}, "100-continue")) {
      Write("HTTP/1.1 100 Continue\r\n\r\n");
    }
  }

  // A change that has not arrived here may allow a request beyond the limits.
  // Its bytes are dropped meanwhile, so it is never handled.
  void RejectUnlessLimitIsOld(int status) {
    ConfigFreshness* freshness = m_server->m_options.freshness;
    if (status == kStatusBadRequest || freshness == nullptr) {
      return Reject(status);
    }
    m_exceeded_status = status;
    DropRequest();
    CancelTimer();
    freshness->Confirm([server = m_server,
                        alive = std::weak_ptr<int>(m_server->m_alive),
                        number = m_number,
                        limits = m_server->m_options.limits](bool is_current) {
      if (alive.expired()) return;
      const auto found = server->m_connections.find(number);
      if (found == server->m_connections.end()) return;
      found->second->OnLimitsChecked(is_current, limits);
    });
  }

  void OnLimitsChecked(bool is_current, const HttpServerLimits& exceeded) {
    const HttpServerLimits& limits = m_server->m_options.limits;
    const bool are_unchanged =
        limits.max_header_bytes == exceeded.max_header_bytes &&
        limits.max_body_bytes == exceeded.max_body_bytes;
    if (is_current && are_unchanged) return Reject(m_exceeded_status);
    m_server->m_counters.Add(BeastHttpServerCounter::kLimitNotConfirmed);
    RefuseForNow(R"({"kind":"no_configuration","ran":"no"})");
  }

  // Refuses the request that is being read, which the caller may repeat, and
  // ends the connection.
  void RefuseForNow(const char* body) {
    HttpResponse response;
    response.status = kStatusUnavailable;
    response.headers = {{"Retry-After", kRetryAfterS}};
    response.body = body;
    Write(FormatResponse(response, true));
    FinishAndLinger();
  }

  // Responds with an error to a request that could not be read and ends the
  // connection, which cannot be used for further requests.
  void Reject(int status) {
    m_server->m_counters.Add(status == kStatusTooLarge
                                 ? BeastHttpServerCounter::kTooLarge
                                 : BeastHttpServerCounter::kMalformed);
    HttpResponse response;
    response.status = status;
    response.body = R"({"kind":"malformed_request"})";
    Write(FormatResponse(response, true));
    FinishAndLinger();
  }

  void HandleRequest() {
    if (m_server->m_pauses.HasJustResumed() && m_socket->IsEndPending()) {
      m_server->m_counters.Add(BeastHttpServerCounter::kGivenUpInPause);
      return CloseNow();
    }
    CancelTimer();
    auto message = m_parser->release();
    if (message[http::field::host].empty()) return Reject(kStatusBadRequest);
    m_awaiting_response = true;
    m_reading_request = false;
    ++m_request_serial;
    ++m_server->m_in_flight;
    m_server->m_counters.Add(BeastHttpServerCounter::kRequests);
    m_close_after_response = !message.keep_alive();
    m_is_head = message.method() == http::verb::head;
    HttpRequest request;
    request.connection = m_number;
    request.method = std::string{message.method_string()};
    request.target = std::string{message.target()};
    request.path = request.target.substr(0, request.target.find('?'));
    for (const auto& field : message) {
      const auto name = field.name_string();
      const auto value = field.value();
      request.headers.push_back({std::string(name.data(), name.size()),
                                 std::string(value.data(), value.size())});
    }
    request.body = std::move(message.body());
    m_parser.reset();
    m_server->m_handler(
        std::move(request),
        [server = m_server, alive = std::weak_ptr<int>(m_server->m_alive),
         number = m_number,
         request_serial = m_request_serial](const HttpResponse& response) {
          if (alive.expired()) return;
          const auto found = server->m_connections.find(number);
          if (found == server->m_connections.end()) {
            server->m_counters.Add(
                BeastHttpServerCounter::kAnswersUndeliverable);
            return;
          }
          found->second->Respond(request_serial, response);
        });
  }

  // Closes the sending side and waits before it closes the connection, so that
  // the caller can read the response: closing a socket that has unread bytes
  // would reset the connection.
  void FinishAndLinger() {
    m_lingering = true;
    DropRequest();
    m_socket->SetReading(true);
    m_socket->FinishSending();
    if (m_socket->HasUnsent()) return ArmIdleTimer();
    CloseUnlessRead(kLingerTimeout);
  }

  // Frees the memory of the request that is being read.
  void DropRequest() {
    std::string().swap(m_unparsed);
    m_parser.reset();
    m_received.Set(0);
  }

  BeastHttpServer* m_server;
  /// Number of this connection within the server.
  std::uint64_t m_number;
  std::unique_ptr<StreamSocket> m_socket;
  std::optional<http::request_parser<ReceivedBody>> m_parser;
  std::string m_unparsed;
  /// Received bytes of the requests that have no response yet.
  AccountedBytes m_received;
  /// Bytes of responses that the kernel has not accepted, because the caller
  /// does not read.
  AccountedBytes m_unread;
  /// Bytes received after the last response.
  std::size_t m_discarded_bytes = 0;
  std::uint64_t m_request_serial = 0;
  bool m_reading_request = false;
  bool m_head_read = false;
  bool m_has_received = false;
  /// Whether further requests wait until the caller has read the response.
  bool m_draining = false;
  TimePoint m_last_received{};
  bool m_awaiting_response = false;
  bool m_close_after_response = false;
  /// Whether the current request has the method HEAD.
  bool m_is_head = false;
  bool m_lingering = false;
  /// Status for a request beyond a limit that is being confirmed; otherwise 0.
  int m_exceeded_status = 0;
  TimerId m_timer = 0;
};

Result<std::unique_ptr<BeastHttpServer>> BeastHttpServer::Make(
    const BeastHttpServerOptions& options) {
  std::unique_ptr<BeastHttpServer> server(new BeastHttpServer(options));
  if (auto ok = server->Listen(); !ok) return tl::unexpected(ok.error());
  return server;
}

BeastHttpServer::BeastHttpServer(const BeastHttpServerOptions& options)
    : m_options(options),
      m_pauses(options.scheduler),
      m_own_account(options.max_held_bytes),
      m_account(options.account != nullptr ? options.account : &m_own_account) {
}

BeastHttpServer::~BeastHttpServer() {
  OnStopAccepting();
  m_options.scheduler->Cancel(m_destroy_timer);
  for (auto& [number, connection] : m_connections) connection->Close();
}

Result<void> BeastHttpServer::Listen() {
  const auto address = ToSocketAddress(m_options.bind);
  if (!address) return tl::unexpected(address.error());
  sockaddr_storage native{};
  const auto size =
      static_cast<socklen_t>(g_socket_address_get_native_size(address->get()));
  g_socket_address_to_native(address->get(), &native, sizeof native, nullptr);
  m_listener =
      socket(native.ss_family, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  const int on = 1;
  setsockopt(m_listener, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
  const bool bound =
      bind(m_listener, reinterpret_cast<const sockaddr*>(&native), size) == 0 &&
      listen(m_listener, kListenBacklog) == 0;
  if (!bound) {
    return MakeError(ErrorKind::kUpstreamUnavailable,
                     "cannot listen on " + m_options.bind.host_port);
  }
  socklen_t local_size = sizeof native;
  getsockname(m_listener, reinterpret_cast<sockaddr*>(&native), &local_size);
  const GObjectPtr<GSocketAddress> local(
      g_socket_address_new_from_native(&native, local_size));
  m_address = FromSocketAddress(local.get());
  m_options.poller->Add(m_listener, EPOLLIN,
                        [this](std::uint32_t) { Accept(); });
  return {};
}

void BeastHttpServer::Accept() {
  while (true) {
    const int fd =
        accept4(m_listener, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
    if (fd < 0) return;
    if (m_connections.size() >= m_options.max_connections &&
        !EvictUnusedConnection()) {
      m_counters.Add(BeastHttpServerCounter::kConnectionsRefused);
      close(fd);
      continue;
    }
    const std::uint64_t number = ++m_last_number;
    auto connection = std::make_unique<Connection>(this, number);
    if (!connection->Open(fd)) continue;
    m_counters.Add(BeastHttpServerCounter::kConnections);
    m_connections.emplace(number, std::move(connection));
  }
}

void BeastHttpServer::EnforceMemoryLimits() {
  while (m_account->IsTight()) {
    const auto largest = std::ranges::max_element(
        m_connections, {},
        [](const auto& entry) { return entry.second->DroppableBytes(); });
    if (largest == m_connections.end()) return;
    const std::size_t bytes = largest->second->DroppableBytes();
    const std::size_t min_bytes =
        m_account->IsOver() ? 1 : kSmallRequestBytes + 1;
    if (bytes < min_bytes) return;
    largest->second->DropLargest();
  }
}

bool BeastHttpServer::EvictUnusedConnection() {
  std::uint64_t oldest = 0;
  for (const auto& [number, connection] : m_connections) {
    if (!connection->IsUnused()) continue;
    if (oldest == 0 || number < oldest) oldest = number;
  }
  if (oldest == 0) return false;
  m_counters.Add(BeastHttpServerCounter::kUnusedEvicted);
  DestroyLater(oldest);
  return true;
}

void BeastHttpServer::CloseConnectionsWhenIdle() {
  m_closing_connections = true;
  std::vector<std::uint64_t> idle;
  for (const auto& [number, connection] : m_connections) {
    if (connection->IsIdle()) idle.push_back(number);
  }
  for (const std::uint64_t number : idle) DestroyLater(number);
}

std::uint32_t BeastHttpServer::UnfinishedCount() const {
  return static_cast<std::uint32_t>(std::ranges::count_if(
      m_connections,
      [](const auto& entry) { return entry.second->IsUnfinished(); }));
}

void BeastHttpServer::OnStopAccepting() {
  m_closing_connections = true;
  if (m_listener < 0) return;
  m_options.poller->Remove(m_listener);
  close(m_listener);
  m_listener = -1;
}

void BeastHttpServer::DestroyLater(std::uint64_t number) {
  auto node = m_connections.extract(number);
  if (node.empty()) return;
  node.mapped()->Close();
  m_closed_connections.push_back(std::move(node.mapped()));
  if (m_destroy_timer != 0) return;
  m_destroy_timer = m_options.scheduler->Schedule(Duration::zero(), [this] {
    m_destroy_timer = 0;
    m_closed_connections.clear();
  });
}

}  // namespace chicoryvale
