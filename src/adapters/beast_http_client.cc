#include "adapters/beast_http_client.h"

#include <algorithm>
#include <boost/asio/buffer.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>
#include <charconv>
#include <optional>
#include <utility>

#include "adapters/http_message_text.h"
#include "adapters/stream_socket.h"

namespace chicoryvale {
namespace {

namespace http = boost::beast::http;

/// Part of the idle time that a server states after which a connection is no
/// longer used: the rest covers the way there.
constexpr int kIdlePartPercent = 80;
constexpr int kPercent = 100;

/// Reads "timeout=SECONDS" of a Keep-Alive header; `fallback` without one.
Duration StatedIdleTimeout(const HttpClientAnswer& answer, Duration fallback) {
  const std::string value = FindHeader(answer.headers, "Keep-Alive");
  constexpr std::string_view kName = "timeout=";
  const std::size_t at = value.find(kName);
  if (at == std::string::npos) return fallback;
  const char* begin = value.data() + at + kName.size();
  std::uint32_t stated = 0;
  const auto [rest, code] =
      std::from_chars(begin, value.data() + value.size(), stated);
  if (code != std::errc{}) return fallback;
  return std::min<Duration>(
      fallback, milliseconds(1000) * stated * kIdlePartPercent / kPercent);
}

}  // namespace

struct BeastHttpClient::OpenCall {
  HttpCall call;
  Callback callback;
  std::unique_ptr<Connection> connection;
  TimerId timer = 0;
};

/// One connection, with the call that is on it, if any.
class BeastHttpClient::Connection : public StreamListener {
 public:
  Connection(BeastHttpClient* client, Address to)
      : m_client(client), m_to(std::move(to)) {}

  bool Open() {
    m_socket = StreamSocket::Connect(m_client->m_options.poller, m_to, this);
    return m_socket != nullptr;
  }

  void Start(HttpCallId id, const HttpCall& call) {
    m_client->m_options.scheduler->Cancel(std::exchange(m_idle_timer, 0));
    m_id = id;
    m_is_head = call.method == "HEAD";
    m_belongs = call.accepts;
    NewParser();
    const std::size_t body_bytes = call.body ? call.body->size() : 0;
    std::string text =
        RequestHead(call.method, call.target, call.headers, body_bytes);
    if (call.body) text += *call.body;
    m_client->m_counters.Add(HttpClientCounter::kBytesSent, text.size());
    m_socket->Write(text);
  }

  void ArmIdleTimer(Duration timeout) {
    m_id = 0;
    m_idle_timer = m_client->m_options.scheduler->Schedule(
        timeout, [this] { m_client->Drop(this); });
  }

  void Close() {
    m_client->m_options.scheduler->Cancel(std::exchange(m_idle_timer, 0));
    m_socket.reset();
  }

  [[nodiscard]] bool IsOpen() const { return m_socket != nullptr; }
  [[nodiscard]] const Address& To() const { return m_to; }

  void OnBytes(std::string_view bytes) override {
    m_client->m_counters.Add(HttpClientCounter::kBytesReceived, bytes.size());
    if (m_id == 0) {
      m_client->m_counters.Add(HttpClientCounter::kUnaskedBytes);
      return m_client->Drop(this);
    }
    Parse(bytes);
  }

  void OnEnd(StreamEnd end) override {
    if (m_id == 0) return m_client->Drop(this);
    if (end == StreamEnd::kFinished && m_parser->got_some()) {
      boost::system::error_code code;
      m_parser->put_eof(code);
      if (!code && m_parser->is_done()) {
        Deliver(false);
        return;
      }
    }
    Fail(end == StreamEnd::kFinished ? "connection closed"
                                     : "connection reset");
  }

 private:
  void NewParser() {
    m_parser.emplace();
    m_parser->eager(true);
    m_parser->body_limit(m_client->m_options.max_answer_bytes);
    if (m_is_head) m_parser->skip(true);
  }

