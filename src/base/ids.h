#ifndef CHICORYVALE_SRC_BASE_IDS_H_
#define CHICORYVALE_SRC_BASE_IDS_H_

#include <compare>
#include <cstdint>
#include <string>

namespace chicoryvale {

/// Zero-based index of a shard within the shard map of its service.
using ShardId = std::uint32_t;

/// Identifies a sub-request within one run of one process. Ids are not reused
/// during that run.
using SubRequestId = std::uint64_t;

/// Identifies one consistent state of a service's index. Ordered by shard map
/// epoch first, because an index version is only meaningful within its epoch.
struct SnapshotId {
  std::uint64_t map_epoch = 0;
  std::uint64_t index_version = 0;
  // clang-tidy mistakes the 0 of a defaulted comparison for a null pointer.
  auto operator<=>(const SnapshotId&) const =
      default;  // NOLINT(modernize-use-nullptr)
};

/// IP address and port of a process, for example "127.0.0.1:8080".
struct Address {
  std::string host_port;
  auto operator<=>(const Address&) const =
      default;  // NOLINT(modernize-use-nullptr)
};

}  // namespace chicoryvale

#endif  // CHICORYVALE_SRC_BASE_IDS_H_
