#ifndef CHICORYVALE_SRC_ROUTING_REPLICA_POOL_H_
#define CHICORYVALE_SRC_ROUTING_REPLICA_POOL_H_

#include <array>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <random>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "base/counters.h"
#include "base/ids.h"
#include "base/time.h"
#include "placement/zone_overflow.h"
#include "ports/event_log.h"
#include "ports/replica_transport.h"
#include "routing/limit_shares.h"
#include "routing/rate_bucket.h"
#include "routing/replica_notices.h"
#include "routing/reported_load.h"
#include "routing/send_history.h"

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

/// How the replicas of a service warm up.
struct ReplicaWarmup {
  /// Time for which a replica is cold after it was idle.
  Duration duration{};
  /// Maximum requests a second that a cold replica gets from all entries
  /// together; 0 for no limit.
  double max_requests_per_s = 0;
  bool operator==(const ReplicaWarmup&) const = default;
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

/// Counted events of a ReplicaPool.
enum class ReplicaPoolCounter : std::uint8_t {
  /// Replicas that said in an answer that they drain.
  kDrainingAnnounced,
  /// Replicas that asked for no requests for a while, and longer than before.
  kBackOffsAnnounced,
  /// Choices that left out a replica because it had said so.
  kChoicesWithoutDraining,
  kChoicesWithoutBackingOff,
  /// Limits that replicas stated, or stated anew with another value.
  kRateLimitsStated,
  /// Choices that left out a replica because this entry's share of its limit
  /// was used.
  kChoicesWithoutRate,
  /// Choices that left out a replica because its availability zone is
  /// evacuated.
  kChoicesWithoutEvacuated,
  /// Choices that were placed in another availability zone by ZoneOverflow, by
  /// reason. A sub-request for which a relay is looked for first may count
  /// twice.
  kOverflowsBusy,
  kOverflowsSlow,
  kOverflowsWithoutReplica,
};

template <>
struct CounterNames<ReplicaPoolCounter> {
  static constexpr std::array<std::string_view, 10> kNames = {
      "draining_announced",
      "back_offs_announced",
      "choices_without_draining",
      "choices_without_backing_off",
      "rate_limits_stated",
      "choices_without_rate",
      "choices_without_evacuated",
      "overflows_busy",
      "overflows_slow",
      "overflows_without_replica"};
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

  /// Records that the list was read again and has not changed.
  void ConfirmReplicas(TimePoint now);

  [[nodiscard]] const std::string& OwnZone() const { return m_own_zone; }

  /// Returns whether a list was ever set.
  [[nodiscard]] bool HasList() const { return m_has_list; }

  /// Sets the maximum number of connections of this entry to each replica of
  /// `service`: its share of the connections that the replica accepts from all
  /// entries.
  void SetConnectionShare(const std::string& service, std::uint32_t share) {
    m_connection_shares[service] = share;
  }

  /// Sets the availability zones whose replicas get no sends, in ascending
  /// order. The replicas of a zone that is no longer evacuated are cold for the
  /// warmup time of their service, because they were idle.
  void SetEvacuatedZones(const std::vector<std::string>& zones, TimePoint now);

  /// Sets how the replicas of services warm up, by service. Services without an
  /// entry have no limit.
  void SetWarmups(std::unordered_map<std::string, ReplicaWarmup> warmups,
                  TimePoint now);

  /// Sets the entries among which the limits are divided that replicas state
  /// for all entries together.
  void SetRateSharers(RateSharers sharers, TimePoint now);

  /// Number of a request that stays in the own zone while this has a replica.
  static constexpr double kOwnZoneDraw = 1;

  /// Sets how requests are placed in other availability zones.
  void SetZoneOverflow(const ZoneOverflowOptions& options);

  /// Returns the random number that decides for all sends of a request whether
  /// they go to another availability zone; kOwnZoneDraw, without use of the
  /// random source, if ZoneOverflow is not enabled.
  double DrawPlacement();

  /// Calls `visitor` with each other availability zone and the mean share, over
  /// the services, of the requests that are placed there.
  void VisitZoneShares(const std::function<void(const std::string& zone,
                                                double share)>& visitor) const;

