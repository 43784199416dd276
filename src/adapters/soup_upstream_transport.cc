#include "adapters/soup_upstream_transport.h"

#include <charconv>
#include <string>
#include <utility>

#include "ports/upstream_protocol.h"

namespace chicoryvale {

struct SoupUpstreamTransport::Exchange {
  SoupUpstreamTransport* transport = nullptr;
  SubRequestId id = 0;
  Callback callback;
  SoupMessage* message = nullptr;
  GCancellable* cancellable = nullptr;
  TimerId timer = 0;
  bool sent_bytes = false;

  ~Exchange() {
    g_object_unref(message);
    g_object_unref(cancellable);
  }
};

namespace {

std::uint64_t NumberHeader(SoupMessageHeaders* headers, const char* name) {
  const char* text = soup_message_headers_get_one(headers, name);
  return text == nullptr ? 0 : g_ascii_strtoull(text, nullptr, 10);
}

std::optional<std::uint64_t> OptionalHeader(SoupMessageHeaders* headers,
                                            const char* name) {
  if (soup_message_headers_get_one(headers, name) == nullptr) return {};
  return NumberHeader(headers, name);
}

SubOutcomeKind KindOfStatus(guint status, SoupMessageHeaders* headers) {
  if (status == SOUP_STATUS_OK) return SubOutcomeKind::kAnswered;
  if (status == kStatusSnapshotUnavailable) {
    return SubOutcomeKind::kSnapshotUnavailable;
  }
  return NumberHeader(headers, kHeaderNotStarted) == 1
             ? SubOutcomeKind::kNotStarted
             : SubOutcomeKind::kFailed;
}

SubOutcome ToOutcome(SoupMessage* message, GBytes* body) {
  SoupMessageHeaders* headers = soup_message_get_response_headers(message);
  SubOutcome outcome;
  outcome.kind = KindOfStatus(soup_message_get_status(message), headers);
  outcome.echoed_id = NumberHeader(headers, kHeaderSubRequestId);
  outcome.echoed_shard =
      static_cast<ShardId>(NumberHeader(headers, kHeaderShard));
  outcome.echoed_snapshot = {NumberHeader(headers, kHeaderMapEpoch),
                             NumberHeader(headers, kHeaderIndexVersion)};
  outcome.report.draining = NumberHeader(headers, kHeaderDraining) == 1;
  const auto load = OptionalHeader(headers, kHeaderLoad);
  if (load) outcome.report.load = static_cast<std::uint32_t>(*load);
  outcome.report.oldest_version = OptionalHeader(headers, kHeaderOldestVersion);
  outcome.report.newest_version = OptionalHeader(headers, kHeaderNewestVersion);
  gsize size = 0;
  const auto* data = static_cast<const char*>(g_bytes_get_data(body, &size));
  if (size > 0) outcome.body.assign(data, size);
  return outcome;
}

void AppendNumber(SoupMessageHeaders* headers, const char* name,
                  std::uint64_t value) {
  soup_message_headers_append(headers, name, std::to_string(value).c_str());
}

SoupMessage* ToMessage(const SubRequest& request) {
  const std::string url = "http://" + request.replica.host_port + "/" +
                          request.service + "/" + request.method;
  SoupMessage* message = soup_message_new("POST", url.c_str());
  if (message == nullptr) return nullptr;
  SoupMessageHeaders* headers = soup_message_get_request_headers(message);
  AppendNumber(headers, kHeaderSubRequestId, request.id);
  AppendNumber(headers, kHeaderShard, request.shard);
  AppendNumber(headers, kHeaderMapEpoch, request.snapshot.map_epoch);
  AppendNumber(headers, kHeaderIndexVersion, request.snapshot.index_version);
  AppendNumber(headers, kHeaderTimeoutMs,
               static_cast<std::uint64_t>(
                   std::chrono::ceil<milliseconds>(request.timeout).count()));
  if (!request.request_id.empty()) {
    soup_message_headers_append(headers, kHeaderRequestId,
                                request.request_id.c_str());
  }
  GBytes* bytes = g_bytes_new(request.body.data(), request.body.size());
  soup_message_set_request_body_from_bytes(message, kProtobufContentType,
                                           bytes);
  g_bytes_unref(bytes);
  if (request.idempotent) {
    soup_message_add_flags(message, SOUP_MESSAGE_IDEMPOTENT);
  }
  if (request.fresh_connection) {
    soup_message_add_flags(message, SOUP_MESSAGE_NEW_CONNECTION);
  }
  return message;
}

}  // namespace

SoupUpstreamTransport::SoupUpstreamTransport(
    const SoupUpstreamTransportOptions& options)
    : m_options(options) {}

SoupUpstreamTransport::~SoupUpstreamTransport() {
  for (const auto& [id, exchange] : m_exchanges) {
    exchange->transport = nullptr;
    m_options.scheduler->Cancel(exchange->timer);
    g_cancellable_cancel(exchange->cancellable);
  }
  for (const auto& [address, session] : m_sessions) g_object_unref(session);
}

SoupSession* SoupUpstreamTransport::SessionFor(const Address& replica) {
  SoupSession*& session = m_sessions[replica.host_port];
  if (session == nullptr) {
    const auto limit = static_cast<int>(m_options.max_connections_per_replica);
    session = soup_session_new_with_options(
        "max-conns", limit, "max-conns-per-host", limit, nullptr);
  }
  return session;
}

void SoupUpstreamTransport::OnSend(SubRequest request, Callback callback) {
  auto exchange = std::make_unique<Exchange>();
  exchange->transport = this;
  exchange->id = request.id;
  exchange->callback = std::move(callback);
  exchange->message = ToMessage(request);
  exchange->cancellable = g_cancellable_new();
  g_signal_connect(exchange->message, "wrote-headers",
                   G_CALLBACK(+[](SoupMessage*, gpointer data) {
                     static_cast<Exchange*>(data)->sent_bytes = true;
                   }),
                   exchange.get());
  exchange->timer = m_options.scheduler->Schedule(
      request.timeout, [this, id = request.id] { OnTimeout(id); });
  Exchange* started = exchange.release();
  m_exchanges.emplace(request.id, started);
  soup_session_send_and_read_async(
      SessionFor(request.replica), started->message, G_PRIORITY_DEFAULT,
      started->cancellable, &SoupUpstreamTransport::OnAnswer, started);
}

void SoupUpstreamTransport::OnAnswer(GObject* session, GAsyncResult* result,
                                     gpointer data) {
  const std::unique_ptr<Exchange> exchange(static_cast<Exchange*>(data));
  GError* error = nullptr;
  GBytes* body =
      soup_session_send_and_read_finish(SOUP_SESSION(session), result, &error);
  SubOutcome outcome;
  if (body != nullptr) {
    outcome = ToOutcome(exchange->message, body);
    g_bytes_unref(body);
  } else {
    outcome.kind = exchange->sent_bytes ? SubOutcomeKind::kConnectionLost
                                        : SubOutcomeKind::kNotConnected;
    g_error_free(error);
  }
  if (exchange->transport == nullptr) return;
  exchange->transport->m_exchanges.erase(exchange->id);
  exchange->transport->m_options.scheduler->Cancel(exchange->timer);
  exchange->callback(std::move(outcome));
}

void SoupUpstreamTransport::OnTimeout(SubRequestId id) {
  SubOutcome outcome;
  outcome.kind = SubOutcomeKind::kTimedOut;
  End(id, std::move(outcome));
}

void SoupUpstreamTransport::OnCancel(SubRequestId id) { End(id, {}); }

void SoupUpstreamTransport::End(SubRequestId id, SubOutcome outcome) {
  const auto found = m_exchanges.find(id);
  if (found == m_exchanges.end()) return;
  Exchange* exchange = found->second;
  m_exchanges.erase(found);
  m_options.scheduler->Cancel(exchange->timer);
  // The exchange is deleted when libsoup reports the end of the cancellation.
  exchange->transport = nullptr;
  const Callback callback = std::move(exchange->callback);
  g_cancellable_cancel(exchange->cancellable);
  if (outcome.kind == SubOutcomeKind::kTimedOut) callback(std::move(outcome));
}

}  // namespace chicoryvale
