#include "routing/relay_service.h"

#include <algorithm>
#include <iterator>

namespace chicoryvale {
namespace {

/// Name of the route in log lines: the request's own is known where it came
/// in.
constexpr char kRouteName[] = "relayed";

std::shared_ptr<const OpaqueRequest> ToRequest(RelayRequestMessage* message) {
  auto request = std::make_shared<OpaqueRequest>();
  request->id = std::move(message->id);
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
  return request;
}

RelayReplyMessage ToReply(RoutedAnswer answer) {
  RelayReplyMessage reply;
  reply.taken = true;
  for (std::size_t i = 0; i < answer.signatures.size(); ++i) {
    reply.parts.push_back(
        {answer.part_indices[i], std::move(answer.signatures[i])});
  }
  for (const RelayMissing& missing : answer.missing_parts) {
    reply.missing.push_back({missing.index, missing.attempts});
  }
  reply.body = std::move(answer.body);
  return reply;
}

}  // namespace

RelayService::RelayService(const RoutingContext& parts, PeerTransport* peers)
    : m_parts(parts), m_peers(peers) {
  // A relay asks no further one.
  m_parts.relay = nullptr;
  // Latencies are those of callers.
  m_parts.latencies = nullptr;
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
  const bool readable = Decode(bytes, &message);
  const Key key{from, message.question};
  if (readable && message.cancel) {
    auto query = m_queries.extract(key);
    if (!query.empty()) query.mapped()->CancelOnDisconnect();
    return respond(Encode(RelayReplyMessage{}));
  }
  const bool usable = readable && !message.services.empty() && !m_stopping &&
                      !m_queries.contains(key);
  if (!usable) return respond(Encode(RelayReplyMessage{}));
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
  RoutedQuery::Question question;
  question.services = std::move(message.services);
  question.request = ToRequest(&message);
  question.route = &config->routes.front();
  question.config = std::move(config);
  question.time_limit = time_left;
  question.answer_within = answer_within;
  auto query = std::make_unique<RoutedQuery>(
      m_parts, std::move(question), [this, key, respond](RoutedAnswer answer) {
        respond(Encode(ToReply(std::move(answer))));
        End(key);
      });
  RoutedQuery* started = query.get();
  m_queries.emplace(key, std::move(query));
  started->Start();
}

void RelayService::End(const Key& key) {
  auto node = m_queries.extract(key);
  if (node.empty()) return;
  // The query is destroyed after its own call has returned.
  m_parts.scheduler->Schedule(
      Duration::zero(),
      [ended = std::shared_ptr<RoutedQuery>(std::move(node.mapped()))] {});
}

}  // namespace chicoryvale