  /// Chooses a replica of `service` that is not in `excluded`, is not draining
  /// or backing off, has an unused connection, has room in this entry's share
  /// of its stated limit, and is not avoided because another replica answered
  /// at its address; returns nothing if there is none. `draw` is the number of
  /// the request from DrawPlacement.
  std::optional<ChosenReplica> Choose(const std::string& service,
                                      const std::vector<std::string>& excluded,
                                      TimePoint now,
                                      double draw = kOwnZoneDraw);

  /// Returns the other availability zones that have a replica of `service` that
  /// is not draining or backing off, is probably not paused, and is not avoided
  /// because another replica answered at its address, whether or not it has an
  /// unused connection, if the replica that Choose would return is in another
  /// zone; otherwise nothing. If ZoneOverflow places the request in another
  /// zone because of the load, only that one is returned.
  std::vector<std::string> RemoteZones(const std::string& service,
                                       TimePoint now,
                                       double draw = kOwnZoneDraw);

  /// Records a send to the replica `id`. Returns the number that identifies the
  /// send in EndSend and CancelSend.
  std::uint64_t BeginSend(const std::string& id, TimePoint now);

  /// Records the outcome of a send.
  void EndSend(const std::string& id, std::uint64_t send,
               const ReplicaAnswer& answer, TimePoint now);

  /// Records that a send was cancelled before it was answered.
  void CancelSend(const std::string& id, std::uint64_t send);

  /// Records what the replica `id` said of itself in an answer, whether or not
  /// it is still listed, and returns what that changed.
  ReplicaNotices::Change RecordNotice(const std::string& id,
                                      const ReplicaNotice& notice,
                                      TimePoint now);

  /// Records the limit that the replica `id` states in an answer. Does nothing
  /// if the answer doesn't tell. Returns whether the limit differs from that of
  /// the last answer.
  bool RecordRateLimit(const std::string& id,
                       std::optional<double> max_requests_per_s, TimePoint now);

  /// How requests reach replicas in other availability zones.
  enum class Reach : std::uint8_t {
    /// From this entry, within its share of what they accept.
    kDirect,
    /// By way of other entries, within theirs.
    kByRelay,
  };

  /// Returns the number of replicas of `service` that are listed, neither
  /// draining nor backing off, and have room in the share of their stated
  /// limit.
  [[nodiscard]] std::size_t CountUsable(const std::string& service,
                                        TimePoint now,
                                        Reach reach = Reach::kDirect) const;

  /// Returns the earliest time, `now` or later, at which `service` has a
  /// replica that is listed, neither draining nor backing off, and has room in
  /// this entry's share of its stated limit. Returns nothing if all of them
  /// drain or none is listed.
  [[nodiscard]] std::optional<TimePoint> UsableAt(const std::string& service,
                                                  TimePoint now) const;

  [[nodiscard]] const CounterSet<ReplicaPoolCounter>& Counters() const {
    return m_counters;
  }

 private:
  struct Replica {
    ListedReplica listed;
    /// What the replica said of itself, copied from the notices.
    bool says_draining = false;
    TimePoint back_off_end{};
    /// The stated limit in requests a second for all entries together, and this
    /// entry's share of it; absent without a limit.
    double max_requests_per_s = ReplicaNotice::kNoRateLimit;
    std::optional<RateBucket> rate;
    /// This entry's share of the limit while the replica is cold; absent
    /// without a limit.
    std::optional<RateBucket> cold_rate;
    /// Whether its availability zone is evacuated.
    bool evacuated = false;
    SendHistory sends;
    ReportedLoad load;
    TimePoint warm_at{};
    /// Until this time the replica is cold because its availability zone was
    /// evacuated.
    TimePoint warm_after_evacuation{};
  };

  [[nodiscard]] std::size_t ConnectionShare(const std::string& service) const;
  /// Where ZoneOverflow places a request.
  struct RequestPlacement {
    /// Null if nothing is decided.
    const ZoneOverflow* overflow = nullptr;
    /// The zone that is to get the request; null if the cost of each replica
    /// decides.
    const std::string* zone = nullptr;
  };

