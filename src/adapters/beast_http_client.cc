#include "adapters/beast_http_client.h"

#include <algorithm>
#include <boost/asio/buffer.hpp>
#include <boost/beast/http/parser.hpp>
#include <charconv>
#include <functional>
#include <iterator>
#include <optional>
#include <utility>

#include "adapters/http_message_text.h"
#include "adapters/received_body.h"
#include "adapters/stream_socket.h"
#include "base/spare_capacity.h"

namespace chicoryvale {
namespace {

namespace http = boost::beast::http;

/// Percentage of the server's stated idle timeout during which a connection is
/// reused. The remainder allows for the transit time of the next request.
constexpr int kUsableIdlePercent = 80;
constexpr int kPercent = 100;

/// Limit on bytes that the parser cannot process because a line is incomplete.
/// It has no limit of its own on the lines between the chunks of a body.
constexpr std::size_t kMaxIncompleteLineBytes = std::size_t{16} << 10;

/// Limit on the responses to one request that are skipped because they are
/// interim ones or belong to other requests.
constexpr std::uint32_t kMaxSkippedResponses = 16;

/// Limit on the failed requests that a connection remembers. It is closed once
/// it has carried so many.
constexpr std::size_t kMaxFailedRequests = 64;

/// Larger bodies are written apart from the head, which saves a copy.
constexpr std::size_t kMaxJoinedBodyBytes = std::size_t{16} << 10;

constexpr int kFirstErrorStatus = 400;

/// Returns whether `text`, the first bytes of a response, is the beginning of a
/// status line with a status from 100 to 599, as far as it has been received.
/// The parser reads no status before the head is complete, and takes any three
/// digits for one.
bool MayBeginResponse(std::string_view text) {
  constexpr std::size_t kStatusPosition = std::string_view("HTTP/1.1 ").size();
  constexpr std::size_t kStatusBytes = 3;
  if (text.size() < kStatusPosition + kStatusBytes) return true;
  const std::string_view status = text.substr(kStatusPosition, kStatusBytes);
  return status[0] >= '1' && status[0] <= '5' &&
         status.find_first_not_of("0123456789") == std::string_view::npos;
}

/// Returns the usable part of the "timeout=SECONDS" parameter of the Keep-Alive
/// header, at most `fallback`; `fallback` if there is no valid parameter.
Duration ParseIdleTimeout(const HttpClientAnswer& answer, Duration fallback) {
  const std::string value = FindHeader(answer.headers, "Keep-Alive");
  constexpr std::string_view kTimeoutParameter = "timeout=";
  const std::size_t position = value.find(kTimeoutParameter);
  if (position == std::string::npos) return fallback;
  const char* begin = value.data() + position + kTimeoutParameter.size();
  std::uint32_t timeout_s = 0;
  const auto [rest, code] =
      std::from_chars(begin, value.data() + value.size(), timeout_s);
  if (code != std::errc{}) return fallback;
  return std::min<Duration>(
      fallback, milliseconds(1000) * timeout_s * kUsableIdlePercent / kPercent);
}

}  // namespace

/// A call that has not ended, with its connection and timeout timer.
struct BeastHttpClient::OpenCall {
  HttpCall call;
  Callback callback;
  std::unique_ptr<Connection> connection;
  TimerId timer = 0;
};

/// One connection to a server, with at most one call in flight.
class BeastHttpClient::Connection : public StreamListener {
 public:
  Connection(BeastHttpClient* client, Address to)
      : m_client(client),
        m_server_address(std::move(to)),
        m_accounted(client->m_account) {}

  bool Open() {
    m_socket = StreamSocket::Connect(m_client->m_options.poller,
                                     m_server_address, this);
    if (m_socket) ++m_client->m_open_connections;
    return m_socket != nullptr;
  }

