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
  kSetEvacuation,
};

/// Replaces the schema of the cluster.
struct ApplySchema {
  std::string schema_text;
  bool operator==(const ApplySchema&) const = default;
};

/// Replaces the shard map of a service. Creates the service if it does not
/// exist.
struct SetPlacement {
  std::vector<ShardConfig> shards;
  /// If absent, the limits stay as they are; a new service gets the defaults.
  std::optional<ReplicaLimits> limits;
  /// If 0, the published index version stays as it is.
  std::uint64_t index_version = 0;
  bool operator==(const SetPlacement&) const = default;
};

/// Drains the replica at an address in every shard, or ends its draining.
struct DrainReplica {
  Address address;
  bool draining = true;
  bool operator==(const DrainReplica&) const = default;
};

/// Replaces the limits that apply to each replica of a service.
struct SetLimits {
  ReplicaLimits limits;
  bool operator==(const SetLimits&) const = default;
};

/// Publishes an index version of a service. As long as the shard map stays the
/// same, the version must not be lower than the published one.
struct PublishIndex {
  std::uint64_t index_version = 0;
  bool operator==(const PublishIndex&) const = default;
};

/// Quarantines the requests that have a fingerprint, or releases them.
struct Quarantine {
  std::uint64_t fingerprint = 0;
  bool release = false;
  bool operator==(const Quarantine&) const = default;
};

/// Replaces the routing document if the version of the new one is higher than
/// the version in force; otherwise the change is accepted without effect. The
/// expected version of the change is ignored.
struct ReplaceRouting {
  RoutingDocument document;
  bool operator==(const ReplaceRouting&) const = default;
};

/// Evacuates an availability zone, so that its replicas get no more requests,
/// or ends its evacuation. Accepted without effect if it is so already. The
/// expected version of the change is ignored.
struct SetEvacuation {
  std::string availability_zone;
  bool evacuated = true;
  bool operator==(const SetEvacuation&) const = default;
};

using ChangePayload =
    std::variant<ApplySchema, SetPlacement, DrainReplica, SetLimits,
                 PublishIndex, Quarantine, ReplaceRouting, SetEvacuation>;

/// One change as an operator sent it.
struct Change {
  /// Unique for each change that an operator intends; a resend of the change
  /// carries the same id. 1 to kMaxOperationIdBytes bytes.
  std::string operation_id;
  /// The configuration version on which the operator based the change; 0 if
  /// there was none.
  std::uint64_t expected_version = 0;
  /// Full name of the service; empty for kApplySchema, kReplaceRouting and
  /// kSetEvacuation.
  std::string service;
  ChangePayload payload;
  bool operator==(const Change&) const = default;
};

/// Maximum length of an operation id.
inline constexpr std::size_t kMaxOperationIdBytes = 128;

/// Returns the kind of `change`. Thread safe.
ChangeKind KindOf(const Change& change);

/// Returns the name of `kind`, for example "set_placement". Thread safe.
std::string_view ChangeKindName(ChangeKind kind);

/// The outcome of a change.
enum class ChangeOutcome : std::uint8_t {
  kAccepted,
  kVersionConflict,
  kOperationIdReused,
  kInvalidChange,
};

/// The result of a change.
struct ChangeResult {
  ChangeOutcome outcome = ChangeOutcome::kInvalidChange;
  /// kAccepted: the version that contains the change, or the current version if
  /// the change was accepted without effect. Any other outcome: the version
  /// that was current when the change was applied.
  std::uint64_t version = 0;
  /// The reason why the change was refused, in human-readable form; empty if it
  /// was accepted.
  std::string message;
  bool operator==(const ChangeResult&) const = default;
};

/// Returns the version of an accepted change, or the error of a refused one.
/// Thread safe.
Result<std::uint64_t> ToResult(const ChangeResult& result);

/// Serializes `change`. Equal changes give equal bytes.
std::string EncodeChange(const Change& change);

/// Parses the bytes of EncodeChange into `change`. Returns false if the bytes
/// are damaged.
bool DecodeChange(std::string_view bytes, Change* change);

}  // namespace chicoryvale

#endif  // CHICORYVALE_SRC_CONFIG_CHANGE_H_
