#ifndef CHICORYVALE_SRC_BASE_IDS_H_
#define CHICORYVALE_SRC_BASE_IDS_H_

#include <compare>
#include <cstdint>
#include <string>

namespace chicoryvale {

/// Index of a shard within its service's shard map, from 0.
using ShardId = std::uint32_t;

/// Identifies a sub-request within one run of one process; never reused.
using SubRequestId = std::uint64_t;

/// Identifies one consistent state of a service's index. Ordered by shard-map
/// epoch first: an index version only has a meaning within its epoch.
struct SnapshotId {
  std::uint64_t map_epoch = 0;
  std::uint64_t index_version = 0;
  // The check takes the 0 of a synthesized comparison for a null pointer.
  auto operator<=>(const SnapshotId&) const =
      default;  // NOLINT(modernize-use-nullptr)
};

/// Address of a process, IP number and port, for example "127.0.0.1:8080".
struct Address {
  std::string host_port;
  auto operator<=>(const Address&) const =
      default;  // NOLINT(modernize-use-nullptr)
};

}  // namespace chicoryvale

#endif  // CHICORYVALE_SRC_BASE_IDS_H_