  void SendRequest(HttpCallId id, const HttpCall& call) {
    m_client->m_options.scheduler->Cancel(std::exchange(m_idle_timer, 0));
    m_call_id = id;
    m_request_id = call.id;
    m_is_head = call.method == "HEAD";
    m_is_own_response = call.accepts;
    m_skipped_responses = 0;
    ResetParser();
    const std::size_t body_bytes = call.body ? call.body->size() : 0;
    std::string text =
        FormatRequestHead(call.method, call.target, call.headers, body_bytes);
    m_client->m_counters.Add(BeastHttpClientCounter::kBytesSent,
                             text.size() + body_bytes);
    const bool is_joined = body_bytes > 0 && body_bytes <= kMaxJoinedBodyBytes;
    // A server may read a long body late, which is no sign that it is gone.
    m_socket->SetSendTimeout(
        body_bytes > kMaxJoinedBodyBytes
            ? std::max(call.timeout, StreamSocket::kDefaultSendTimeout)
            : StreamSocket::kDefaultSendTimeout);
    if (is_joined) text += *call.body;
    m_socket->Write(text);
    if (body_bytes > 0 && !is_joined) m_socket->Write(*call.body);
    UpdateAccount();
  }

  void OnFlushed() override { UpdateAccount(); }

  /// Returns whether the server has answered a request with the id `request_id`
  /// on this connection with an error status.
  [[nodiscard]] bool HasFailed(const std::string& request_id) const {
    return !request_id.empty() &&
           std::ranges::count(m_failed_requests, HashOf(request_id)) > 0;
  }

  void ArmIdleTimer(Duration timeout) {
    m_call_id = 0;
    m_idle_timer = m_client->m_options.scheduler->Schedule(
        timeout, [this] { m_client->RemoveIdle(this); });
  }

  void Close() {
    ReleaseBufferedBytes();
    m_client->m_options.scheduler->Cancel(std::exchange(m_idle_timer, 0));
    if (m_socket) --m_client->m_open_connections;
    m_socket.reset();
    m_accounted.Set(0);
  }

  /// Returns the status and the headers of the response that is being received
  /// if its head is complete and it belongs to the call; otherwise status 0.
  [[nodiscard]] HttpClientAnswer HeadOfIncompleteResponse() const {
    if (!m_parser->is_header_done() || m_parser->is_done()) return {};
    HttpClientAnswer head = CopyHead();
    const bool is_own = !m_is_own_response || m_is_own_response(head);
    return is_own ? head : HttpClientAnswer{};
  }

  [[nodiscard]] bool IsOpen() const { return m_socket != nullptr; }
  [[nodiscard]] std::size_t BufferedBytes() const { return m_buffered_bytes; }
  [[nodiscard]] const Address& ServerAddress() const {
    return m_server_address;
  }

  void OnBytes(std::string_view bytes) override {
    m_client->m_counters.Add(BeastHttpClientCounter::kBytesReceived,
                             bytes.size());
    if (m_call_id == 0) {
      m_client->m_counters.Add(BeastHttpClientCounter::kUnaskedBytes);
      return m_client->RemoveIdle(this);
    }
    m_buffered_bytes += bytes.size();
    m_client->m_buffered_bytes += bytes.size();
    UpdateAccount();
    while (m_client->m_buffered_bytes >
           m_client->m_options.max_buffered_bytes) {
      m_client->FailLargestResponse();
      // The callback of the failed call may have cancelled this one.
      if (!IsOpen()) return;
    }
    Parse(bytes);
  }

  void OnEnd(StreamEnd end) override {
    if (m_call_id == 0) return m_client->RemoveIdle(this);
    if (end == StreamEnd::kFinished && m_parser->got_some()) {
      boost::system::error_code code;
      m_parser->put_eof(code);
      if (!code && m_parser->is_done()) {
        Deliver(false);
        return;
      }
    }
    Fail(end == StreamEnd::kFinished ? "connection closed" : "connection reset",
         true);
  }

  /// Ends the call of this connection, whose response cannot be used.
  void Fail(const std::string& detail, bool ended_by_server = false) {
    const HttpCallId id = std::exchange(m_call_id, 0);
    const bool sent = m_socket->HasSent();
    HttpClientAnswer head = HeadOfIncompleteResponse();
    auto call = m_client->m_calls.find(id);
    m_client->DestroyLater(std::move(call->second->connection));
    m_client->m_counters.Add(BeastHttpClientCounter::kBroken);
    m_client->Finish(id, {sent ? HttpCallEnd::kBroken : HttpCallEnd::kNotSent,
                          std::move(head), detail, ended_by_server});
  }

