#ifndef CHICORYVALE_SRC_UPSTREAM_CRASH_MARK_H_
#define CHICORYVALE_SRC_UPSTREAM_CRASH_MARK_H_

#include <cstdint>
#include <tuple>
#include <vector>

#include "base/hash.h"
#include "base/ids.h"

namespace chicoryvale {

/// What a request is known by when upstreams crash. All are hashes.
struct CrashKey {
  /// Hash of service, method and body; equal for resends of one request.
  std::uint64_t fingerprint = 0;
  std::uint64_t workspace = 0;
  std::uint64_t service = 0;

  /// Returns the hash of workspace and service together.
  [[nodiscard]] std::uint64_t Origin() const {
    constexpr std::uint64_t kOdd = 0x9e3779b97f4a7c15ULL;
    return workspace * kOdd ^ service;
  }
  bool operator==(const CrashKey&) const = default;
};

/// Returns the hash of a replica's address in a UpstreamCrash.
inline std::uint64_t HashReplica(const Address& replica) {
  return HashBytes(replica.host_port);
}

/// One upstream that died while it ran a request. Two processes that lose the
/// same upstream report the same death.
struct UpstreamCrash {
  std::uint64_t replica = 0;
  ShardId shard = 0;
  /// Deaths that were known when the run began.
  std::uint32_t generation = 0;
  /// Another upstream had survived the request when the run began.
  bool proven = false;
  bool operator==(const UpstreamCrash&) const = default;
  /// Orders by replica, shard, generation and `proven`.
  bool operator<(const UpstreamCrash& other) const {
    return std::tie(replica, shard, generation, proven) <
           std::tie(other.replica, other.shard, other.generation, other.proven);
  }
};

/// The deaths that a request is marked with. Merge is commutative, associative
/// and idempotent.
struct CrashMark {
  CrashKey key;
  /// Rises by one when the request is cleared by an answer.
  std::uint32_t epoch = 0;
  /// Deaths after which the request is quarantined.
  std::uint32_t allowance = 2;
  /// Sorted, without doubles.
  std::vector<UpstreamCrash> deaths;
  bool operator==(const CrashMark&) const = default;
};

/// Returns the deaths that count against the request. Runs of a proven request
/// that are under way together and die together count once: what kills them
/// kills by another cause, since a crashing request is not proven.
std::uint32_t CountDeaths(const CrashMark& mark);

/// Adds `death` to `mark`; returns whether it was news.
bool AddDeath(const UpstreamCrash& death, CrashMark* mark);

/// Merges `other`, a mark of the same fingerprint, into `mark`; returns whether
/// `mark` changed.
bool MergeMark(const CrashMark& other, CrashMark* mark);

}  // namespace chicoryvale

#endif  // CHICORYVALE_SRC_UPSTREAM_CRASH_MARK_H_
