#include "endpoint/operator_request.h"

#include <algorithm>
#include <array>
#include <iterator>
#include <utility>

#include "chicoryvale/operator.pb.h"
#include "endpoint/caller_request.h"

namespace chicoryvale {
namespace {

enum class RpcScope : std::uint8_t { kCluster, kService };

struct RpcRow {
  OperatorRpc rpc;
  RpcScope scope;
  std::string_view name;
};

constexpr std::array<RpcRow, 9> kRpcs = {{
    {OperatorRpc::kApplySchema, RpcScope::kCluster, "ApplySchema"},
    {OperatorRpc::kChangeMember, RpcScope::kCluster, "ChangeMember"},
    {OperatorRpc::kClusterStatus, RpcScope::kCluster, "Status"},
    {OperatorRpc::kSetPlacement, RpcScope::kService, "SetPlacement"},
    {OperatorRpc::kDrainReplica, RpcScope::kService, "DrainReplica"},
    {OperatorRpc::kSetLimits, RpcScope::kService, "SetLimits"},
    {OperatorRpc::kPublishIndex, RpcScope::kService, "PublishIndex"},
    {OperatorRpc::kQuarantine, RpcScope::kService, "Quarantine"},
    {OperatorRpc::kServiceStatus, RpcScope::kService, "Status"},
}};

ReplicaLimits ToLimits(const v1::Limits& from) {
  return ReplicaLimits{from.slots(), from.connections()};
}

ShardConfig ToShard(const v1::Shard& from) {
  ShardConfig shard;
  std::ranges::transform(from.replicas(), std::back_inserter(shard.replicas),
                         [](const v1::Replica& replica) {
                           return ReplicaConfig{{replica.address()},
                                                replica.availability_zone(),
                                                replica.draining()};
                         });
  return shard;
}

ChangePayload ToPayload(const v1::ApplySchemaRequest& from) {
  return ApplySchema{from.schema_text()};
}

ChangePayload ToPayload(const v1::SetPlacementRequest& from) {
  SetPlacement placement;
  std::ranges::transform(from.shards(), std::back_inserter(placement.shards),
                         ToShard);
  if (from.has_limits()) placement.limits = ToLimits(from.limits());
  placement.index_version = from.index_version();
  return placement;
}

ChangePayload ToPayload(const v1::DrainReplicaRequest& from) {
  return DrainReplica{{from.address()}, from.draining()};
}

ChangePayload ToPayload(const v1::SetLimitsRequest& from) {
  return SetLimits{ToLimits(from.limits())};
}

ChangePayload ToPayload(const v1::PublishIndexRequest& from) {
  return PublishIndex{from.index_version()};
}

ChangePayload ToPayload(const v1::QuarantineRequest& from) {
  return Quarantine{from.fingerprint(), from.release()};
}

template <typename Message>
Result<void> ParseChange(const std::string& body, OperatorRequest* parsed) {
  Message message;
  if (auto ok = ParseBody(parsed->codec, body, &message); !ok) return ok;
  Change change;
  change.operation_id = message.header().operation_id();
  change.expected_version = message.header().expected_version();
  change.service = parsed->service;
  change.payload = ToPayload(message);
  parsed->change = std::move(change);
  return {};
}

Result<void> ParseMemberChange(const std::string& body,
                               OperatorRequest* parsed) {
  v1::ChangeMemberRequest message;
  if (auto ok = ParseBody(parsed->codec, body, &message); !ok) return ok;
  if (message.add().empty() && message.remove().empty()) {
    return MakeError(ErrorKind::kInvalidChange,
                     "ChangeMember names no member to add or remove");
  }
  parsed->member_change = GroupChange{message.header().operation_id(),
                                      message.header().expected_version(),
                                      {message.remove()},
                                      {message.add()}};
  return {};
}

Result<void> ParseStatus(const std::string& body, OperatorRequest* parsed) {
  v1::StatusRequest message;
  return ParseBody(parsed->codec, body, &message);
}

Result<void> ParseRpcBody(const std::string& body, OperatorRequest* parsed) {
  switch (parsed->rpc) {
    case OperatorRpc::kApplySchema:
      return ParseChange<v1::ApplySchemaRequest>(body, parsed);
    case OperatorRpc::kSetPlacement:
      return ParseChange<v1::SetPlacementRequest>(body, parsed);
    case OperatorRpc::kDrainReplica:
      return ParseChange<v1::DrainReplicaRequest>(body, parsed);
    case OperatorRpc::kSetLimits:
      return ParseChange<v1::SetLimitsRequest>(body, parsed);
    case OperatorRpc::kPublishIndex:
      return ParseChange<v1::PublishIndexRequest>(body, parsed);
    case OperatorRpc::kQuarantine:
      return ParseChange<v1::QuarantineRequest>(body, parsed);
    case OperatorRpc::kChangeMember:
      return ParseMemberChange(body, parsed);
    case OperatorRpc::kClusterStatus:
    case OperatorRpc::kServiceStatus:
      return ParseStatus(body, parsed);
  }
  return MakeError(ErrorKind::kInternal, "the operator RPC has no parser");
}

// Returns the row of kRpcs for the RPC at `path`. Sets `service` to the full
// name of the service that the RPC belongs to, unless it is an RPC of the
// cluster.
Result<const RpcRow*> FindRpc(const RpcPath& path, std::string* service) {
  const bool is_cluster = path.service == kClusterService;
  if (!is_cluster) {
    if (!path.service.ends_with(kOperatorSuffix)) {
      return MakeError(ErrorKind::kUnknownEndpoint,
                       "\"" + path.service + "\" is neither " +
                           std::string(kClusterService) +
                           " nor <service>.Operator");
    }
    *service =
        path.service.substr(0, path.service.size() - kOperatorSuffix.size());
  }
  const RpcScope scope = is_cluster ? RpcScope::kCluster : RpcScope::kService;
  const auto found = std::ranges::find_if(kRpcs, [&](const RpcRow& row) {
    return row.scope == scope && row.name == path.method;
  });
  if (found == kRpcs.end()) {
    return MakeError(ErrorKind::kUnknownEndpoint,
                     "\"" + path.service + "\" has no RPC " + path.method);
  }
  return &*found;
}

}  // namespace

Result<OperatorRequest> ParseOperatorRequest(const HttpRequest& request) {
  const auto path = ParseRpcPath(request.path);
  if (!path) return tl::unexpected(path.error());
  OperatorRequest parsed;
  const auto row = FindRpc(*path, &parsed.service);
  if (!row) return tl::unexpected(row.error());
  parsed.rpc = (*row)->rpc;
  if (auto ok = CheckHttpPost(request); !ok) return tl::unexpected(ok.error());
  const auto codec = CodecOf(request);
  if (!codec) return tl::unexpected(codec.error());
  parsed.codec = *codec;
  if (auto ok = ParseRpcBody(request.body, &parsed); !ok) {
    return tl::unexpected(ok.error());
  }
  return parsed;
}

}  // namespace chicoryvale