 private:
  void ResetParser() {
    m_is_at_start = true;
    m_parser.emplace();
    m_parser->eager(true);
    m_parser->body_limit(m_client->m_options.max_response_bytes);
    if (m_is_head) m_parser->skip(true);
  }

  void Parse(std::string_view bytes) {
    m_unparsed.append(bytes);
    while (m_call_id != 0 && !m_unparsed.empty()) {
      if (m_is_at_start && !MayBeginResponse(m_unparsed)) {
        m_client->m_counters.Add(BeastHttpClientCounter::kInvalidStatus);
        return Fail("the status of the response is invalid");
      }
      boost::system::error_code code;
      const std::size_t parsed_bytes = m_parser->put(
          boost::asio::buffer(m_unparsed.data(), m_unparsed.size()), code);
      if (parsed_bytes > 0) m_is_at_start = false;
      m_unparsed.erase(0, parsed_bytes);
      ReleaseSpareCapacity(&m_unparsed);
      if (code == http::error::need_more) {
        if (m_unparsed.size() <= kMaxIncompleteLineBytes) return;
        return Fail("malformed response: a line is too long");
      }
      if (code) return Fail("malformed response: " + code.message());
      if (!m_is_head &&
          AnnouncesMoreThan(*m_parser,
                            m_client->m_options.max_response_bytes)) {
        return Fail("the response is larger than the limit");
      }
      if (!m_parser->is_done()) {
        if (parsed_bytes == 0) return;
        continue;
      }
      // Interim (1xx) responses precede the final one and are skipped.
      constexpr int kFirstFinalStatus = 200;
      if (m_parser->get().result_int() < kFirstFinalStatus) {
        if (!MaySkipResponse()) return Fail("too many interim responses");
        ResetParser();
        continue;
      }
      if (!Deliver(true)) return;
    }
  }

  static std::size_t HashOf(const std::string& request_id) {
    return std::hash<std::string>()(request_id);
  }

  void RecordStatus(int status) {
    if (status < kFirstErrorStatus || m_request_id.empty()) return;
    m_failed_requests.push_back(HashOf(m_request_id));
  }

  bool MaySkipResponse() {
    return ++m_skipped_responses <= kMaxSkippedResponses;
  }

  void ReleaseBufferedBytes() {
    m_client->m_buffered_bytes -= std::exchange(m_buffered_bytes, 0);
    if (m_socket) UpdateAccount();
  }

  // Accounts for the unsent bytes of the request and the incomplete response.
  void UpdateAccount() {
    m_accounted.Set(m_socket->UnsentBytes() + m_buffered_bytes);
  }

  // Returns the status and the headers of the response that is being parsed.
  [[nodiscard]] HttpClientAnswer CopyHead() const {
    HttpClientAnswer answer;
    const auto& message = m_parser->get();
    answer.status = static_cast<int>(message.result_int());
    for (const auto& field : message) {
      const auto name = field.name_string();
      const auto value = field.value();
      answer.headers.push_back({std::string(name.data(), name.size()),
                                std::string(value.data(), value.size())});
    }
    answer.is_first_on_connection = m_is_first_answer;
    return answer;
  }

  HttpClientAnswer ReleaseResponse(bool* can_reuse) {
    HttpClientAnswer answer = CopyHead();
    auto message = m_parser->release();
    *can_reuse = *can_reuse && message.keep_alive();
    answer.body = std::move(message.body());
    answer.closes_connection = !message.keep_alive();
    m_is_first_answer = false;
    return answer;
  }

