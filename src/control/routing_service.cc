#include "control/routing_service.h"

#include <algorithm>
#include <utility>

#include "base/hash.h"
#include "config/change.h"

namespace chicoryvale {
namespace {

/// Shorter than the second or so after which operators try another control VM.
constexpr Duration kRequestTimeout = milliseconds(900);

/// Delay before a failed request is retried.
constexpr Duration kRetryDelay = milliseconds(75);

/// Minimum time between the arrival of an order and its execution. If the order
/// was held up on the way and its caller has closed the connection, the close
/// arrives within this time.
constexpr Duration kCallerCheckTime = milliseconds(50);

}  // namespace

Change RoutingService::ToChange(const Request& request) {
  Change change;
  if (request.evacuation) {
    change.operation_id = request.evacuation->operation_id;
    change.payload = chicoryvale::SetEvacuation{
        request.evacuation->availability_zone, request.evacuation->evacuated};
    return change;
  }
  const RoutingDocument& document = request.document;
  change.operation_id = "routing-" + std::to_string(document.version) + "-" +
                        std::to_string(HashBytes(document.text));
  change.payload = ReplaceRouting{document};
  return change;
}

RoutingService::RoutingService(const Dependencies& dependencies, Address self,
                               std::uint64_t run_id)
    : m_dependencies(dependencies), m_self(std::move(self)), m_run_id(run_id) {
  m_dependencies.transport->SetHandler(
      PeerChannel::kRouting,
      [this](const Address& /*from*/, const std::string& request,
             const PeerTransport::Responder& respond) {
        OnPeerRequest(request, respond);
      });
}

void RoutingService::Accept(const RoutingDocument& document,
                            AcceptCallback callback) {
  const TimePoint deadline = m_dependencies.scheduler->Now() + kRequestTimeout;
  Execute(
      {true, document}, deadline,
      [this, version = document.version,
       callback = std::move(callback)](const Reply& reply) {
        m_dependencies.log->Write(
            reply.succeeded ? LogLevel::kInfo : LogLevel::kWarning,
            reply.succeeded ? "routing_accepted" : "routing_not_accepted",
            {{"version", std::to_string(version)}, {"reason", reply.message}});
        if (reply.succeeded) return callback({});
        callback(tl::unexpected<Error>(ToError(reply)));
      });
}

void RoutingService::SetEvacuation(const std::string& availability_zone,
                                   bool evacuated, CallerCheck caller_waits,
                                   AcceptCallback callback) {
  EvacuationOrder evacuation;
  evacuation.operation_id = "evacuation-" + m_self.host_port + "-" +
                            std::to_string(m_run_id) + "-" +
                            std::to_string(++m_last_order);
  evacuation.availability_zone = availability_zone;
  evacuation.evacuated = evacuated;
  const auto order = std::make_shared<OpenOrder>();
  order->request = {true, {}, std::move(evacuation), kUnknownVersion};
  order->received_at = m_dependencies.scheduler->Now();
  order->deadline = order->received_at + kRequestTimeout;
  order->caller_waits = std::move(caller_waits);
  order->callback = std::move(callback);
  RunOrder(order);
}

void RoutingService::RunOrder(const std::shared_ptr<OpenOrder>& order) {
  Execute(order->request, order->deadline,
          [this, order](const Reply& reply) { OnOrderReply(order, reply); });
}

void RoutingService::OnOrderReply(const std::shared_ptr<OpenOrder>& order,
                                  const Reply& reply) {
  const bool names_version = !reply.succeeded && reply.current_version;
  if (!names_version) return FinishOrder(*order, reply);
  order->request.expected_version = reply.current_version;
  const Duration wait =
      order->received_at + kCallerCheckTime - m_dependencies.scheduler->Now();
  m_dependencies.scheduler->Schedule(
      std::max<Duration>(wait, Duration::zero()),
      [this, order] { RunConfirmedOrder(order); });
}

void RoutingService::RunConfirmedOrder(
    const std::shared_ptr<OpenOrder>& order) {
  if (!order->caller_waits()) {
    return FinishOrder(*order, ErrorReply({ErrorKind::kNoQuorum,
                                           "the caller has gone", Ran::kNo}));
  }
  if (m_dependencies.scheduler->Now() >= order->deadline) {
    return FinishOrder(
        *order,
        ErrorReply({ErrorKind::kNoQuorum,
                    "other changes came first until the timeout", Ran::kNo}));
  }
  RunOrder(order);
}

void RoutingService::FinishOrder(const OpenOrder& order, const Reply& reply) {
  m_dependencies.log->Write(
      reply.succeeded ? LogLevel::kInfo : LogLevel::kWarning,
      reply.succeeded ? "evacuation_accepted" : "evacuation_not_accepted",
      {{"availability_zone", order.request.evacuation->availability_zone},
       {"evacuated", order.request.evacuation->evacuated ? "true" : "false"},
       {"reason", reply.message}});
  if (reply.succeeded) return order.callback({});
  order.callback(tl::unexpected<Error>(ToError(reply)));
}

void RoutingService::Read(ReadCallback callback) {
  const TimePoint deadline = m_dependencies.scheduler->Now() + kRequestTimeout;
  Execute({false, {}}, deadline,
          [this, callback = std::move(callback)](Reply reply) {
            m_dependencies.log->Write(
                reply.succeeded ? LogLevel::kInfo : LogLevel::kWarning,
                reply.succeeded ? "routing_read" : "routing_not_read",
                {{"version", std::to_string(reply.document.version)},
                 {"reason", reply.message}});
            if (reply.succeeded) return callback(std::move(reply.document));
            callback(tl::unexpected<Error>(ToError(reply)));
          });
}

RoutingService::Reply RoutingService::ErrorReply(const Error& error) {
  Reply reply;
  reply.error = static_cast<std::uint8_t>(error.kind);
  reply.message = error.message;
  return reply;
}

Error RoutingService::ToError(const Reply& reply) {
  const bool is_known = reply.error < AllErrorProperties().size();
  const auto kind =
      is_known ? static_cast<ErrorKind>(reply.error) : ErrorKind::kInternal;
  return MakeError(kind, reply.message).value();
}

void RoutingService::Execute(const Request& request, TimePoint deadline,
                             ReplyCallback callback) {
  const Address leader = m_dependencies.group->Status().leader;
  const auto complete_or_retry = [this, request, deadline,
                                  callback = std::move(callback)](Reply reply) {
    CompleteOrRetry(request, deadline, std::move(reply), callback);
  };
  if (leader == m_self) return ExecuteLocally(request, complete_or_retry);
  if (leader.host_port.empty()) {
    return complete_or_retry(
        ErrorReply({ErrorKind::kNotLeader, "no leader is known", Ran::kNo}));
  }
  ForwardToLeader(request, deadline, complete_or_retry);
}

void RoutingService::ExecuteLocally(const Request& request,
                                    ReplyCallback callback) {
  if (!request.is_accept) {
    m_dependencies.group->ReadConfig(
        [callback = std::move(callback)](Result<ClusterConfig> config) {
          if (!config) return callback(ErrorReply(config.error()));
          Reply reply;
          reply.succeeded = true;
          reply.document = std::move(config->routing);
          callback(std::move(reply));
        });
    return;
  }
  if (!request.expected_version) {
    return ProposeChange(request, std::move(callback));
  }
  m_queued_orders.push_back({request, std::move(callback)});
  if (m_queued_orders.size() == 1) RunQueuedOrder();
}

void RoutingService::RunQueuedOrder() {
  m_dependencies.group->ReadVersion([this](Result<std::uint64_t> version) {
    if (!version) return FinishQueuedOrder(ErrorReply(version.error()));
    const Request& request = m_queued_orders.front().request;
    if (*version != *request.expected_version) {
      Reply reply = ErrorReply({ErrorKind::kVersionConflict,
                                "the configuration has changed", Ran::kNo});
      reply.current_version = *version;
      return FinishQueuedOrder(std::move(reply));
    }
    ProposeChange(request,
                  [this](Reply reply) { FinishQueuedOrder(std::move(reply)); });
  });
}

void RoutingService::FinishQueuedOrder(Reply reply) {
  const QueuedOrder order = std::move(m_queued_orders.front());
  m_queued_orders.pop_front();
  if (!m_queued_orders.empty()) RunQueuedOrder();
  order.callback(std::move(reply));
}

void RoutingService::ProposeChange(const Request& request,
                                   ReplyCallback callback) {
  m_dependencies.group->Propose(
      ToChange(request),
      [callback = std::move(callback)](const Result<ChangeResult>& result) {
        if (!result) return callback(ErrorReply(result.error()));
        const Result<std::uint64_t> version = ToResult(*result);
        if (!version) return callback(ErrorReply(version.error()));
        Reply reply;
        reply.succeeded = true;
        callback(std::move(reply));
      });
}

void RoutingService::ForwardToLeader(const Request& request, TimePoint deadline,
                                     ReplyCallback callback) {
  const Address leader = m_dependencies.group->Status().leader;
  const Duration time_left = std::max<Duration>(
      deadline - m_dependencies.scheduler->Now(), kRetryDelay);
  m_dependencies.transport->Call(
      leader, PeerChannel::kRouting, Encode(request), time_left,
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

// Accepting and reading are idempotent, so a request is retried after any error
// except those that every leader would return.
void RoutingService::CompleteOrRetry(const Request& request, TimePoint deadline,
                                     Reply reply, ReplyCallback callback) {
  const bool final =
      reply.succeeded || reply.current_version ||
      reply.error == static_cast<std::uint8_t>(ErrorKind::kInvalidChange);
  if (final) return callback(std::move(reply));
  if (m_dependencies.scheduler->Now() + kRetryDelay >= deadline) {
    return callback(
        ErrorReply({ErrorKind::kNoQuorum, reply.message, Ran::kMaybe}));
  }
  m_dependencies.scheduler->Schedule(
      kRetryDelay, [this, request, deadline, callback = std::move(callback)] {
        // The process may have been paused for longer than the retry delay.
        if (m_dependencies.scheduler->Now() < deadline) {
          return Execute(request, deadline, callback);
        }
        callback(
            ErrorReply({ErrorKind::kNoQuorum,
                        "the timeout passed before a retry", Ran::kMaybe}));
      });
}

void RoutingService::OnPeerRequest(const std::string& bytes,
                                   const PeerTransport::Responder& respond) {
  Request request;
  if (!Decode(bytes, &request)) {
    return respond(Encode(ErrorReply({ErrorKind::kMalformedRequest,
                                      "malformed routing request", Ran::kNo})));
  }
  // A request is forwarded only once, because further forwarding could loop.
  if (m_dependencies.group->Status().leader != m_self) {
    return respond(Encode(ErrorReply(
        {ErrorKind::kNotLeader, "the VM asked is not the leader", Ran::kNo})));
  }
  ExecuteLocally(request,
                 [respond](const Reply& reply) { respond(Encode(reply)); });
}

}  // namespace chicoryvale