  void Parse(std::string_view bytes) {
    m_pending.append(bytes);
    while (m_id != 0 && !m_pending.empty()) {
      boost::system::error_code code;
      const std::size_t used = m_parser->put(
          boost::asio::buffer(m_pending.data(), m_pending.size()), code);
      m_pending.erase(0, used);
      if (code == http::error::need_more) return;
      if (code) return Fail("malformed answer: " + code.message());
      if (!m_parser->is_done()) {
        if (used == 0) return;
        continue;
      }
      // An interim answer precedes the one that counts.
      constexpr int kFirstFinalStatus = 200;
      if (m_parser->get().result_int() < kFirstFinalStatus) {
        NewParser();
        continue;
      }
      if (!Deliver(true)) return;
    }
  }

  HttpClientAnswer TakeAnswer(bool* keep) {
    HttpClientAnswer answer;
    auto message = m_parser->release();
    *keep = *keep && message.keep_alive();
    answer.status = static_cast<int>(message.result_int());
    for (const auto& field : message) {
      const auto name = field.name_string();
      const auto value = field.value();
      answer.headers.push_back({std::string(name.data(), name.size()),
                                std::string(value.data(), value.size())});
    }
    answer.body = std::move(message.body());
    answer.closes_connection = !message.keep_alive();
    return answer;
  }

  // Returns whether the connection goes on to read the next answer.
  bool Deliver(bool keep) {
    HttpClientAnswer answer = TakeAnswer(&keep);
    if (m_belongs && !m_belongs(answer)) {
      m_client->m_counters.Add(HttpClientCounter::kForeignAnswersDropped);
      if (!keep) {
        Fail("the connection ended after an answer to another request");
        return false;
      }
      NewParser();
      return true;
    }
    // A request that is not all sent, or bytes that nobody asked for, would mix
    // with the next exchange.
    const bool clean = m_pending.empty() && !m_socket->HasUnsent();
    const HttpCallId id = std::exchange(m_id, 0);
    const Duration idle =
        StatedIdleTimeout(answer, m_client->m_options.idle_timeout);
    auto call = m_client->m_calls.find(id);
    std::unique_ptr<Connection> self = std::move(call->second->connection);
    if (keep && clean && idle > Duration::zero()) {
      m_client->Keep(std::move(self), idle);
    } else {
      m_client->Bury(std::move(self));
    }
    m_client->Finish(id, {HttpCallEnd::kAnswered, std::move(answer), {}});
    return false;
  }

  void Fail(const std::string& detail) {
    const HttpCallId id = std::exchange(m_id, 0);
    const bool sent = m_socket->HasSent();
    auto call = m_client->m_calls.find(id);
    m_client->Bury(std::move(call->second->connection));
    m_client->m_counters.Add(HttpClientCounter::kBroken);
    m_client->Finish(
        id, {sent ? HttpCallEnd::kBroken : HttpCallEnd::kNotSent, {}, detail});
  }