  // Passes the parsed response to the call. Returns whether the connection
  // keeps reading, which is so if the response was not for this call.
  bool Deliver(bool can_reuse) {
    HttpClientAnswer answer = ReleaseResponse(&can_reuse);
    if (m_is_own_response && !m_is_own_response(answer)) {
      m_client->m_counters.Add(BeastHttpClientCounter::kForeignAnswersDropped);
      if (!can_reuse || !MaySkipResponse()) {
        Fail("only responses to other requests arrived");
        return false;
      }
      ResetParser();
      return true;
    }
    RecordStatus(answer.status);
    can_reuse = can_reuse && m_failed_requests.size() < kMaxFailedRequests;
    // Unsent request bytes or surplus received bytes would be taken for part of
    // the next request or response on this connection.
    const bool has_no_leftover_bytes =
        m_unparsed.empty() && !m_socket->HasUnsent();
    const HttpCallId id = std::exchange(m_call_id, 0);
    const Duration idle =
        ParseIdleTimeout(answer, m_client->m_options.idle_timeout);
    ReleaseBufferedBytes();
    auto call = m_client->m_calls.find(id);
    std::unique_ptr<Connection> self = std::move(call->second->connection);
    if (can_reuse && has_no_leftover_bytes && idle > Duration::zero()) {
      m_client->AddIdle(std::move(self), idle);
    } else {
      m_client->DestroyLater(std::move(self));
    }
    m_client->Finish(id, {HttpCallEnd::kAnswered, std::move(answer), {}});
    return false;
  }

