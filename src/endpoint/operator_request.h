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

/// RPCs of operators. Those of a service stand at /<service>.Operator/<Name>,
/// those of the cluster at /chicoryvale.Cluster/<Name>.
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

/// Replaces, adds or removes a member of the control group.
struct GroupChange {
  std::string operation_id;
  std::uint64_t expected_version = 0;
  Address remove;
  Address add;
};

/// An operator's request, parsed.
struct OperatorRequest {
  OperatorRpc rpc = OperatorRpc::kClusterStatus;
  BodyCodec codec = BodyCodec::kJson;
  /// Full name of the service; empty for the RPCs of the cluster.
  std::string service;
  /// Set for the RPCs that change the configuration.
  std::optional<Change> change;
  /// Set for kChangeMember.
  std::optional<GroupChange> member_change;
};

/// Path prefix of the RPCs of the cluster.
inline constexpr std::string_view kClusterService = "chicoryvale.Cluster";

/// Suffix that makes a service's name the name of its operators' RPCs.
inline constexpr std::string_view kOperatorSuffix = ".Operator";

/// Checks and parses `request`. RPCs of a service exist for each service in
/// `config`'s schema, which the caller checks. Thread safe.
Result<OperatorRequest> ParseOperatorRequest(const HttpRequest& request);

}  // namespace chicoryvale

#endif  // CHICORYVALE_SRC_ENDPOINT_OPERATOR_REQUEST_H_