  BeastHttpClient* m_client;
  Address m_to;
  std::unique_ptr<StreamSocket> m_socket;
  HttpCallId m_id = 0;
  bool m_is_head = false;
  std::function<bool(const HttpClientAnswer&)> m_belongs;
  std::optional<http::response_parser<http::string_body>> m_parser;
  std::string m_pending;
  TimerId m_idle_timer = 0;
};

BeastHttpClient::BeastHttpClient(const HttpClientOptions& options)
    : m_options(options) {}

BeastHttpClient::~BeastHttpClient() {
  for (auto& [id, call] : m_calls) {
    m_options.scheduler->Cancel(call->timer);
    if (call->connection) call->connection->Close();
  }
  for (auto& [address, connections] : m_idle) {
    for (auto& connection : connections) connection->Close();
  }
  m_options.scheduler->Cancel(m_bury_timer);
}

HttpCallId BeastHttpClient::OnSend(HttpCall call, Callback callback) {
  const HttpCallId id = ++m_last_id;
  m_counters.Add(HttpClientCounter::kCalls);
  auto open = std::make_unique<OpenCall>();
  open->call = std::move(call);
  open->callback = std::move(callback);
  open->timer = m_options.scheduler->Schedule(open->call.timeout, [this, id] {
    m_counters.Add(HttpClientCounter::kTimedOut);
    OpenCall& late = *m_calls.at(id);
    late.timer = 0;
    if (late.connection) Bury(std::move(late.connection));
    Finish(id, {HttpCallEnd::kTimedOut, {}, "no complete answer in time"});
  });
  m_calls.emplace(id, std::move(open));
  Begin(id);
  return id;
}

void BeastHttpClient::Begin(HttpCallId id) {
  OpenCall& open = *m_calls.at(id);
  open.connection = TakeIdle(open.call.to);
  if (open.connection) {
    m_counters.Add(HttpClientCounter::kConnectionsReused);
  } else {
    auto fresh = std::make_unique<Connection>(this, open.call.to);
    if (!fresh->Open()) {
      m_counters.Add(HttpClientCounter::kConnectionsRefusedHere);
      m_options.scheduler->Schedule(Duration::zero(), [this, id] {
        if (!m_calls.contains(id)) return;
        Finish(id, {HttpCallEnd::kNotSent, {}, "no connection can be opened"});
      });
      return;
    }
    m_counters.Add(HttpClientCounter::kConnectionsOpened);
    open.connection = std::move(fresh);
  }
  open.connection->Start(id, open.call);
}

std::unique_ptr<BeastHttpClient::Connection> BeastHttpClient::TakeIdle(
    const Address& to) {
  const auto idle = m_idle.find(to.host_port);
  if (idle == m_idle.end() || idle->second.empty()) return nullptr;
  std::unique_ptr<Connection> taken = std::move(idle->second.back());
  idle->second.pop_back();
  return taken;
}

void BeastHttpClient::Finish(HttpCallId id, HttpCallResult result) {
  auto node = m_calls.extract(id);
  OpenCall& open = *node.mapped();
  m_options.scheduler->Cancel(open.timer);
  open.callback(std::move(result));
}

void BeastHttpClient::Keep(std::unique_ptr<Connection> connection,
                           Duration idle_timeout) {
  Connection* kept = connection.get();
  m_idle[kept->To().host_port].push_back(std::move(connection));
  kept->ArmIdleTimer(idle_timeout);
}

void BeastHttpClient::Drop(Connection* connection) {
  const auto idle = m_idle.find(connection->To().host_port);
  if (idle == m_idle.end()) return;
  const auto found = std::ranges::find(idle->second, connection,
                                       &std::unique_ptr<Connection>::get);
  if (found == idle->second.end()) return;
  std::unique_ptr<Connection> dropped = std::move(*found);
  idle->second.erase(found);
  Bury(std::move(dropped));
}

void BeastHttpClient::Bury(std::unique_ptr<Connection> connection) {
  if (!connection) return;
  connection->Close();
  m_buried.push_back(std::move(connection));
  if (m_bury_timer != 0) return;
  m_bury_timer = m_options.scheduler->Schedule(Duration::zero(), [this] {
    m_bury_timer = 0;
    m_buried.clear();
  });
}

void BeastHttpClient::CloseIdle(const Address& to) {
  const auto idle = m_idle.find(to.host_port);
  if (idle == m_idle.end()) return;
  for (auto& connection : std::exchange(idle->second, {})) {
    Bury(std::move(connection));
  }
}

void BeastHttpClient::OnCancel(HttpCallId id) {
  auto node = m_calls.extract(id);
  if (node.empty()) return;
  m_options.scheduler->Cancel(node.mapped()->timer);
  Bury(std::move(node.mapped()->connection));
}

}  // namespace chicoryvale