  BeastHttpClient* m_client;
  Address m_server_address;
  std::unique_ptr<StreamSocket> m_socket;
  HttpCallId m_call_id = 0;
  /// HttpCall::id of the request in flight or, without one, of the last one.
  std::string m_request_id;
  /// Hashes of the ids of the requests that were answered with an error status.
  std::vector<std::size_t> m_failed_requests;
  bool m_is_head = false;
  bool m_is_first_answer = true;
  /// Received bytes of the response that is not complete.
  std::size_t m_buffered_bytes = 0;
  std::uint32_t m_skipped_responses = 0;
  std::function<bool(const HttpClientAnswer&)> m_is_own_response;
  std::optional<http::response_parser<ReceivedBody>> m_parser;
  /// Whether the parser has read no byte of the response.
  bool m_is_at_start = true;
  std::string m_unparsed;
  TimerId m_idle_timer = 0;
  AccountedBytes m_accounted;
};

BeastHttpClient::BeastHttpClient(const BeastHttpClientOptions& options)
    : m_options(options),
      m_account(options.account != nullptr ? options.account : &m_own_account) {
}

BeastHttpClient::~BeastHttpClient() {
  for (auto& [id, call] : m_calls) {
    m_options.scheduler->Cancel(call->timer);
    if (call->connection) call->connection->Close();
  }
  for (auto& [address, connections] : m_idle) {
    for (auto& connection : connections) connection->Close();
  }
  m_options.scheduler->Cancel(m_destroy_timer);
}

HttpCallId BeastHttpClient::OnSend(HttpCall call, Callback callback) {
  const HttpCallId id = ++m_last_id;
  m_counters.Add(BeastHttpClientCounter::kCalls);
  auto open_call = std::make_unique<OpenCall>();
  open_call->call = std::move(call);
  open_call->callback = std::move(callback);
  open_call->timer =
      m_options.scheduler->Schedule(open_call->call.timeout, [this, id] {
        m_counters.Add(BeastHttpClientCounter::kTimedOut);
        OpenCall& timed_out = *m_calls.at(id);
        timed_out.timer = 0;
        HttpCallResult result;
        result.end = HttpCallEnd::kTimedOut;
        result.detail = "no complete response before the timeout";
        if (timed_out.connection) {
          result.answer = timed_out.connection->HeadOfIncompleteResponse();
          DestroyLater(std::move(timed_out.connection));
        }
        Finish(id, std::move(result));
      });
  m_calls.emplace(id, std::move(open_call));
  StartCall(id);
  return id;
}

void BeastHttpClient::StartCall(HttpCallId id) {
  OpenCall& open_call = *m_calls.at(id);
  open_call.connection = TakeIdle(open_call.call);
  if (open_call.connection) {
    m_counters.Add(BeastHttpClientCounter::kConnectionsReused);
  } else {
    auto new_connection = std::make_unique<Connection>(this, open_call.call.to);
    if (!MakeRoomForConnection() || !new_connection->Open()) {
      m_counters.Add(BeastHttpClientCounter::kConnectionsRefusedHere);
      m_options.scheduler->Schedule(Duration::zero(), [this, id] {
        if (!m_calls.contains(id)) return;
        Finish(id, {HttpCallEnd::kNotSent, {}, "no connection can be opened"});
      });
      return;
    }
    m_counters.Add(BeastHttpClientCounter::kConnectionsOpened);
    open_call.connection = std::move(new_connection);
  }
  open_call.connection->SendRequest(id, open_call.call);
}

std::unique_ptr<BeastHttpClient::Connection> BeastHttpClient::TakeIdle(
    const HttpCall& call) {
  const auto idle = m_idle.find(call.to.host_port);
  if (idle == m_idle.end() || idle->second.empty()) return nullptr;
  auto& connections = idle->second;
  const auto last_usable =
      std::find_if(connections.rbegin(), connections.rend(),
                   [&call](const auto& connection) {
                     return !connection->HasFailed(call.id);
                   });
  const auto avoided = std::distance(connections.rbegin(), last_usable);
  m_counters.Add(BeastHttpClientCounter::kConnectionsAvoided,
                 static_cast<std::uint64_t>(avoided));
  if (last_usable == connections.rend()) return nullptr;
  std::unique_ptr<Connection> taken = std::move(*last_usable);
  connections.erase(std::next(last_usable).base());
  return taken;
}

void BeastHttpClient::FailLargestResponse() {
  const auto largest = std::ranges::max_element(
      m_calls, {}, [](const auto& entry) -> std::size_t {
        const auto& connection = entry.second->connection;
        return connection ? connection->BufferedBytes() : 0;
      });
  Connection* connection = largest->second->connection.get();
  m_counters.Add(BeastHttpClientCounter::kResponsesOverTotal);
  connection->Fail("too many bytes of incomplete responses");
}

void BeastHttpClient::Finish(HttpCallId id, HttpCallResult result) {
  auto node = m_calls.extract(id);
  OpenCall& open_call = *node.mapped();
  m_options.scheduler->Cancel(open_call.timer);
  open_call.callback(std::move(result));
}

void BeastHttpClient::AddIdle(std::unique_ptr<Connection> connection,
                              Duration idle_timeout) {
  Connection* idle_connection = connection.get();
  m_idle[idle_connection->ServerAddress().host_port].push_back(
      std::move(connection));
  idle_connection->ArmIdleTimer(idle_timeout);
}

void BeastHttpClient::RemoveIdle(Connection* connection) {
  const auto idle = m_idle.find(connection->ServerAddress().host_port);
  if (idle == m_idle.end()) return;
  const auto found = std::ranges::find(idle->second, connection,
                                       &std::unique_ptr<Connection>::get);
  if (found == idle->second.end()) return;
  std::unique_ptr<Connection> removed = std::move(*found);
  idle->second.erase(found);
  DestroyLater(std::move(removed));
}

bool BeastHttpClient::MakeRoomForConnection() {
  if (m_open_connections < m_options.max_connections) return true;
  const auto idle = std::ranges::find_if(
      m_idle, [](const auto& entry) { return !entry.second.empty(); });
  if (idle == m_idle.end()) return false;
  // The least recently used connection to that server.
  RemoveIdle(idle->second.front().get());
  return true;
}

void BeastHttpClient::DestroyLater(std::unique_ptr<Connection> connection) {
  if (!connection) return;
  connection->Close();
  m_closed_connections.push_back(std::move(connection));
  if (m_destroy_timer != 0) return;
  m_destroy_timer = m_options.scheduler->Schedule(Duration::zero(), [this] {
    m_destroy_timer = 0;
    m_closed_connections.clear();
  });
}

void BeastHttpClient::CloseIdle(const Address& to) {
  const auto idle = m_idle.find(to.host_port);
  if (idle == m_idle.end()) return;
  for (auto& connection : std::exchange(idle->second, {})) {
    DestroyLater(std::move(connection));
  }
}

void BeastHttpClient::OnCancel(HttpCallId id) {
  auto node = m_calls.extract(id);
  if (node.empty()) return;
  m_options.scheduler->Cancel(node.mapped()->timer);
  DestroyLater(std::move(node.mapped()->connection));
}

}  // namespace chicoryvale
