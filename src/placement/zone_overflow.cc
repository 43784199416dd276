#include "placement/zone_overflow.h"

#include <algorithm>
#include <numeric>

namespace chicoryvale {
namespace {

/// Maximum change of a share in one decision.
constexpr double kMaxChange = 0.25;

/// Part of the difference to the wanted share by which a decision changes it:
/// the reported loads lag by about two decisions.
constexpr double kGain = 0.5;

/// Parts of the free slots, and of the slots that are used beyond the reserve,
/// by which a decision raises and lowers the share of another zone. It falls
/// faster than it rises, because queues of the zone's own callers last.
constexpr double kFreeSlotsGain = 0.25;
constexpr double kUsedSlotsGain = 0.5;

/// Weight of a request that waits in another zone, relative to a used slot. It
/// is low, because with few slots some requests wait long before all are used.
constexpr double kWaitingWeight = 0.1;

/// Mean part of the own slots in use from which requests leave. With few slots,
/// there is often no free one at this mean.
constexpr double kOwnTargetRatio = 0.8;

/// Maximum share while own replicas can get requests, so that some requests
/// show when these have room again.
constexpr double kMaxTotalShare = 0.95;

/// Maximum share to a zone whose load is unknown, and its greatest rise in one
/// decision.
constexpr double kMaxUnknownShare = 0.1;
constexpr double kMaxUnknownRise = 0.025;

/// Part of the slots of another zone that is left to its own callers: with
/// more of them in use, requests wait there.
constexpr double kReserveRatio = 0.15;

/// Part of the own slots whose load must be known for a decision.
constexpr double kMinKnownRatio = 0.5;

/// Relative excess or shortfall of load that one decision takes into account:
/// a queue grows much faster than the load that causes it.
constexpr double kMaxRelativeExcess = 0.5;

/// Greatest demand of the requests that stay, relative to the own slots: a
/// longer queue is backlog rather than demand.
constexpr double kMaxDemandRatio = 1.25;

/// Lowest number of requests in the own zone for a decision, so that a share of
/// an idle zone is defined.
constexpr double kMinBusy = 0.5;

/// Round trip that is assumed before an answer of a zone: twice the greatest
/// one-way delay of the operating conditions.
constexpr double kUnknownRoundTripUs = 7'800;

/// Part of the difference by which the lowest latency rises with each greater
/// sample, so that it follows a way that became longer.
constexpr double kLowestLatencyRise = 0.005;

void RecordLowest(std::optional<double>* lowest, double latency_us) {
  if (!*lowest || latency_us <= **lowest) {
    *lowest = latency_us;
  } else {
    **lowest += kLowestLatencyRise * (latency_us - **lowest);
  }
}

}  // namespace

void ZoneOverflow::Decide(const ZoneLoad& own,
                          const std::vector<ZoneLoad>& others) {
  std::ranges::for_each(m_shares, [](ZoneShare& s) { s.present = false; });
  for (const ZoneLoad& other : others) {
    ZoneShare& share = ShareOf(other.zone);
    share.present = other.usable_slots > 0;
    share.has_room = other.known_slots <= 0 || FreeSlots(other) > 0;
  }
  for (ZoneShare& share : m_shares) {
    if (!share.present) share.share = 0;
  }
  if (own.usable_slots <= 0) return LeaveAll();
  m_is_known = own.known_slots >= kMinKnownRatio * own.usable_slots;
  if (!m_is_known) return;
  const double busy =
      std::max(own.known_busy / own.known_slots * own.usable_slots, kMinBusy);
  const double total = TotalShare();
  const double demand_slots =
      std::min(busy, kMaxDemandRatio * own.usable_slots) /
      (1 - std::min(total, kMaxTotalShare));
  double left =
      std::clamp(total + WantedChange(own, others, busy), 0.0, kMaxTotalShare);
  for (const ZoneLoad& other : others) {
    ZoneShare& share = ShareOf(other.zone);
    if (!share.present) continue;
    const double wanted =
        std::min(left, MaxShare(other, share.share, demand_slots));
    share.share = std::clamp(wanted, std::max(share.share - kMaxChange, 0.0),
                             share.share + kMaxChange);
    left = std::max(left - share.share, 0.0);
  }
}

void ZoneOverflow::LeaveAll() {
  m_is_known = true;
  m_reason = OverflowReason::kNoReplica;
  const auto count =
      static_cast<double>(std::ranges::count_if(m_shares, &ZoneShare::present));
  for (ZoneShare& share : m_shares) {
    share.share = share.present ? 1 / count : 0;
  }
}

double ZoneOverflow::WantedChange(const ZoneLoad& own,
                                  const std::vector<ZoneLoad>& others,
                                  double busy) {
  const double excess =
      std::clamp(1 - kOwnTargetRatio * own.usable_slots / busy,
                 -kMaxRelativeExcess, kMaxRelativeExcess);
  const double gap = std::clamp(LatencyGap(own, others), -kMaxRelativeExcess,
                                kMaxRelativeExcess);
  const double needed = std::max(excess, gap);
  if (needed > 0) {
    m_reason = excess >= gap ? OverflowReason::kBusy : OverflowReason::kSlow;
  }
  return kGain * (1 - TotalShare()) * needed;
}

double ZoneOverflow::LatencyGap(const ZoneLoad& own,
                                const std::vector<ZoneLoad>& others) const {
  double gap = -kMaxRelativeExcess;
  if (!own.latency_us || *own.latency_us <= 0) return gap;
  for (const ZoneLoad& other : others) {
    if (other.usable_slots <= 0) continue;
    // A zone that has not answered is assumed to be as fast as the own zone was
    // at best, so that it is tried.
    const double other_us = other.latency_us.value_or(
        m_own_lowest_latency_us.value_or(*own.latency_us) +
        kUnknownRoundTripUs);
    const double saved = *own.latency_us - other_us - m_price_us;
    gap = std::max(gap, saved / *own.latency_us);
  }
  return gap;
}

double ZoneOverflow::FreeSlots(const ZoneLoad& other) {
  const double waiting = other.known_busy - other.known_used;
  return other.known_slots * (1 - kReserveRatio) - other.known_used -
         kWaitingWeight * waiting;
}

double ZoneOverflow::MaxShare(const ZoneLoad& other, double share,
                              double demand_slots) {
  if (other.known_slots <= 0) {
    return std::min(share + kMaxUnknownRise, kMaxUnknownShare);
  }
  const double free_slots = FreeSlots(other);
  const double gain = free_slots < 0 ? kUsedSlotsGain : kFreeSlotsGain;
  return std::max(share + gain * free_slots / demand_slots, 0.0);
}

void ZoneOverflow::RecordLatency(std::string_view zone, double latency_us) {
  RecordLowest(zone.empty() ? &m_own_lowest_latency_us
                            : &ShareOf(zone).lowest_latency_us,
               latency_us);
}

double ZoneOverflow::RoundTripUs(std::string_view zone) const {
  const ZoneShare* share = Find(zone);
  const bool is_known = share != nullptr && share->lowest_latency_us &&
                        m_own_lowest_latency_us.has_value();
  if (!is_known) return kUnknownRoundTripUs;
  return std::max(*share->lowest_latency_us - *m_own_lowest_latency_us, 0.0);
}

ZoneOverflow::Placement ZoneOverflow::Place(double draw) const {
  if (!m_is_known) return Placement::kUndecided;
  return ZoneOf(draw) == nullptr ? Placement::kOwnZone : Placement::kOtherZone;
}

const std::string* ZoneOverflow::ZoneOf(double draw) const {
  double sum = 0;
  for (const ZoneShare& share : m_shares) {
    sum += share.share;
    if (draw < sum) return &share.zone;
  }
  return nullptr;
}

double ZoneOverflow::TotalShare() const {
  return std::accumulate(
      m_shares.begin(), m_shares.end(), 0.0,
      [](double sum, const ZoneShare& share) { return sum + share.share; });
}

ZoneOverflow::ZoneShare& ZoneOverflow::ShareOf(std::string_view zone) {
  const auto known = std::ranges::find(m_shares, zone, &ZoneShare::zone);
  if (known != m_shares.end()) return *known;
  ZoneShare& added = m_shares.emplace_back();
  added.zone = zone;
  return added;
}

const ZoneOverflow::ZoneShare* ZoneOverflow::Find(std::string_view zone) const {
  const auto known = std::ranges::find(m_shares, zone, &ZoneShare::zone);
  return known == m_shares.end() ? nullptr : &*known;
}

}  // namespace chicoryvale
