#ifndef CHICORYVALE_SRC_UPSTREAM_CRASH_MARK_H_
#define CHICORYVALE_SRC_UPSTREAM_CRASH_MARK_H_

#include <cstddef>
#include <cstdint>
#include <tuple>
#include <vector>

#include "base/hash.h"
#include "base/ids.h"

namespace chicoryvale {

/// Identifies a request, its workspace and its service when upstreams crash.
/// All values are hashes.
struct CrashKey {
  /// Hash of service, method and body; equal for all resends of one request.
  std::uint64_t fingerprint = 0;
  std::uint64_t workspace = 0;
  std::uint64_t service = 0;

  /// Returns the hash of workspace and service together.
  [[nodiscard]] std::uint64_t Origin() const {
    constexpr std::uint64_t kHashMultiplier = 0x9e3779b97f4a7c15ULL;
    return workspace * kHashMultiplier ^ service;
  }
  bool operator==(const CrashKey&) const = default;
};

/// Returns the hash of a replica's address, as used in UpstreamCrash.
inline std::uint64_t HashReplica(const Address& replica) {
  return HashBytes(replica.host_port);
}

/// An upstream that crashed while it ran a request. Two processes that lose the
/// same upstream report equal crashes.
struct UpstreamCrash {
  std::uint64_t replica = 0;
  ShardId shard = 0;
  /// Number of the request's crashes that were known when the run began.
  std::uint32_t generation = 0;
  /// The request was proven when the run began: another upstream had survived
  /// it.
  bool proven = false;
  bool operator==(const UpstreamCrash&) const = default;
  /// Orders by replica, shard, generation and `proven`.
  bool operator<(const UpstreamCrash& other) const {
    return std::tie(replica, shard, generation, proven) <
           std::tie(other.replica, other.shard, other.generation, other.proven);
  }
};

/// The crashes that a request is marked with. Merging is commutative,
/// associative and idempotent.
struct CrashMark {
  CrashKey key;
  /// Increases by one when the request is cleared by an answer, when the mark
  /// expires, and when crashes of an upstream that survived are retracted, even
  /// if others remain.
  std::uint32_t epoch = 0;
  /// Number of crashes after which the request is quarantined.
  std::uint32_t crash_limit = 2;
  /// Sorted, without duplicates.
  std::vector<UpstreamCrash> crashes;
  /// Whether a process knows that an upstream served the request before it
  /// crashed one.
  bool served_before = false;
  /// Number of trials of the quarantined request that may have run and that no
  /// upstream survived.
  std::uint32_t failed_trials = 0;
  bool operator==(const CrashMark&) const = default;
};

/// Returns the number of crashes that count against the request. Crashes in
/// runs of a proven request that began with the same number of known crashes
/// count once: they are attributed to another cause, because a request that
/// crashes upstreams does not become proven.
std::uint32_t CountCrashes(const CrashMark& mark);

/// Removes crashes until at most `max_count` are left, those first that change
/// CountCrashes least.
void TrimCrashes(std::size_t max_count, CrashMark* mark);

/// Adds `crash` to `mark`; returns whether `mark` changed.
bool AddCrash(const UpstreamCrash& crash, CrashMark* mark);

/// Merges `other`, a mark of the same fingerprint, into `mark`; returns whether
/// `mark` changed.
bool MergeMark(const CrashMark& other, CrashMark* mark);

}  // namespace chicoryvale

#endif  // CHICORYVALE_SRC_UPSTREAM_CRASH_MARK_H_
