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

/// Knows which index versions the replicas of one service serve, and from that
/// the snapshot that new queries pin. Not thread safe.
class SnapshotTracker {
 public:
  /// Takes over the shard map and the published index version. What was
  /// learned of replicas is kept within one epoch and forgotten with it.
  void Apply(const ServiceConfig& config);

  [[nodiscard]] std::uint64_t MapEpoch() const { return m_map_epoch; }
  [[nodiscard]] std::size_t ShardCount() const { return m_shards.size(); }

  /// Returns the number of replicas of `shard`.
  [[nodiscard]] std::size_t ReplicaCount(ShardId shard) const {
    return shard < m_shards.size() ? m_shards[shard].size() : 0;
  }

  /// Returns whether the shard map places `replica` at `shard`.
  [[nodiscard]] bool Places(ShardId shard, const Address& replica) const;

  /// Returns the newest snapshot that at least one replica of each shard is
  /// known to serve. Where there is none, the one that most shards may serve,
  /// and among those the one that most are known to serve, then the newest.
  [[nodiscard]] SnapshotId Newest(TimePoint now);

  /// Learns the range of versions that a replica reported. Ignores replicas
  /// that are not in the shard map.
  void Learn(ShardId shard, const Address& replica,
             const UpstreamReport& report);

  /// Learns that a replica refused `version`, whatever it reported. Forgotten
  /// after kRefusalTime, since the replica may load the version later.
  void Refuse(ShardId shard, const Address& replica, std::uint64_t version,
              TimePoint now);

  /// Returns whether some replica of `shard` may serve `version`. Versions
  /// rise, so a replica may serve more than it last reported, never less.
  [[nodiscard]] bool MayServe(ShardId shard, std::uint64_t version,
                              TimePoint now) const;

  /// Adds to `replicas` those of `shard` that do not serve `version`; if one of
  /// those not given in `replicas` is known to serve it, all that are not.
  void AppendUnable(ShardId shard, std::uint64_t version, TimePoint now,
                    std::vector<Address>* replicas) const;

  /// Time for which a refusal outweighs the replica's report.
  static constexpr Duration kRefusalTime = seconds(1);

 private:
  /// What is believed of a replica and a version, from worst to best.
  enum class Belief : std::uint8_t { kNo, kMaybe, kYes };

  struct Refusal {
    std::uint64_t version = 0;
    TimePoint until{};
  };
  struct Replica {
    Address address;
    std::optional<std::uint64_t> oldest;
    std::optional<std::uint64_t> newest;
    std::optional<Refusal> refusal;
  };
  using Shard = std::vector<Replica>;

  static Shard MakeShard(const ShardConfig& config, const Shard* known);
  [[nodiscard]] const Replica* Find(ShardId shard,
                                    const Address& address) const;
  [[nodiscard]] Replica* Find(ShardId shard, const Address& address);
  [[nodiscard]] Belief Believe(const Replica& replica, std::uint64_t version,
                               TimePoint now) const;
  [[nodiscard]] Belief Believe(ShardId shard, std::uint64_t version,
                               TimePoint now) const;
  [[nodiscard]] std::vector<std::uint64_t> Candidates() const;
  void Recompute(TimePoint now);

  std::uint64_t m_map_epoch = 0;
  std::uint64_t m_published = 0;
  std::uint64_t m_published_before = 0;
  std::vector<Shard> m_shards;
  std::uint64_t m_newest = 0;
  /// `m_newest` is out of date from this time on.
  TimePoint m_valid_until{};
};

}  // namespace chicoryvale

#endif  // CHICORYVALE_SRC_QUERY_SNAPSHOT_TRACKER_H_
