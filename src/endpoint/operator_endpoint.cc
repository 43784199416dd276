#include "endpoint/operator_endpoint.h"

#include <algorithm>
#include <cassert>
#include <functional>
#include <numeric>
#include <string_view>
#include <utility>

#include "chicoryvale/operator.pb.h"
#include "endpoint/error_response.h"

namespace chicoryvale {
namespace {

// Compares two strings in a time that depends only on their lengths, so that
// the time of a refusal reveals no bytes of the token.
bool EqualsInConstantTime(std::string_view left, std::string_view right) {
  if (left.size() != right.size()) return false;
  return std::transform_reduce(left.begin(), left.end(), right.begin(), 0,
                               std::bit_or<>(), std::bit_xor<>()) == 0;
}

v1::Limits ToMessage(const ReplicaLimits& limits) {
  v1::Limits message;
  message.set_slots(limits.slots);
  message.set_connections(limits.connections);
  return message;
}

void AddShard(const ShardConfig& shard, v1::Shard* message) {
  for (const ReplicaConfig& replica : shard.replicas) {
    v1::Replica* new_replica = message->add_replicas();
    new_replica->set_address(replica.address.host_port);
    new_replica->set_availability_zone(replica.availability_zone);
    new_replica->set_draining(replica.draining);
  }
}

v1::ServiceStatus ToStatus(const ClusterConfig& config,
                           const ServiceConfig& service) {
  v1::ServiceStatus status;
  status.set_version(config.version);
  status.set_map_epoch(service.map_epoch);
  status.set_index_version(service.index_version);
  *status.mutable_limits() = ToMessage(service.limits);
  for (const ShardConfig& shard : service.shards) {
    AddShard(shard, status.add_shards());
  }
  status.mutable_quarantined()->Add(service.quarantined.begin(),
                                    service.quarantined.end());
  return status;
}

v1::ClusterStatus ToStatus(const ClusterConfig& config,
                           const ControlStatus& control) {
  v1::ClusterStatus status;
  status.set_version(config.version);
  status.set_config_hash(HashConfig(config));
  status.set_term(control.term);
  status.set_leader(control.leader.host_port);
  for (const NodeConfigStatus& node : control.nodes) {
    v1::NodeStatus* new_node = status.add_nodes();
    new_node->set_address(node.address.host_port);
    new_node->set_role(node.role);
    new_node->set_availability_zone(node.availability_zone);
    new_node->set_version(node.version);
    new_node->set_reachable(node.reachable);
    new_node->set_age_ms(
        static_cast<std::uint64_t>(node.age / milliseconds(1)));
  }
  return status;
}

HttpResponse MessageResponse(BodyCodec codec,
                             const google::protobuf::Message& message) {
  HttpResponse response;
  response.content_type = ContentTypeOf(codec);
  response.body = SerializeBody(codec, message);
  return response;
}

HttpResponse AcceptedResponse(BodyCodec codec, std::uint64_t version) {
  v1::ChangeAccepted accepted;
  accepted.set_version(version);
  return MessageResponse(codec, accepted);
}

}  // namespace

OperatorEndpoint::OperatorEndpoint(ControlGroup* group, std::string token)
    : m_group(group), m_token(std::move(token)) {
  assert(!m_token.empty());
}

void OperatorEndpoint::Handle(const HttpRequest& request,
                              HttpResponder respond) {
  const auto parsed = AuthorizeAndParse(request);
  if (!parsed) return SendError(parsed.error(), respond);
  Dispatch(*parsed, std::move(respond));
}

Result<OperatorRequest> OperatorEndpoint::AuthorizeAndParse(
    const HttpRequest& request) const {
  if (!EqualsInConstantTime(FindHeader(request.headers, "Authorization"),
                            "Bearer " + m_token)) {
    return MakeError(ErrorKind::kUnauthenticated,
                     "the Authorization header has no valid operators' token");
  }
  if (!m_accepting) {
    return MakeError(ErrorKind::kShuttingDown, "this VM is shutting down");
  }
  return ParseOperatorRequest(request);
}

void OperatorEndpoint::Dispatch(const OperatorRequest& request,
                                HttpResponder respond) {
  switch (request.rpc) {
    case OperatorRpc::kClusterStatus:
      return AnswerClusterStatus(request.codec, std::move(respond));
    case OperatorRpc::kServiceStatus:
      return AnswerServiceStatus(request, std::move(respond));
    case OperatorRpc::kChangeMember:
      return ChangeMember(request, std::move(respond));
    default:
      return ProposeChange(request, std::move(respond));
  }
}

void OperatorEndpoint::ProposeChange(const OperatorRequest& request,
                                     HttpResponder respond) {
  m_group->Propose(*request.change,
                   [this, codec = request.codec, respond = std::move(respond)](
                       const Result<ChangeResult>& result) {
                     if (!result) return SendError(result.error(), respond);
                     const auto version = ToResult(*result);
                     if (!version) return SendError(version.error(), respond);
                     respond(AcceptedResponse(codec, *version));
                   });
}

void OperatorEndpoint::ChangeMember(const OperatorRequest& request,
                                    HttpResponder respond) {
  m_group->ChangeMember(
      request.member_change->remove, request.member_change->add,
      [this, codec = request.codec,
       respond = std::move(respond)](const Result<std::uint64_t>& version) {
        if (!version) return SendError(version.error(), respond);
        respond(AcceptedResponse(codec, *version));
      });
}

void OperatorEndpoint::AnswerClusterStatus(BodyCodec codec,
                                           HttpResponder respond) {
  m_group->ReadConfig([this, codec, respond = std::move(respond)](
                          const Result<ClusterConfig>& config) {
    if (!config) return SendError(config.error(), respond);
    m_group->RefreshNodes([this, codec, respond, config = *config] {
      respond(MessageResponse(codec, ToStatus(config, m_group->Status())));
    });
  });
}

void OperatorEndpoint::AnswerServiceStatus(const OperatorRequest& request,
                                           HttpResponder respond) {
  m_group->ReadConfig([this, codec = request.codec, name = request.service,
                       respond = std::move(respond)](
                          const Result<ClusterConfig>& config) {
    if (!config) return SendError(config.error(), respond);
    const ServiceConfig* service = FindService(*config, name);
    if (service == nullptr) {
      return SendError(MakeError(ErrorKind::kUnknownEndpoint,
                                 "service \"" + name + "\" has no placement")
                           .value(),
                       respond);
    }
    respond(MessageResponse(codec, ToStatus(*config, *service)));
  });
}

void OperatorEndpoint::SendError(const Error& error,
                                 const HttpResponder& respond) {
  m_errors.Add(error.kind);
  respond(ErrorResponse(error));
}

}  // namespace chicoryvale
