#ifndef CHICORYVALE_SRC_ENDPOINT_OPERATOR_REQUEST_H_
#define CHICORYVALE_SRC_ENDPOINT_OPERATOR_REQUEST_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "chicoryvale/error.h"
#include "config/change.h"
#include "endpoint/message_codec.h"
#include "ports/http.h"

namespace chicoryvale {

/// RPCs for operators. The path of an RPC on a service is
/// /<service>.Operator/<Name>, that of an RPC on the cluster is
/// /chicoryvale.Cluster/<Name>.
enum class OperatorRpc : std::uint8_t {
  kApplySchema,
  kChangeMember,
  kClusterStatus,
  kSetPlacement,
  kDrainReplica,
  kSetLimits,
  kPublishIndex,
  kQuarantine,
  kServiceStatus,
};

/// Change of one member of the control group: adds `add`, removes `remove`, or
/// replaces `remove` with `add`. One of the addresses may be empty.
struct GroupChange {
  std::string operation_id;
  std::uint64_t expected_version = 0;
  Address remove;
  Address add;
};

/// An operator's request after parsing.
struct OperatorRequest {
  OperatorRpc rpc = OperatorRpc::kClusterStatus;
  BodyCodec codec = BodyCodec::kJson;
  /// Full name of the service; empty for an RPC on the cluster.
  std::string service;
  /// Present for RPCs that change the configuration.
  std::optional<Change> change;
  /// Present for kChangeMember.
  std::optional<GroupChange> member_change;
};

/// Service name in the paths of the RPCs on the cluster.
inline constexpr std::string_view kClusterService = "chicoryvale.Cluster";

/// Suffix of a service's name in the paths of the RPCs on that service.
inline constexpr std::string_view kOperatorSuffix = ".Operator";

/// Parses and validates `request`. The caller must check that the schema in
/// force contains the service. Thread safe.
Result<OperatorRequest> ParseOperatorRequest(const HttpRequest& request);

}  // namespace chicoryvale

#endif  // CHICORYVALE_SRC_ENDPOINT_OPERATOR_REQUEST_H_
