#include "control/routing_service.h"

#include <algorithm>
#include <utility>

#include "base/hash.h"
#include "config/change.h"

namespace chicoryvale {
namespace {

/// Operators turn to another VM after about a second without an answer.
constexpr Duration kGiveUpTime = milliseconds(900);

/// Pause before the leader is asked again.
constexpr Duration kLeaderPause = milliseconds(75);

Change ToChange(const RoutingDocument& document) {
  Change change;
  change.operation_id = "routing-" + std::to_string(document.version) + "-" +
                        std::to_string(HashBytes(document.text));
  change.payload = ReplaceRouting{document};
  return change;
}

}  // namespace

RoutingService::RoutingService(const Ports& ports, Address self)
    : m_ports(ports), m_self(std::move(self)) {
  m_ports.peers->SetHandler(
      PeerChannel::kRouting,
      [this](const Address& /*from*/, const std::string& request,
             const PeerTransport::Responder& respond) {
        OnPeerRequest(request, respond);
      });
}

void RoutingService::Accept(const RoutingDocument& document,
                            AcceptCallback callback) {
  const TimePoint give_up = m_ports.scheduler->Now() + kGiveUpTime;
  Ask({true, document}, give_up,
      [this, version = document.version,
       callback = std::move(callback)](const Reply& reply) {
        m_ports.log->Write(
            reply.done ? LogLevel::kInfo : LogLevel::kWarning,
            reply.done ? "routing_accepted" : "routing_not_accepted",
            {{"version", std::to_string(version)}, {"reason", reply.message}});
        if (reply.done) return callback({});
        callback(tl::unexpected<Error>(ErrorOf(reply)));
      });
}

void RoutingService::Read(ReadCallback callback) {
  const TimePoint give_up = m_ports.scheduler->Now() + kGiveUpTime;
  Ask({false, {}}, give_up,
      [this, callback = std::move(callback)](Reply reply) {
        m_ports.log->Write(reply.done ? LogLevel::kInfo : LogLevel::kWarning,
                           reply.done ? "routing_read" : "routing_not_read",
                           {{"version", std::to_string(reply.document.version)},
                            {"reason", reply.message}});
        if (reply.done) return callback(std::move(reply.document));
        callback(tl::unexpected<Error>(ErrorOf(reply)));
      });
}

RoutingService::Reply RoutingService::ErrorReply(const Error& error) {
  Reply reply;
  reply.error = static_cast<std::uint8_t>(error.kind);
  reply.message = error.message;
  return reply;
}

Error RoutingService::ErrorOf(const Reply& reply) {
  const bool known = reply.error < ErrorAnswers().size();
  const auto kind =
      known ? static_cast<ErrorKind>(reply.error) : ErrorKind::kInternal;
  return MakeError(kind, reply.message).value();
}

void RoutingService::Ask(const Request& request, TimePoint give_up,
                         ReplyCallback callback) {
  const Address leader = m_ports.group->Status().leader;
  const auto settle = [this, request, give_up,
                       callback = std::move(callback)](Reply reply) {
    Settle(request, give_up, std::move(reply), callback);
  };
  if (leader == m_self) return AskHere(request, settle);
  if (leader.host_port.empty()) {
    return settle(
        ErrorReply({ErrorKind::kNotLeader, "no leader is known", Ran::kNo}));
  }
  AskLeader(request, give_up, settle);
}

void RoutingService::AskHere(const Request& request, ReplyCallback callback) {
  if (!request.accept) {
    m_ports.group->ReadConfig(
        [callback = std::move(callback)](Result<ClusterConfig> config) {
          if (!config) return callback(ErrorReply(config.error()));
          Reply reply;
          reply.done = true;
          reply.document = std::move(config->routing);
          callback(std::move(reply));
        });
    return;
  }
  m_ports.group->Propose(
      ToChange(request.document),
      [callback = std::move(callback)](const Result<ChangeResult>& result) {
        if (!result) return callback(ErrorReply(result.error()));
        const Result<std::uint64_t> version = ToResult(*result);
        if (!version) return callback(ErrorReply(version.error()));
        Reply reply;
        reply.done = true;
        callback(std::move(reply));
      });
}

void RoutingService::AskLeader(const Request& request, TimePoint give_up,
                               ReplyCallback callback) {
  const Address leader = m_ports.group->Status().leader;
  const Duration left =
      std::max<Duration>(give_up - m_ports.scheduler->Now(), kLeaderPause);
  m_ports.peers->Call(
      leader, PeerChannel::kRouting, Encode(request), left,
      [callback = std::move(callback)](const Result<std::string>& answer) {
        if (!answer) return callback(ErrorReply(answer.error()));
        Reply reply;
        if (!Decode(*answer, &reply)) {
          reply = ErrorReply({ErrorKind::kInternal,
                              "the leader's answer is malformed", Ran::kMaybe});
        }
        callback(std::move(reply));
      });
}

// Accepting and reading are idempotent, so any failure that another leader may
// not have is tried again.
void RoutingService::Settle(const Request& request, TimePoint give_up,
                            Reply reply, ReplyCallback callback) {
  const bool final =
      reply.done ||
      reply.error == static_cast<std::uint8_t>(ErrorKind::kInvalidChange);
  if (final) return callback(std::move(reply));
  if (m_ports.scheduler->Now() + kLeaderPause >= give_up) {
    return callback(
        ErrorReply({ErrorKind::kNoQuorum, reply.message, Ran::kMaybe}));
  }
  m_ports.scheduler->Schedule(
      kLeaderPause, [this, request, give_up, callback = std::move(callback)] {
        Ask(request, give_up, callback);
      });
}

void RoutingService::OnPeerRequest(const std::string& bytes,
                                   const PeerTransport::Responder& respond) {
  Request request;
  if (!Decode(bytes, &request)) {
    return respond(Encode(ErrorReply(
        {ErrorKind::kMalformedRequest, "malformed question", Ran::kNo})));
  }
  // Only a leader answers: a chain of questions might go round in a circle.
  if (m_ports.group->Status().leader != m_self) {
    return respond(Encode(ErrorReply(
        {ErrorKind::kNotLeader, "the VM asked does not lead", Ran::kNo})));
  }
  AskHere(request, [respond](const Reply& reply) { respond(Encode(reply)); });
}

}  // namespace chicoryvale
