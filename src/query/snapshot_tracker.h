#ifndef CHICORYVALE_SRC_QUERY_SNAPSHOT_TRACKER_H_
#define CHICORYVALE_SRC_QUERY_SNAPSHOT_TRACKER_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

#include "base/ids.h"
#include "base/time.h"
#include "config/cluster_config.h"
#include "ports/upstream_transport.h"

namespace chicoryvale {

/// Tracks which index versions the replicas of one service serve, and selects
/// the snapshot that new queries pin. Not thread safe.
class SnapshotTracker {
 public:
  /// Applies the shard map and the published index version. Reports and
  /// refusals of replicas are kept if the epoch of the shard map is the same,
  /// and discarded otherwise.
  void Apply(const ServiceConfig& config);

  [[nodiscard]] std::uint64_t MapEpoch() const { return m_map_epoch; }
  [[nodiscard]] std::size_t ShardCount() const { return m_shards.size(); }

  /// Returns the number of replicas of `shard`.
  [[nodiscard]] std::size_t ReplicaCount(ShardId shard) const {
    return shard < m_shards.size() ? m_shards[shard].size() : 0;
  }

  /// Returns whether the shard map lists `replica` at `shard`.
  [[nodiscard]] bool HasReplica(ShardId shard, const Address& replica) const;

  /// Returns the newest snapshot that at least one replica of each shard is
  /// known to serve. If there is none, returns the snapshot that the largest
  /// number of shards may serve; ties are resolved by the number of shards that
  /// are known to serve it, then by the newer version.
  [[nodiscard]] SnapshotId Current(TimePoint now);

  /// Records the range of versions that a replica reported. Ignores replicas
  /// that are not in the shard map.
  void RecordReport(ShardId shard, const Address& replica,
                    const UpstreamReport& report);

  /// Records that a replica refused `version`, which overrides its report. The
  /// record expires after kRefusalValidity, because the replica may load the
  /// version later.
  void RecordRefusal(ShardId shard, const Address& replica,
                     std::uint64_t version, TimePoint now);

  /// Returns whether a replica of `shard` may serve `version`. The versions of
  /// a replica only increase, so it may serve newer versions than it last
  /// reported, but no version older than the reported range.
  [[nodiscard]] bool MayServe(ShardId shard, std::uint64_t version,
                              TimePoint now) const;

  /// Appends to `replicas` the replicas of `shard` that do not serve `version`.
  /// If a replica that was not in `replicas` is known to serve it, appends all
  /// replicas that are not known to serve it.
  void AppendReplicasToAvoid(ShardId shard, std::uint64_t version,
                             TimePoint now,
                             std::vector<Address>* replicas) const;

  /// Time for which a refusal overrides the report of the replica.
  static constexpr Duration kRefusalValidity = seconds(1);

 private:
  /// Whether a replica or a shard serves a version, in ascending order.
  enum class Support : std::uint8_t { kNone, kPossible, kKnown };

  struct Refusal {
    std::uint64_t version = 0;
    TimePoint valid_until{};
  };
  struct Replica {
    Address address;
    /// Range of versions that the replica reported. Absent if not reported.
    std::optional<std::uint64_t> oldest;
    std::optional<std::uint64_t> newest;
    std::optional<Refusal> refusal;
  };
  using Shard = std::vector<Replica>;

  static Shard MakeShard(const ShardConfig& config, const Shard* previous);
  [[nodiscard]] const Replica* Find(ShardId shard,
                                    const Address& address) const;
  [[nodiscard]] Replica* Find(ShardId shard, const Address& address);
  [[nodiscard]] Support SupportOf(const Replica& replica, std::uint64_t version,
                                  TimePoint now) const;
  [[nodiscard]] Support SupportOf(ShardId shard, std::uint64_t version,
                                  TimePoint now) const;
  [[nodiscard]] std::vector<std::uint64_t> CandidateVersions() const;
  void SelectVersion(TimePoint now);

  std::uint64_t m_map_epoch = 0;
  std::uint64_t m_published_version = 0;
  /// Version that was published before `m_published_version` in this epoch, or
  /// the first version of the epoch if there is none.
  std::uint64_t m_previous_published_version = 0;
  std::vector<Shard> m_shards;
  std::uint64_t m_selected_version = 0;
  /// `m_selected_version` has to be selected again from this time on.
  TimePoint m_selection_valid_until{};
};

}  // namespace chicoryvale

#endif  // CHICORYVALE_SRC_QUERY_SNAPSHOT_TRACKER_H_
