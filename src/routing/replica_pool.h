#ifndef CHICORYVALE_SRC_ROUTING_REPLICA_POOL_H_
#define CHICORYVALE_SRC_ROUTING_REPLICA_POOL_H_

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <random>
#include <string>
#include <unordered_map>
#include <vector>

#include "base/ids.h"
#include "base/time.h"
#include "ports/event_log.h"
#include "ports/replica_transport.h"

namespace chicoryvale {

/// One replica as listed by the platform.
struct ListedReplica {
  std::string id;
  std::string service;
  Address address;
  std::string availability_zone;
  std::uint32_t slots = 1;
  bool draining = false;
  /// Remaining time in which the replica is slow because it has just started.
  Duration warmup_left{};
  bool operator==(const ListedReplica&) const = default;
};

/// The replica that is chosen for a send.
struct ChosenReplica {
  std::string id;
  Address address;
  /// Expected time to a successful answer, including the expected cost of
  /// failures and pauses, the round trip and price of bytes to another
  /// availability zone, and jitter of up to 10 %.
  Duration cost{};
  std::string availability_zone;
};

/// The replicas that this process knows: the list of the platform, and the
/// state of each replica as estimated from the own sends and their outcomes.
/// Chooses the replica of each send by the expected time to a successful
/// answer. It is made for replicas that have few slots, which many entries
/// share, and that pause, become slow, or fail while their liveness check
/// passes. The outcomes of own sends count most; the queue length that a
/// replica reports counts while it is recent. Deterministic for a given seed.
/// Not thread safe.
class ReplicaPool {
 public:
  ReplicaPool(std::string own_zone, std::uint64_t seed);

  /// Replaces the list. Removed replicas get no further sends; the state of the
  /// remaining ones is kept, unless their address changed.
  void SetReplicas(const std::vector<ListedReplica>& replicas, TimePoint now);

  [[nodiscard]] const std::string& OwnZone() const { return m_own_zone; }

  /// Returns whether a list was ever set.
  [[nodiscard]] bool HasList() const { return m_has_list; }

  /// Sets the maximum number of connections of this entry to each replica of
  /// `service`: its share of the connections that the replica accepts from all
  /// entries.
  void SetConnectionShare(const std::string& service, std::uint32_t share) {
    m_connection_shares[service] = share;
  }

  /// Chooses a replica of `service` that is not in `excluded`, is not draining,
  /// has an unused connection, and is not avoided because another replica
  /// answered at its address; returns nothing if there is none.
  std::optional<ChosenReplica> Choose(const std::string& service,
                                      const std::vector<std::string>& excluded,
                                      TimePoint now);

  /// Returns the other availability zones that have a replica of `service` that
  /// is not draining, is probably not paused, and is not avoided because
  /// another replica answered at its address, whether or not it has an unused
  /// connection, if the replica that Choose would return is in another zone;
  /// otherwise nothing.
  std::vector<std::string> RemoteZones(const std::string& service,
                                       TimePoint now);

  /// Records a send to the replica `id`. Returns the number that identifies the
  /// send in EndSend and CancelSend.
  std::uint64_t BeginSend(const std::string& id, TimePoint now);

  /// Records the outcome of a send.
  void EndSend(const std::string& id, std::uint64_t send,
               const ReplicaAnswer& answer, TimePoint now);

  /// Records that a send was cancelled before it was answered.
  void CancelSend(const std::string& id, std::uint64_t send);

  /// Returns the number of replicas of `service` that are listed and not
  /// draining.
  [[nodiscard]] std::size_t CountUsable(const std::string& service) const;

 private:
  struct Replica {
    ListedReplica listed;
    /// Start times of the sends that have not ended, by number.
    std::map<std::uint64_t, TimePoint> open_sends;
    std::optional<TimePoint> last_answer_at;
    /// Recency-weighted mean time to an answer.
    double mean_latency_us = 0;
    bool has_latency = false;
    /// Recency-weighted ratio of failures, from 0 to 1. Refusals count as
    /// failures, so a full replica is avoided like a failing one.
    double failure_ratio = 0;
    TimePoint failure_updated_at{};
    /// Whether the last send that ended timed out.
    bool last_send_timed_out = false;
    /// If so, the replica is assumed to be paused until this time.
    TimePoint paused_until{};
    /// Requests of other entries that were running or waiting at the replica
    /// when it last reported its load.
    double reported_queue = 0;
    TimePoint queue_reported_at{};
    TimePoint warm_at{};
    /// Until this time the replica is avoided because it announced that it
    /// closes its connections.
    TimePoint closing_until{};
    /// Until this time the replica gets no sends, because another replica
    /// answered at its address.
    TimePoint wrong_replica_until{};
  };

  [[nodiscard]] std::size_t ConnectionShare(const std::string& service) const;
  [[nodiscard]] double ExpectedCostUs(const Replica& replica,
                                      TimePoint now) const;
  [[nodiscard]] bool IsLikelyPaused(const Replica& replica,
                                    TimePoint now) const;
  [[nodiscard]] double FailureRatio(const Replica& replica,
                                    TimePoint now) const;
  [[nodiscard]] double ExpectedLatencyUs(const Replica& replica,
                                         TimePoint now) const;
  static void RecordOutcome(Replica* replica, bool failed, double weight,
                            TimePoint now);

  std::string m_own_zone;
  std::mt19937_64 m_random;
  bool m_has_list = false;
  std::uint64_t m_last_send_number = 0;
  std::unordered_map<std::string, Replica> m_replicas;
  /// Ids of the replicas that are not draining, by service.
  std::unordered_map<std::string, std::vector<std::string>> m_usable;
  std::unordered_map<std::string, std::uint32_t> m_connection_shares;
  /// Recency-weighted mean time to an answer over all replicas of a service, by
  /// service.
  std::unordered_map<std::string, double> m_service_latency_us;
};

}  // namespace chicoryvale

#endif  // CHICORYVALE_SRC_ROUTING_REPLICA_POOL_H_
