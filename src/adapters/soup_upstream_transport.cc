#include "adapters/soup_upstream_transport.h"

#include <string>
#include <utility>

#include "adapters/upstream_messages.h"

namespace chicoryvale {

/// One attempt, until libsoup has completed it.
namespace {

/// Limit on the interim (1xx) responses to one request.
constexpr std::uint32_t kMaxInterimResponses = 16;

/// libsoup rejects statuses below 100 and those that are not numbers.
constexpr guint kMaxStatus = 599;

}  // namespace

struct SoupUpstreamTransport::Exchange {
  /// Null once the attempt has ended for its caller.
  SoupUpstreamTransport* transport = nullptr;
  SubRequestId id = 0;
  Callback callback;
  SoupMessage* message = nullptr;
  GCancellable* cancellable = nullptr;
  TimerId timer = 0;
  TimePoint sent_at{};
  /// Time from sending to the response headers; zero before they arrive.
  Duration first_byte{};
  std::uint32_t interim_responses = 0;
  /// Bytes of the request may have been sent.
  bool may_have_sent = false;

  Exchange() = default;
  Exchange(const Exchange&) = delete;
  Exchange& operator=(const Exchange&) = delete;
  ~Exchange() {
    g_clear_object(&message);
    g_clear_object(&cancellable);
  }
};

SoupUpstreamTransport::SoupUpstreamTransport(
    const SoupUpstreamTransportOptions& options)
    : m_options(options) {}

SoupUpstreamTransport::~SoupUpstreamTransport() {
  while (!m_exchanges.empty()) Detach(m_exchanges.begin()->second);
  for (const auto& [address, session] : m_sessions) g_object_unref(session);
}

SoupSession* SoupUpstreamTransport::GetOrCreateSession(const Address& replica) {
  SoupSession*& session = m_sessions[replica.host_port];
  if (session != nullptr) return session;
  const auto limit = static_cast<int>(m_options.max_connections_per_replica);
  session = soup_session_new_with_options("max-conns", limit,
                                          "max-conns-per-host", limit, nullptr);
  // Disables proxies, the second request after a 401 response, and
  // decompression, whose output is unbounded.
  soup_session_set_proxy_resolver(session, nullptr);
  soup_session_remove_feature_by_type(session, SOUP_TYPE_AUTH_MANAGER);
  soup_session_remove_feature_by_type(session, SOUP_TYPE_CONTENT_DECODER);
  return session;
}

void SoupUpstreamTransport::RenewConnections(const Address& replica) {
  const auto found = m_sessions.find(replica.host_port);
  if (found == m_sessions.end()) return;
  // Attempts in flight hold references to the session, which is destroyed when
  // the last of them ends.
  g_object_unref(found->second);
  m_sessions.erase(found);
}

void SoupUpstreamTransport::OnSend(SubRequest request, Callback callback) {
  auto* exchange = new Exchange();
  exchange->transport = this;
  exchange->id = request.id;
  exchange->callback = std::move(callback);
  exchange->message = MakeUpstreamMessage(request);
  exchange->cancellable = g_cancellable_new();
  exchange->sent_at = m_options.scheduler->Now();
  m_exchanges.emplace(request.id, exchange);
  m_counters.Add(UpstreamTransportCounter::kSent);
  const bool valid = exchange->message != nullptr;
  exchange->timer =
      m_options.scheduler->Schedule(valid ? request.timeout : Duration::zero(),
                                    [this, id = request.id] { OnTimeout(id); });
  if (!valid) return;
  ConnectSignals(exchange);
  soup_session_send_and_read_async(
      GetOrCreateSession(request.replica), exchange->message,
      G_PRIORITY_DEFAULT, exchange->cancellable, &OnResponse, exchange);
}

void SoupUpstreamTransport::ConnectSignals(Exchange* exchange) {
  SoupMessage* message = exchange->message;
  g_signal_connect(message, "starting", G_CALLBACK(&OnStarting), exchange);
  g_signal_connect(message, "restarted", G_CALLBACK(&OnRestarted), exchange);
  g_signal_connect(message, "got-informational", G_CALLBACK(&OnInterimResponse),
                   exchange);
  g_signal_connect(message, "got-headers", G_CALLBACK(&OnResponseHeaders),
                   exchange);
  g_signal_connect(message, "network-event", G_CALLBACK(&OnNetworkEvent),
                   exchange);
}

void SoupUpstreamTransport::OnStarting(SoupMessage* /*message*/,
                                       gpointer data) {
  // This signal precedes the first written byte. "wrote-headers" would come too
  // late if the connection ended while the headers were being written.
  static_cast<Exchange*>(data)->may_have_sent = true;
}

void SoupUpstreamTransport::OnRestarted(SoupMessage* /*message*/,
                                        gpointer data) {
  auto* exchange = static_cast<Exchange*>(data);
  SoupUpstreamTransport* transport = exchange->transport;
  if (transport == nullptr) return;
  transport->m_counters.Add(UpstreamTransportCounter::kResendsPrevented);
  transport->Fail(exchange, SubOutcomeKind::kConnectionLost);
}

void SoupUpstreamTransport::OnInterimResponse(SoupMessage* /*message*/,
                                              gpointer data) {
  auto* exchange = static_cast<Exchange*>(data);
  SoupUpstreamTransport* transport = exchange->transport;
  if (transport == nullptr) return;
  if (++exchange->interim_responses <= kMaxInterimResponses) return;
  transport->Fail(exchange, SubOutcomeKind::kMalformed);
}

void SoupUpstreamTransport::OnResponseHeaders(SoupMessage* message,
                                              gpointer data) {
  auto* exchange = static_cast<Exchange*>(data);
  SoupUpstreamTransport* transport = exchange->transport;
  if (transport == nullptr) return;
  exchange->first_byte =
      transport->m_options.scheduler->Now() - exchange->sent_at;
  SoupMessageHeaders* headers = soup_message_get_response_headers(message);
  const goffset length = soup_message_headers_get_content_length(headers);
  const bool is_status =
      static_cast<guint>(soup_message_get_status(message)) <= kMaxStatus;
  const bool is_bounded =
      soup_message_headers_get_encoding(headers) ==
          SOUP_ENCODING_CONTENT_LENGTH &&
      length <= static_cast<goffset>(transport->m_options.max_response_bytes);
  if (is_status && is_bounded) return;
  transport->Fail(exchange, SubOutcomeKind::kMalformed);
}

void SoupUpstreamTransport::OnNetworkEvent(SoupMessage* /*message*/,
                                           GSocketClientEvent event,
                                           GIOStream* /*connection*/,
                                           gpointer data) {
  const auto* exchange = static_cast<const Exchange*>(data);
  if (exchange->transport == nullptr || event != G_SOCKET_CLIENT_CONNECTED) {
    return;
  }
  exchange->transport->m_counters.Add(
      UpstreamTransportCounter::kConnectionsOpened);
}

void SoupUpstreamTransport::OnResponse(GObject* session, GAsyncResult* result,
                                       gpointer data) {
  const std::unique_ptr<Exchange> exchange(static_cast<Exchange*>(data));
  GError* error = nullptr;
  GBytes* body =
      soup_session_send_and_read_finish(SOUP_SESSION(session), result, &error);
  g_signal_handlers_disconnect_by_data(exchange->message, exchange.get());
  SubOutcome outcome;
  if (body == nullptr) {
    const bool unreadable =
        g_error_matches(error, SOUP_SESSION_ERROR, SOUP_SESSION_ERROR_PARSING);
    outcome.kind = unreadable                ? SubOutcomeKind::kMalformed
                   : exchange->may_have_sent ? SubOutcomeKind::kConnectionLost
                                             : SubOutcomeKind::kNotConnected;
    g_error_free(error);
  } else if (static_cast<goffset>(g_bytes_get_size(body)) !=
             soup_message_headers_get_content_length(
                 soup_message_get_response_headers(exchange->message))) {
    outcome.kind = SubOutcomeKind::kConnectionLost;
  } else {
    outcome = ParseUpstreamResponse(exchange->message, body);
  }
  g_clear_pointer(&body, g_bytes_unref);
  SoupUpstreamTransport* transport = exchange->transport;
  if (transport == nullptr) return;
  outcome.first_byte = exchange->first_byte;
  transport->m_exchanges.erase(exchange->id);
  transport->m_options.scheduler->Cancel(exchange->timer);
  transport->CountOutcome(outcome.kind);
  exchange->callback(std::move(outcome));
}

void SoupUpstreamTransport::OnTimeout(SubRequestId id) {
  Exchange* exchange = m_exchanges.at(id);
  Fail(exchange, exchange->may_have_sent ? SubOutcomeKind::kTimedOut
                                         : SubOutcomeKind::kNotConnected);
}

void SoupUpstreamTransport::OnCancel(SubRequestId id) {
  const auto found = m_exchanges.find(id);
  if (found == m_exchanges.end()) return;
  m_counters.Add(UpstreamTransportCounter::kCancelled);
  Detach(found->second);
}

UpstreamTransport::Callback SoupUpstreamTransport::Detach(Exchange* exchange) {
  m_exchanges.erase(exchange->id);
  m_options.scheduler->Cancel(exchange->timer);
  exchange->transport = nullptr;
  Callback callback = std::move(exchange->callback);
  if (exchange->message == nullptr) {
    delete exchange;
    return callback;
  }
  // OnResponse deletes the exchange when libsoup has completed the
  // cancellation.
  g_cancellable_cancel(exchange->cancellable);
  return callback;
}

void SoupUpstreamTransport::Fail(Exchange* exchange, SubOutcomeKind kind) {
  const Duration first_byte = exchange->first_byte;
  const Callback callback = Detach(exchange);
  CountOutcome(kind);
  SubOutcome outcome;
  outcome.kind = kind;
  outcome.first_byte = first_byte;
  callback(std::move(outcome));
}

void SoupUpstreamTransport::CountOutcome(SubOutcomeKind kind) {
  switch (kind) {
    case SubOutcomeKind::kNotConnected:
      return m_counters.Add(UpstreamTransportCounter::kNotConnected);
    case SubOutcomeKind::kConnectionLost:
      return m_counters.Add(UpstreamTransportCounter::kConnectionLost);
    case SubOutcomeKind::kTimedOut:
      return m_counters.Add(UpstreamTransportCounter::kTimedOut);
    case SubOutcomeKind::kMalformed:
      return m_counters.Add(UpstreamTransportCounter::kMalformed);
    default:
      return m_counters.Add(UpstreamTransportCounter::kAnswered);
  }
}

}  // namespace chicoryvale
