#include "routing/relay_service.h"

#include <algorithm>
#include <iterator>

namespace chicoryvale {
namespace {

/// Name of the route in log lines. The actual name is logged by the entry that
/// received the request from its caller.
constexpr char kRouteName[] = "relayed";

std::shared_ptr<const OpaqueRequest> ToRequest(RelayRequestMessage* message) {
  auto request = std::make_shared<OpaqueRequest>();
  request->id = std::move(message->request_id);
  request->method = std::move(message->method);
  request->target = std::move(message->target);
  for (RelayHeader& header : message->headers) {
    request->headers.push_back(
        {std::move(header.name), std::move(header.value)});
  }
  if (!message->body.empty()) {
    request->body =
        std::make_shared<const std::string>(std::move(message->body));
  }
  if (!message->workspace.empty()) {
    request->workspace = std::move(message->workspace);
  }
  return request;
}

RelayReplyMessage ToReply(RoutedAnswer answer) {
  RelayReplyMessage reply;
  reply.accepted = true;
  for (std::size_t i = 0; i < answer.signatures.size(); ++i) {
    reply.answered.push_back(
        {answer.answered_indices[i], std::move(answer.signatures[i])});
  }
  for (const MissingSubRequest& missing : answer.missing) {
    reply.missing.push_back({missing.index, missing.attempts_possibly_run});
  }
  reply.body = std::move(answer.body);
  reply.draining_replicas = std::move(answer.draining_replicas);
  if (answer.lost_replica) reply.lost_replica = answer.lost_replica->host_port;
  return reply;
}

}  // namespace

RelayService::RelayService(const RoutingContext& context, PeerTransport* peers)
    : m_context(context), m_peers(peers) {
  // A relay does not use further relays.
  m_context.relay = nullptr;
  // Only requests from callers are counted in the latencies.
  m_context.latencies = nullptr;
  m_peers->SetHandler(PeerChannel::kRelay,
                      [this](const Address& from, const std::string& bytes,
                             const PeerTransport::Responder& respond) {
                        Handle(from, bytes, respond);
                      });
}

RelayService::~RelayService() {
  m_peers->SetHandler(
      PeerChannel::kRelay,
      [](const Address& /*from*/, const std::string& /*bytes*/,
         const PeerTransport::Responder& respond) { respond({}); });
}

void RelayService::Handle(const Address& from, const std::string& bytes,
                          const PeerTransport::Responder& respond) {
  RelayRequestMessage message;
  const bool is_readable = Decode(bytes, &message);
  const Key key{from, message.relay_id};
  if (is_readable && message.cancel) {
    Cancel(key);
    return respond(Encode(RelayReplyMessage{}));
  }
  const bool is_acceptable = is_readable && !message.services.empty() &&
                             !m_stopping && !m_calls.contains(key);
  if (!is_acceptable) return respond(Encode(RelayReplyMessage{}));
  Start(key, std::move(message), respond);
}

void RelayService::Start(const Key& key, RelayRequestMessage message,
                         const PeerTransport::Responder& respond) {
  const Duration time_left = milliseconds(message.time_left_ms);
  const Duration answer_within =
      std::min<Duration>(milliseconds(message.answer_within_ms), time_left);
  Route route;
  route.name = kRouteName;
  route.idempotent = true;
  route.timeout = time_left;
  route.target_latency = milliseconds(message.target_latency_ms);
  route.max_attempts = message.max_attempts;
  route.scatter.shards = message.services;
  route.scatter.rank_limit = message.rank_limit;
  auto config = std::make_shared<RoutingConfig>();
  config->routes.push_back(std::move(route));
  RoutedQuery::Input input;
  input.services = std::move(message.services);
  input.request = ToRequest(&message);
  input.route = &config->routes.front();
  input.config = std::move(config);
  input.time_limit = time_left;
  input.answer_within = answer_within;
  auto query = std::make_unique<RoutedQuery>(
      m_context, std::move(input), [this, key, respond](RoutedAnswer answer) {
        respond(Encode(ToReply(std::move(answer))));
        End(key);
      });
  RoutedQuery* started = query.get();
  m_calls.emplace(key, OpenCall{std::move(query), respond});
  started->Start();
}

// A cancelled call is answered too: its connection counts it as open until
// then.
void RelayService::Cancel(const Key& key) {
  auto node = m_calls.extract(key);
  if (node.empty()) return;
  node.mapped().query->CancelOnDisconnect();
  node.mapped().respond(Encode(RelayReplyMessage{}));
}

void RelayService::End(const Key& key) {
  auto node = m_calls.extract(key);
  if (node.empty()) return;
  // The query is destroyed after its current call has returned.
  m_context.scheduler->Schedule(Duration::zero(),
                                [ended = std::shared_ptr<RoutedQuery>(
                                     std::move(node.mapped().query))] {});
}

}  // namespace chicoryvale