  /// State of ZoneOverflow for one service.
  struct ServiceOverflow {
    explicit ServiceOverflow(const ZoneOverflowOptions& options)
        : overflow(options) {}
    ZoneOverflow overflow;
    std::optional<TimePoint> decided_at;
    /// What the last decision was made from; kept to avoid allocations.
    ZoneLoad own;
    std::vector<ZoneLoad> others;
  };

  // Decides anew if it is time, and returns where a request of `service` goes.
  RequestPlacement PlaceRequest(const std::string& service, double draw,
                                TimePoint now);
  void DecideOverflow(const std::string& service, ServiceOverflow* state,
                      TimePoint now) const;
  // Adds what is known of `replica` to the load of its zone.
  void AddLoad(const Replica& replica, ServiceOverflow* state,
               TimePoint now) const;
  // Returns whether `replica` can get requests and does not mostly fail.
  [[nodiscard]] bool IsInService(const Replica& replica, TimePoint now) const;
  // Returns the cost by which a choice keeps to `placement`.
  [[nodiscard]] double PlacementCostUs(const Replica& replica,
                                       const RequestPlacement& placement,
                                       TimePoint now) const;
  // Returns the cost of sending to the zone of `replica`.
  [[nodiscard]] double ZoneCostUs(const Replica& replica, double latency_us,
                                  const RequestPlacement& placement) const;
  void CountOverflow(const RequestPlacement& placement, const Replica& chosen);
  [[nodiscard]] double ExpectedCostUs(const Replica& replica,
                                      const RequestPlacement& placement,
                                      TimePoint now) const;
  [[nodiscard]] double ExpectedLatencyUs(const Replica& replica,
                                         TimePoint now) const;
  // Records the time to an answer as if the replica had been as slow as usual.
  void RecordLatency(Replica* replica, double latency_us, bool is_success);

  void CopyNotice(Replica* replica) const;
  // Passes the list to the notices, and copies what they say now.
  void RecordListInNotices(TimePoint now);
  static bool WantsRequests(const Replica& replica, TimePoint now) {
    return !replica.evacuated && !replica.says_draining &&
           now >= replica.back_off_end;
  }
  // Sets the buckets of `replica` to this entry's shares of its limits.
  void UpdateRates(Replica* replica, TimePoint now) const;
  // Returns the earliest time, `now` or later, at which this entry's shares of
  // the limits of `replica` have room.
  static TimePoint RateAvailableAt(const Replica& replica, TimePoint now);
  // Returns this entry's share of a limit of `replica`.
  [[nodiscard]] double ShareOf(double max_requests_per_s,
                               const Replica& replica) const;
  // Returns whether `replica` has room in the share of its stated limit.
  [[nodiscard]] bool HasRate(const Replica& replica, Reach reach,
                             TimePoint now) const;
  std::optional<ChosenReplica> ChooseReachable(
      const std::string& service, const std::vector<std::string>& excluded,
      Reach reach, const RequestPlacement& placement, TimePoint now);
  // Counts a choice without `replica` because of what it said.
  void CountAvoided(const Replica& replica);

  std::string m_own_zone;
  std::mt19937_64 m_random;
  RateSharers m_rate_sharers;
  ReplicaNotices m_notices;
  CounterSet<ReplicaPoolCounter> m_counters;
  bool m_has_list = false;
  std::uint64_t m_last_send_number = 0;
  std::unordered_map<std::string, Replica> m_replicas;
  /// Ids of the replicas that are not draining, by service.
  std::unordered_map<std::string, std::vector<std::string>> m_usable;
  std::unordered_map<std::string, std::uint32_t> m_connection_shares;
  std::unordered_map<std::string, ReplicaWarmup> m_warmups;
  std::vector<std::string> m_evacuated_zones;
  ZoneOverflowOptions m_overflow_options;
  std::unordered_map<std::string, ServiceOverflow> m_overflows;
  /// Recency-weighted mean time to an answer over all replicas of a service, by
  /// service, as if the replicas had been as slow as usual.
  std::unordered_map<std::string, double> m_service_latency_us;
};

}  // namespace chicoryvale

#endif  // CHICORYVALE_SRC_ROUTING_REPLICA_POOL_H_
