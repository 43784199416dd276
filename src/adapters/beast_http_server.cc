#include "adapters/beast_http_server.h"

#include <gio/gio.h>
#include <sys/epoll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <boost/asio/buffer.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>
#include <cerrno>
#include <optional>
#include <utility>

#include "adapters/http_message_text.h"
#include "adapters/socket_address.h"
#include "adapters/stream_socket.h"

namespace chicoryvale {
namespace {

namespace http = boost::beast::http;

constexpr int kBacklog = 1024;

/// Bytes of later requests kept while one is being answered.
constexpr std::size_t kMaxPipelinedBytes = std::size_t{64} * 1024;

/// Time that a caller has to read the last answer before its connection is
/// closed with a reset.
constexpr Duration kLinger = seconds(2);

constexpr int kStatusBadRequest = 400;
constexpr int kStatusTooLarge = 413;
constexpr int kStatusHeadersTooLarge = 431;

int StatusFor(const boost::system::error_code& code) {
  if (code == http::error::header_limit) return kStatusHeadersTooLarge;
  if (code == http::error::body_limit) return kStatusTooLarge;
  return kStatusBadRequest;
}

}  // namespace

/// One caller's connection.
class BeastHttpServer::Connection : public StreamListener {
 public:
  Connection(BeastHttpServer* server, std::uint64_t number)
      : m_server(server), m_number(number) {}

  ~Connection() override { CancelTimer(); }

  bool Open(int fd) {
    m_socket = StreamSocket::Adopt(m_server->m_options.poller, fd, this);
    if (!m_socket) return false;
    NewParser();
    ArmIdleTimer();
    return true;
  }

  /// A connection between two requests.
  [[nodiscard]] bool IsIdle() const {
    return !m_busy && !m_reading_request && m_pending.empty() && !m_ending;
  }

  void CloseNow() { m_server->Bury(m_number); }

  void Close() {
    CancelTimer();
    if (m_busy) {
      m_busy = false;
      --m_server->m_in_flight;
    }
    m_socket.reset();
  }

  void OnBytes(std::string_view bytes) override {
    if (m_ending) return;
    m_pending.append(bytes);
    if (!m_busy) return Parse();
    if (m_pending.size() > kMaxPipelinedBytes) m_socket->SetReading(false);
  }

  void OnEnd(StreamEnd /*end*/) override {
    const bool unanswered = m_busy;
    const std::uint64_t number = m_number;
    BeastHttpServer* server = m_server;
    if (unanswered)
      server->m_counters.Add(BeastHttpServerCounter::kCallersGone);
    server->Bury(number);
    if (unanswered && server->m_on_gone) server->m_on_gone(number);
  }

  /// Sends the answer to request number `serial` of this connection.
  void Respond(std::uint64_t serial, const HttpResponse& response) {
    if (!m_busy || serial != m_serial) return;
    m_busy = false;
    --m_server->m_in_flight;
    if (response.abort_connection) return CloseNow();
    const bool close = m_close_after || m_server->m_closing;
    m_socket->Write(ResponseText(response, close));
    if (close) return EndGently();
    NewParser();
    m_socket->SetReading(true);
    ArmIdleTimer();
    if (m_pending.empty()) return;
    // Not from within Respond, which the handler may call at once.
    m_server->m_options.scheduler->Schedule(
        Duration::zero(),
        [server = m_server, alive = std::weak_ptr<int>(m_server->m_alive),
         number = m_number] {
          if (alive.expired()) return;
          const auto found = server->m_connections.find(number);
          if (found != server->m_connections.end()) found->second->Parse();
        });
  }

 private:
  void NewParser() {
    m_reading_request = false;
    m_continue_sent = false;
    m_parser.emplace();
    m_parser->eager(true);
    m_parser->header_limit(m_server->m_options.limits.max_header_bytes);
    m_parser->body_limit(m_server->m_options.limits.max_body_bytes);
  }

  void CancelTimer() {
    m_server->m_options.scheduler->Cancel(std::exchange(m_timer, 0));
  }

