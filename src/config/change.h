#ifndef CHICORYVALE_SRC_CONFIG_CHANGE_H_
#define CHICORYVALE_SRC_CONFIG_CHANGE_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "base/ids.h"
#include "chicoryvale/error.h"
#include "config/cluster_config.h"

namespace chicoryvale {

/// The closed set of configuration changes, in the order of ChangePayload.
enum class ChangeKind : std::uint8_t {
  kApplySchema,
  kSetPlacement,
  kDrainReplica,
  kSetLimits,
  kPublishIndex,
  kQuarantine,
  kReplaceRouting,
};

/// Replaces the schema of the cluster.
struct ApplySchema {
  std::string schema_text;
  bool operator==(const ApplySchema&) const = default;
};

/// Replaces the shard map of a service, and creates the service if need be.
struct SetPlacement {
  std::vector<ShardConfig> shards;
  /// Absent keeps the limits, or takes the defaults for a new service.
  std::optional<ReplicaLimits> limits;
  /// Zero keeps the published index version.
  std::uint64_t index_version = 0;
  bool operator==(const SetPlacement&) const = default;
};

/// Drains the replica at an address in every shard, or takes it back.
struct DrainReplica {
  Address address;
  bool draining = true;
  bool operator==(const DrainReplica&) const = default;
};

/// Replaces the limits of each replica of a service.
struct SetLimits {
  ReplicaLimits limits;
  bool operator==(const SetLimits&) const = default;
};

/// Publishes an index version of a service; versions never fall within one
/// shard map.
struct PublishIndex {
  std::uint64_t index_version = 0;
  bool operator==(const PublishIndex&) const = default;
};

/// Quarantines the requests with a fingerprint, or releases them.
struct Quarantine {
  std::uint64_t fingerprint = 0;
  bool release = false;
  bool operator==(const Quarantine&) const = default;
};

/// Replaces the whole configuration of routed requests, if its version is
/// higher than the one in force; else it is accepted without effect. The
/// expected version of the change does not count.
struct ReplaceRouting {
  RoutingDocument document;
  bool operator==(const ReplaceRouting&) const = default;
};

using ChangePayload =
    std::variant<ApplySchema, SetPlacement, DrainReplica, SetLimits,
                 PublishIndex, Quarantine, ReplaceRouting>;

/// One change as an operator sent it.
struct Change {
  /// Unique for each change that an operator means; a resend carries the same
  /// one. 1 to kMaxOperationIdBytes bytes.
  std::string operation_id;
  /// The configuration version that the operator saw; 0 if there was none.
  std::uint64_t expected_version = 0;
  /// Full name of the service; empty for kApplySchema and kReplaceRouting.
  std::string service;
  ChangePayload payload;
  bool operator==(const Change&) const = default;
};

/// Longest accepted operation id.
inline constexpr std::size_t kMaxOperationIdBytes = 128;

/// Returns the kind of `change`. Thread safe.
ChangeKind KindOf(const Change& change);

/// Returns the name of `kind`, for example "set_placement". Thread safe.
std::string_view ChangeKindName(ChangeKind kind);

/// How a change ended.
enum class ChangeOutcome : std::uint8_t {
  kAccepted,
  kVersionConflict,
  kOperationIdReused,
  kInvalidChange,
};

/// The answer to a change.
struct ChangeResult {
  ChangeOutcome outcome = ChangeOutcome::kInvalidChange;
  /// kAccepted: the version that contains the change. kVersionConflict: the
  /// version that was current. Else the version when the change arrived.
  std::uint64_t version = 0;
  /// The reason for a refusal, for a person; empty if accepted.
  std::string message;
  bool operator==(const ChangeResult&) const = default;
};

/// Returns the version of an accepted change, or the error of a refused one.
/// Thread safe.
Result<std::uint64_t> ToResult(const ChangeResult& result);

/// Returns the bytes of `change`, equal for equal changes.
std::string EncodeChange(const Change& change);

/// Decodes the bytes of EncodeChange; false if they are damaged.
bool DecodeChange(std::string_view bytes, Change* change);

}  // namespace chicoryvale

#endif  // CHICORYVALE_SRC_CONFIG_CHANGE_H_
