#ifndef CHICORYVALE_SRC_PLACEMENT_ZONE_OVERFLOW_H_
#define CHICORYVALE_SRC_PLACEMENT_ZONE_OVERFLOW_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "base/time.h"

namespace chicoryvale {

/// Options of the decision to send to other availability zones.
struct ZoneOverflowOptions {
  /// If false, nothing is decided.
  bool enabled = false;
  /// Time that the bytes sent to another zone are worth.
  Duration cross_zone_price = milliseconds(5);
};

/// What an entry knows of the replicas of a service in one availability zone.
struct ZoneLoad {
  std::string zone;
  /// Slots of the replicas that can get requests.
  double usable_slots = 0;
  /// Slots of those whose load is known, how many of them are used, and
  /// requests that run or wait there.
  double known_slots = 0;
  double known_used = 0;
  double known_busy = 0;
  /// Expected time to an answer with the way to the zone; absent if the zone
  /// has not answered.
  std::optional<double> latency_us;
};

/// Why requests are sent to another zone.
enum class OverflowReason : std::uint8_t {
  /// The slots of the own zone are used.
  kBusy,
  /// The replicas of the own zone are slower than others.
  kSlow,
  /// No replica of the own zone can get requests.
  kNoReplica,
};

/// Decides for one service which share of an entry's requests goes to other
/// availability zones. All entries of a zone decide alone, from the load that
/// replicas report: the share follows the excess over the slots of the own
/// zone, within the free slots of the other zone minus a reserve for its own
/// callers. Deterministic. Not thread safe.
class ZoneOverflow {
 public:
  /// Time between decisions.
  static constexpr Duration kInterval = milliseconds(250);
  /// Age from which the reported load of a replica counts as unknown.
  static constexpr Duration kMaxReportAge = seconds(1);

  /// Share of an other zone.
  struct ZoneShare {
    std::string zone;
    double share = 0;
    /// Lowest latency seen, which rises slowly; absent before the first answer.
    std::optional<double> lowest_latency_us;
    /// Whether the zone had a replica in the last decision.
    bool present = false;
    /// Whether slots beyond the reserve were free in the last decision, or the
    /// load was unknown.
    bool has_room = true;
  };

  /// Where a request goes.
  enum class Placement : std::uint8_t {
    /// The load of the own zone is unknown: the decision is left to the cost of
    /// each replica.
    kUndecided,
    kOwnZone,
    kOtherZone,
  };

  explicit ZoneOverflow(const ZoneOverflowOptions& options)
      : m_price_us(static_cast<double>(options.cross_zone_price.count())) {}

  /// Sets the shares from what is known now. Call it once per kInterval.
  /// Precondition: `others` names each zone once, and not the own one.
  void Decide(const ZoneLoad& own, const std::vector<ZoneLoad>& others);

  /// Records the time to a successful answer of the own zone, if `zone` is
  /// empty, or of another one.
  void RecordLatency(std::string_view zone, double latency_us);

  /// Returns the extra round trip to `zone`: the lowest latency seen there less
  /// the lowest one of the own zone, or a default if either is unknown.
  [[nodiscard]] double RoundTripUs(std::string_view zone) const;

  /// Returns the cost of sending to `zone` rather than to the own zone: the
  /// round trip and the price of the bytes.
  [[nodiscard]] double ExtraCostUs(std::string_view zone) const {
    return RoundTripUs(zone) + m_price_us;
  }

  /// Returns where a request goes whose random number is `draw`.
  /// Precondition: `draw` is from 0 to 1.
  [[nodiscard]] Placement Place(double draw) const;

  /// Returns the zone to which the request goes for which Place returns
  /// kOtherZone; nullptr for others. Valid until the next decision.
  [[nodiscard]] const std::string* ZoneOf(double draw) const;

  /// Returns whether `zone` had free slots beyond the reserve, or its load was
  /// unknown, in the last decision.
  [[nodiscard]] bool HasRoom(std::string_view zone) const {
    const ZoneShare* share = Find(zone);
    return share == nullptr || share->has_room;
  }

  /// Reason of the shares that are not 0.
  [[nodiscard]] OverflowReason Reason() const { return m_reason; }

  /// Shares of the other zones.
  [[nodiscard]] const std::vector<ZoneShare>& Shares() const {
    return m_shares;
  }

 private:
  [[nodiscard]] double TotalShare() const;
  ZoneShare& ShareOf(std::string_view zone);
  [[nodiscard]] const ZoneShare* Find(std::string_view zone) const;
  // Returns the change of the total share that the own zone needs.
  double WantedChange(const ZoneLoad& own, const std::vector<ZoneLoad>& others,
                      double busy);
  // Returns the part of the own latency that the nearest zone would save;
  // negative if the own zone is the faster one.
  [[nodiscard]] double LatencyGap(const ZoneLoad& own,
                                  const std::vector<ZoneLoad>& others) const;
  // Returns the slots of `other` that are neither used nor reserved; negative
  // if more are used. Slots of replicas whose load is unknown do not count.
  static double FreeSlots(const ZoneLoad& other);
  // Returns the greatest share that `other` takes, which is `share` now, if the
  // requests of all entries of the own zone need `demand_slots`.
  static double MaxShare(const ZoneLoad& other, double share,
                         double demand_slots);
  void LeaveAll();

  double m_price_us;
  bool m_is_known = false;
  OverflowReason m_reason = OverflowReason::kBusy;
  std::vector<ZoneShare> m_shares;
  std::optional<double> m_own_lowest_latency_us;
};

}  // namespace chicoryvale

#endif  // CHICORYVALE_SRC_PLACEMENT_ZONE_OVERFLOW_H_