  void ArmIdleTimer() {
    CancelTimer();
    m_timer = m_server->m_options.scheduler->Schedule(
        m_server->m_options.limits.idle_timeout, [this] {
          m_timer = 0;
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

  void Parse() {
    if (m_busy || m_ending) return;
    while (!m_pending.empty()) {
      if (!m_reading_request) {
        m_reading_request = true;
        ArmHeaderTimer();
      }
      boost::system::error_code code;
      const std::size_t used = m_parser->put(
          boost::asio::buffer(m_pending.data(), m_pending.size()), code);
      m_pending.erase(0, used);
      if (code == http::error::need_more) return;
      if (code) return Refuse(StatusFor(code));
      if (m_parser->is_header_done()) CancelTimer();
      if (m_parser->is_done()) return Handle();
      AnswerExpectation();
      if (used == 0) return;
    }
  }

  void AnswerExpectation() {
    if (m_continue_sent || !m_parser->is_header_done()) return;
    m_continue_sent = true;
    const auto expect = m_parser->get()[http::field::expect];
    if (HeaderNamesEqual({expect.data(), expect.size()}, "100-continue")) {
      m_socket->Write("HTTP/1.1 100 Continue\r\n\r\n");
    }
  }

  // Answers a request that could not be read; its connection is of no more use.
  void Refuse(int status) {
    m_server->m_counters.Add(status == kStatusTooLarge
                                 ? BeastHttpServerCounter::kTooLarge
                                 : BeastHttpServerCounter::kMalformed);
    HttpResponse response;
    response.status = status;
    response.body = R"({"kind":"malformed_request"})";
    m_socket->Write(ResponseText(response, true));
    EndGently();
  }

  void Handle() {
    CancelTimer();
    auto message = m_parser->release();
    if (message[http::field::host].empty()) return Refuse(kStatusBadRequest);
    m_busy = true;
    m_reading_request = false;
    ++m_serial;
    ++m_server->m_in_flight;
    m_server->m_counters.Add(BeastHttpServerCounter::kRequests);
    m_close_after = !message.keep_alive();
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
    m_server->m_handler(
        std::move(request),
        [server = m_server, alive = std::weak_ptr<int>(m_server->m_alive),
         number = m_number, serial = m_serial](const HttpResponse& response) {
          if (alive.expired()) return;
          const auto found = server->m_connections.find(number);
          if (found == server->m_connections.end()) {
            server->m_counters.Add(
                BeastHttpServerCounter::kAnswersUndeliverable);
            return;
          }
          found->second->Respond(serial, response);
        });
  }

  // Lets the caller read what was written before the connection goes: closing
  // with unread bytes would reset it.
  void EndGently() {
    m_ending = true;
    m_pending.clear();
    m_socket->SetReading(true);
    m_socket->FinishSending();
    CancelTimer();
    m_timer = m_server->m_options.scheduler->Schedule(kLinger, [this] {
      m_timer = 0;
      CloseNow();
    });
  }

  BeastHttpServer* m_server;
  std::uint64_t m_number;
  std::unique_ptr<StreamSocket> m_socket;
  std::optional<http::request_parser<http::string_body>> m_parser;
  std::string m_pending;
  std::uint64_t m_serial = 0;
  bool m_reading_request = false;
  bool m_continue_sent = false;
  bool m_busy = false;
  bool m_close_after = false;
  bool m_ending = false;
  TimerId m_timer = 0;
};

Result<std::unique_ptr<BeastHttpServer>> BeastHttpServer::Make(
    const BeastHttpServerOptions& options) {
  std::unique_ptr<BeastHttpServer> server(new BeastHttpServer(options));
  if (auto ok = server->Listen(); !ok) return tl::unexpected(ok.error());
  return server;
}

BeastHttpServer::BeastHttpServer(const BeastHttpServerOptions& options)
    : m_options(options) {}

BeastHttpServer::~BeastHttpServer() {
  OnStopAccepting();
  m_options.scheduler->Cancel(m_bury_timer);
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
      listen(m_listener, kBacklog) == 0;
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
    if (m_connections.size() >= m_options.max_connections) {
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

void BeastHttpServer::CloseConnectionsWhenIdle() {
  m_closing = true;
  std::vector<std::uint64_t> idle;
  for (const auto& [number, connection] : m_connections) {
    if (connection->IsIdle()) idle.push_back(number);
  }
  for (const std::uint64_t number : idle) Bury(number);
}

void BeastHttpServer::OnStopAccepting() {
  m_closing = true;
  if (m_listener < 0) return;
  m_options.poller->Remove(m_listener);
  close(m_listener);
  m_listener = -1;
}

void BeastHttpServer::Bury(std::uint64_t number) {
  auto node = m_connections.extract(number);
  if (node.empty()) return;
  node.mapped()->Close();
  m_buried.push_back(std::move(node.mapped()));
  if (m_bury_timer != 0) return;
  m_bury_timer = m_options.scheduler->Schedule(Duration::zero(), [this] {
    m_bury_timer = 0;
    m_buried.clear();
  });
}

}  // namespace chicoryvale
