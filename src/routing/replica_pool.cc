#include "routing/replica_pool.h"

#include <algorithm>
#include <iterator>
#include <limits>
#include <utility>

namespace chicoryvale {
namespace {

/// Cost of a failed send: the time until the failure is noticed and the request
/// is sent again. Also added to the cost of a replica that closes its
/// connections.
constexpr double kFailureCostUs = 200'000;

/// Cost of a replica that is probably paused.
constexpr double kPauseCostUs = 100'000;

/// Weight of a send that runs concurrently on another slot, relative to one
/// that has to wait for a slot.
constexpr double kConcurrentSendWeight = 0.4;

/// Factor by which the latency of a replica exceeds its mean during warmup.
constexpr double kWarmupLatencyFactor = 3.0;

/// Latency that is assumed before the first answer of a service: low, so that a
/// replica is tried.
constexpr double kInitialLatencyUs = 1'000;

/// Cost of sending to another availability zone: the round trip and the price
/// of the bytes. It is the larger of this minimum and this ratio of the
/// latency, so that it exceeds the random variation of a long latency.
constexpr double kMinRemoteZoneCostUs = 20'000;
constexpr double kRemoteZoneLatencyRatio = 0.2;

/// Cost of a replica in a zone that ZoneOverflow did not choose, or of one that
/// is paused: more than any expected latency, so that a queue alone does not
/// overrule the decision. A replica that fails or closes its connections has
/// twice that cost, and so has one in a zone without room, because replicas of
/// an overloaded zone seem to be paused too.
constexpr double kMisplacedCostUs = 10'000'000;

/// Failure ratio from which a replica does not count as in service.
constexpr double kDownFailureRatio = 0.5;

/// Requests a second that are sent to a replica by all entries together even if
/// it states a lower limit, to learn when the limit ends.
constexpr double kMinRatePerSecond = 1.0;

}  // namespace

ReplicaPool::ReplicaPool(std::string own_zone, std::uint64_t seed)
    : m_own_zone(std::move(own_zone)),
      m_random(seed),
      m_rate_sharers{{{}, m_own_zone}, {}},
      m_notices(seed) {}

void ReplicaPool::SetReplicas(const std::vector<ListedReplica>& replicas,
                              TimePoint now) {
  m_has_list = true;
  std::unordered_map<std::string, Replica> next;
  m_usable.clear();
  for (const ListedReplica& listed : replicas) {
    const auto known = m_replicas.find(listed.id);
    const bool same = known != m_replicas.end() &&
                      known->second.listed.address == listed.address;
    Replica& replica = next[listed.id];
    if (same) replica = std::move(known->second);
    // Another replica at another address has the id now.
    if (known != m_replicas.end() && !same) m_notices.Forget(listed.id);
    replica.listed = listed;
    replica.evacuated =
        std::ranges::binary_search(m_evacuated_zones, listed.availability_zone);
    // The list lags and does not know that a zone was evacuated.
    const bool was_evacuated = same && replica.warm_after_evacuation > now;
    replica.warm_at =
        std::max(now + listed.warmup_left,
                 was_evacuated ? replica.warm_after_evacuation : TimePoint{});
    if (!listed.draining) m_usable[listed.service].push_back(listed.id);
  }
  m_replicas = std::move(next);
  RecordListInNotices(now);
  for (auto& [id, replica] : m_replicas) UpdateRates(&replica, now);
}

void ReplicaPool::ConfirmReplicas(TimePoint now) {
  if (m_notices.Size() > 0) RecordListInNotices(now);
}

void ReplicaPool::RecordListInNotices(TimePoint now) {
  using Listed = ReplicaNotices::Listed;
  m_notices.RecordList(
      [this](const std::string& id) {
        const auto replica = m_replicas.find(id);
        if (replica == m_replicas.end()) return Listed::kNo;
        return replica->second.listed.draining ? Listed::kDraining
                                               : Listed::kReady;
      },
      now);
  for (auto& [id, replica] : m_replicas) CopyNotice(&replica);
}

void ReplicaPool::SetEvacuatedZones(const std::vector<std::string>& zones,
                                    TimePoint now) {
  m_evacuated_zones = zones;
  for (auto& [id, replica] : m_replicas) {
    const bool was_evacuated = std::exchange(
        replica.evacuated,
        std::ranges::binary_search(zones, replica.listed.availability_zone));
    const auto warmup = m_warmups.find(replica.listed.service);
    if (!was_evacuated || replica.evacuated || warmup == m_warmups.end()) {
      continue;
    }
    replica.warm_after_evacuation = now + warmup->second.duration;
    replica.warm_at = std::max(replica.warm_at, replica.warm_after_evacuation);
    UpdateRates(&replica, now);
  }
}

void ReplicaPool::SetWarmups(
    std::unordered_map<std::string, ReplicaWarmup> warmups, TimePoint now) {
  if (m_warmups == warmups) return;
  m_warmups = std::move(warmups);
  for (auto& [id, replica] : m_replicas) UpdateRates(&replica, now);
}

void ReplicaPool::CopyNotice(Replica* replica) const {
  replica->says_draining = m_notices.IsDraining(replica->listed.id);
  replica->back_off_end = m_notices.BackOffEnd(replica->listed.id);
}

ReplicaNotices::Change ReplicaPool::RecordNotice(const std::string& id,
                                                 const ReplicaNotice& notice,
                                                 TimePoint now) {
  const ReplicaNotices::Change change = m_notices.Record(id, notice, now);
  if (change == ReplicaNotices::Change::kNone) return change;
  m_counters.Add(change == ReplicaNotices::Change::kDraining
                     ? ReplicaPoolCounter::kDrainingAnnounced
                     : ReplicaPoolCounter::kBackOffsAnnounced);
  const auto replica = m_replicas.find(id);
  if (replica == m_replicas.end()) return change;
  // The list may have been sooner than the answer.
  if (replica->second.listed.draining) {
    m_notices.RecordListed(id, ReplicaNotices::Listed::kDraining, now);
  }
  CopyNotice(&replica->second);
  return change;
}

void ReplicaPool::SetRateSharers(RateSharers sharers, TimePoint now) {
  m_rate_sharers = std::move(sharers);
  for (auto& [id, replica] : m_replicas) UpdateRates(&replica, now);
}

double ReplicaPool::ShareOf(double max_requests_per_s,
                            const Replica& replica) const {
  return ShareOfRate(std::max(max_requests_per_s, kMinRatePerSecond),
                     {replica.listed.id, replica.listed.availability_zone},
                     m_rate_sharers);
}

void ReplicaPool::UpdateRates(Replica* replica, TimePoint now) const {
  const auto set = [this, replica, now](std::optional<RateBucket>* bucket,
                                        double max_requests_per_s) {
    const double share = ShareOf(max_requests_per_s, *replica);
    if (*bucket) {
      (*bucket)->SetRate(share, now);
    } else {
      bucket->emplace(share, now);
    }
  };
  if (replica->max_requests_per_s == ReplicaNotice::kNoRateLimit) {
    replica->rate.reset();
  } else {
    set(&replica->rate, replica->max_requests_per_s);
  }
  const auto warmup = m_warmups.find(replica->listed.service);
  const bool is_limited = now < replica->warm_at && warmup != m_warmups.end() &&
                          warmup->second.max_requests_per_s > 0;
  if (is_limited) {
    set(&replica->cold_rate, warmup->second.max_requests_per_s);
  } else {
    replica->cold_rate.reset();
  }
}

TimePoint ReplicaPool::RateAvailableAt(const Replica& replica, TimePoint now) {
  TimePoint available_at = now;
  if (replica.rate) {
    available_at = std::max(available_at, replica.rate->NextTokenAt(now));
  }
  if (replica.cold_rate && now < replica.warm_at) {
    const TimePoint cold_available_at =
        std::min(replica.cold_rate->NextTokenAt(now), replica.warm_at);
    available_at = std::max(available_at, cold_available_at);
  }
  return available_at;
}

bool ReplicaPool::RecordRateLimit(const std::string& id,
                                  std::optional<double> max_requests_per_s,
                                  TimePoint now) {
  const auto found = m_replicas.find(id);
  if (found == m_replicas.end() || !max_requests_per_s) return false;
  Replica& replica = found->second;
  if (replica.max_requests_per_s == *max_requests_per_s) return false;
  replica.max_requests_per_s = *max_requests_per_s;
  UpdateRates(&replica, now);
  if (*max_requests_per_s != ReplicaNotice::kNoRateLimit) {
    m_counters.Add(ReplicaPoolCounter::kRateLimitsStated);
  }
  return true;
}

bool ReplicaPool::HasRate(const Replica& replica, Reach reach,
                          TimePoint now) const {
  const bool is_up_to_relay = reach == Reach::kByRelay &&
                              replica.listed.availability_zone != m_own_zone;
  return is_up_to_relay || RateAvailableAt(replica, now) <= now;
}

void ReplicaPool::CountAvoided(const Replica& replica) {
  if (replica.evacuated) {
    return m_counters.Add(ReplicaPoolCounter::kChoicesWithoutEvacuated);
  }
  m_counters.Add(replica.says_draining
                     ? ReplicaPoolCounter::kChoicesWithoutDraining
                     : ReplicaPoolCounter::kChoicesWithoutBackingOff);
}

std::optional<ChosenReplica> ReplicaPool::Choose(
    const std::string& service, const std::vector<std::string>& excluded,
    TimePoint now, double draw) {
  return ChooseReachable(service, excluded, Reach::kDirect,
                         PlaceRequest(service, draw, now), now);
}

std::optional<ChosenReplica> ReplicaPool::ChooseReachable(
    const std::string& service, const std::vector<std::string>& excluded,
    Reach reach, const RequestPlacement& placement, TimePoint now) {
  const auto usable = m_usable.find(service);
  if (usable == m_usable.end()) return std::nullopt;
  // Jitter keeps entries with the same information from choosing the same
  // replica.
  std::uniform_real_distribution<double> jitter(0.9, 1.1);
  const std::size_t share = ConnectionShare(service);
  const Replica* best = nullptr;
  double best_cost = 0;
  double best_rank = 0;
  for (const std::string& id : usable->second) {
    if (std::ranges::find(excluded, id) != excluded.end()) continue;
    const Replica& replica = m_replicas.at(id);
    if (replica.sends.OpenSends() >= share) continue;
    if (replica.sends.IsAddressOfAnother(now)) continue;
    if (!WantsRequests(replica, now)) {
      CountAvoided(replica);
      continue;
    }
    if (!HasRate(replica, reach, now)) {
      m_counters.Add(ReplicaPoolCounter::kChoicesWithoutRate);
      continue;
    }
    const double cost =
        ExpectedCostUs(replica, placement, now) * jitter(m_random);
    const double rank = cost + PlacementCostUs(replica, placement, now);
    if (best != nullptr && rank >= best_rank) continue;
    best = &replica;
    best_cost = cost;
    best_rank = rank;
  }
  if (best == nullptr) return std::nullopt;
  CountOverflow(placement, *best);
  return ChosenReplica{best->listed.id, best->listed.address,
                       Duration(static_cast<Duration::rep>(best_cost)),
                       best->listed.availability_zone};
}

std::vector<std::string> ReplicaPool::RemoteZones(const std::string& service,
                                                  TimePoint now, double draw) {
  const RequestPlacement placement = PlaceRequest(service, draw, now);
  const auto choice =
      ChooseReachable(service, {}, Reach::kByRelay, placement, now);
  if (!choice || choice->availability_zone == m_own_zone) return {};
  if (placement.zone != nullptr &&
      choice->availability_zone == *placement.zone) {
    return {*placement.zone};
  }
  std::vector<std::string> zones;
  for (const std::string& id : m_usable.at(service)) {
    const Replica& replica = m_replicas.at(id);
    const std::string& zone = replica.listed.availability_zone;
    const bool is_remote = zone != m_own_zone &&
                           !replica.sends.IsAddressOfAnother(now) &&
                           WantsRequests(replica, now) &&
                           !replica.sends.IsLikelyPaused(replica.load, now) &&
                           std::ranges::find(zones, zone) == zones.end();
    if (is_remote) zones.push_back(zone);
  }
  return zones;
}

std::size_t ReplicaPool::ConnectionShare(const std::string& service) const {
  const auto share = m_connection_shares.find(service);
  return share == m_connection_shares.end()
             ? std::numeric_limits<std::size_t>::max()
             : share->second;
}

// A replica without an answer is assumed to have the latency of its service.
// Otherwise, with many entries and many replicas, most sends would go to
// replicas that have not been tried.
double ReplicaPool::ExpectedLatencyUs(const Replica& replica,
                                      TimePoint now) const {
  const auto service = m_service_latency_us.find(replica.listed.service);
  std::optional<double> service_latency_us;
  if (service != m_service_latency_us.end()) {
    service_latency_us = service->second;
  }
  if (replica.sends.HasLatency()) {
    return replica.sends.LatencyUs(service_latency_us, now);
  }
  return service_latency_us.value_or(kInitialLatencyUs);
}

double ReplicaPool::ExpectedCostUs(const Replica& replica,
                                   const RequestPlacement& placement,
                                   TimePoint now) const {
  // A replica that warms up reports a slowness that includes the warmup.
  const double slowness =
      std::max(replica.load.Slowness(now),
               now < replica.warm_at ? kWarmupLatencyFactor : 0.0);
  const double latency = ExpectedLatencyUs(replica, now) * slowness;
  const double queue = static_cast<double>(replica.sends.OpenSends()) +
                       replica.load.QueueOfOthers(now);
  const double slots = std::max<std::uint32_t>(replica.listed.slots, 1);
  // Sends beyond the free slots wait; the others only share the replica.
  const double waiting = std::max(queue + 1 - slots, 0.0);
  const double concurrent = queue - waiting;
  double cost =
      latency * (1 + (waiting + kConcurrentSendWeight * concurrent) / slots);
  cost += replica.sends.FailureRatio(now) * kFailureCostUs;
  if (replica.sends.IsLikelyPaused(replica.load, now)) cost += kPauseCostUs;
  if (replica.listed.availability_zone != m_own_zone) {
    cost += ZoneCostUs(replica, latency, placement);
  }
  if (replica.sends.IsClosing(now)) cost += kFailureCostUs;
  return cost;
}

void ReplicaPool::SetZoneOverflow(const ZoneOverflowOptions& options) {
  m_overflow_options = options;
  m_overflows.clear();
}

double ReplicaPool::DrawPlacement() {
  if (!m_overflow_options.enabled) return kOwnZoneDraw;
  return std::uniform_real_distribution<double>(0, 1)(m_random);
}

void ReplicaPool::VisitZoneShares(
    const std::function<void(const std::string& zone, double share)>& visitor)
    const {
  std::map<std::string, double> sums;
  for (const auto& [service, state] : m_overflows) {
    for (const auto& share : state.overflow.Shares()) {
      sums[share.zone] += share.share;
    }
  }
  for (const auto& [zone, sum] : sums) {
    visitor(zone, sum / static_cast<double>(m_overflows.size()));
  }
}

ReplicaPool::RequestPlacement ReplicaPool::PlaceRequest(
    const std::string& service, double draw, TimePoint now) {
  if (!m_overflow_options.enabled) return {};
  ServiceOverflow& state =
      m_overflows.try_emplace(service, m_overflow_options).first->second;
  const bool is_due =
      !state.decided_at || now - *state.decided_at >= ZoneOverflow::kInterval;
  if (is_due) DecideOverflow(service, &state, now);
  const ZoneOverflow& overflow = state.overflow;
  switch (overflow.Place(draw)) {
    case ZoneOverflow::Placement::kUndecided:
      return {};
    case ZoneOverflow::Placement::kOwnZone:
      return {&overflow, &m_own_zone};
    case ZoneOverflow::Placement::kOtherZone:
      break;
  }
  // Without a replica in the own zone, the cost of each replica decides among
  // the other zones.
  const bool by_cost = overflow.Reason() == OverflowReason::kNoReplica;
  return {&overflow, by_cost ? nullptr : overflow.ZoneOf(draw)};
}

void ReplicaPool::DecideOverflow(const std::string& service,
                                 ServiceOverflow* state, TimePoint now) const {
  state->decided_at = now;
  state->own = {};
  for (ZoneLoad& other : state->others) {
    other.usable_slots = other.known_slots = other.known_busy = 0;
    other.known_used = 0;
    other.latency_us.reset();
  }
  const auto usable = m_usable.find(service);
  if (usable == m_usable.end()) return;
  for (const std::string& id : usable->second) {
    const Replica& replica = m_replicas.at(id);
    if (IsInService(replica, now)) AddLoad(replica, state, now);
  }
  state->overflow.Decide(state->own, state->others);
}

bool ReplicaPool::IsInService(const Replica& replica, TimePoint now) const {
  return WantsRequests(replica, now) &&
         !replica.sends.IsAddressOfAnother(now) &&
         replica.sends.FailureRatio(now) < kDownFailureRatio;
}

void ReplicaPool::AddLoad(const Replica& replica, ServiceOverflow* state,
                          TimePoint now) const {
  const std::string& zone = replica.listed.availability_zone;
  ZoneLoad* load = &state->own;
  if (zone != m_own_zone) {
    auto known = std::ranges::find(state->others, zone, &ZoneLoad::zone);
    if (known == state->others.end()) {
      state->others.push_back({.zone = zone, .latency_us = std::nullopt});
      known = std::prev(state->others.end());
    }
    load = &*known;
  }
  const std::uint32_t reported_slots = replica.load.Slots();
  const std::uint32_t slots = std::max<std::uint32_t>(
      reported_slots == 0 ? replica.listed.slots : reported_slots, 1);
  load->usable_slots += slots;
  if (replica.sends.HasLatency()) {
    // The mean by slots, without a sum of its own.
    const double latency_us =
        ExpectedLatencyUs(replica, now) * replica.load.Slowness(now);
    const double mean_us = load->latency_us.value_or(latency_us);
    load->latency_us =
        mean_us + (latency_us - mean_us) * slots / load->usable_slots;
  }
  if (!replica.load.HasMeansSince(now - ZoneOverflow::kMaxReportAge)) return;
  load->known_slots += slots;
  load->known_busy += replica.load.MeanBusy();
  load->known_used += replica.load.MeanUsed();
}

double ReplicaPool::PlacementCostUs(const Replica& replica,
                                    const RequestPlacement& placement,
                                    TimePoint now) const {
  if (placement.zone == nullptr) return 0;
  // A request that may leave does so only if it costs less.
  const std::string& zone = replica.listed.availability_zone;
  const bool is_placed = zone == *placement.zone || zone == m_own_zone;
  if (!is_placed) {
    return placement.overflow->HasRoom(zone) ? kMisplacedCostUs
                                             : 2 * kMisplacedCostUs;
  }
  const bool is_down = replica.sends.IsClosing(now) ||
                       replica.sends.FailureRatio(now) >= kDownFailureRatio;
  if (is_down) return 2 * kMisplacedCostUs;
  return replica.sends.IsLikelyPaused(replica.load, now) ? kMisplacedCostUs : 0;
}

double ReplicaPool::ZoneCostUs(const Replica& replica, double latency_us,
                               const RequestPlacement& placement) const {
  if (placement.overflow == nullptr) {
    return std::max(kMinRemoteZoneCostUs, kRemoteZoneLatencyRatio * latency_us);
  }
  // The latency of a replica that has answered includes the round trip.
  return replica.sends.HasLatency()
             ? static_cast<double>(m_overflow_options.cross_zone_price.count())
             : placement.overflow->ExtraCostUs(
                   replica.listed.availability_zone);
}

void ReplicaPool::CountOverflow(const RequestPlacement& placement,
                                const Replica& chosen) {
  const std::string& zone = chosen.listed.availability_zone;
  const bool is_overflow =
      placement.overflow != nullptr && zone != m_own_zone &&
      (placement.zone == nullptr || zone == *placement.zone);
  if (!is_overflow) return;
  switch (placement.overflow->Reason()) {
    case OverflowReason::kBusy:
      return m_counters.Add(ReplicaPoolCounter::kOverflowsBusy);
    case OverflowReason::kSlow:
      return m_counters.Add(ReplicaPoolCounter::kOverflowsSlow);
    case OverflowReason::kNoReplica:
      return m_counters.Add(ReplicaPoolCounter::kOverflowsWithoutReplica);
  }
}

std::uint64_t ReplicaPool::BeginSend(const std::string& id, TimePoint now) {
  const std::uint64_t send = ++m_last_send_number;
  const auto replica = m_replicas.find(id);
  if (replica == m_replicas.end()) return send;
  replica->second.sends.Begin(send, now);
  if (replica->second.rate) replica->second.rate->Take(now);
  if (replica->second.cold_rate) replica->second.cold_rate->Take(now);
  return send;
}

void ReplicaPool::EndSend(const std::string& id, std::uint64_t send,
                          const ReplicaAnswer& answer, TimePoint now) {
  const auto found = m_replicas.find(id);
  if (found == m_replicas.end()) return;
  Replica& replica = found->second;
  const std::optional<Duration> latency = replica.sends.End(send, answer, now);
  if (!latency) return;
  if (answer.load) {
    replica.load.Record(*answer.load, replica.sends.OpenSends(), now);
    if (m_overflow_options.enabled) replica.load.RecordMeans(*answer.load, now);
  }
  if (answer.end != SendEnd::kAnswered) return;
  const double slowness = answer.load ? answer.load->slowness.value_or(1) : 1.0;
  RecordLatency(&replica, static_cast<double>(latency->count()) / slowness,
                answer.IsSuccess());
}

void ReplicaPool::RecordLatency(Replica* replica, double latency_us,
                                bool is_success) {
  const auto overflow = m_overflows.find(replica->listed.service);
  if (is_success && overflow != m_overflows.end()) {
    const std::string& zone = replica->listed.availability_zone;
    overflow->second.overflow.RecordLatency(
        zone == m_own_zone ? std::string_view{} : zone, latency_us);
  }
  if (is_success) {
    const auto [service, first] =
        m_service_latency_us.try_emplace(replica->listed.service, latency_us);
    if (!first) {
      service->second +=
          SendHistory::kSampleWeight * (latency_us - service->second);
    }
  }
  replica->sends.RecordLatency(latency_us);
}

void ReplicaPool::CancelSend(const std::string& id, std::uint64_t send) {
  const auto found = m_replicas.find(id);
  if (found != m_replicas.end()) found->second.sends.Cancel(send);
}

std::size_t ReplicaPool::CountUsable(const std::string& service, TimePoint now,
                                     Reach reach) const {
  const auto usable = m_usable.find(service);
  if (usable == m_usable.end()) return 0;
  return static_cast<std::size_t>(std::ranges::count_if(
      usable->second, [this, reach, now](const std::string& id) {
        const Replica& replica = m_replicas.at(id);
        return WantsRequests(replica, now) && HasRate(replica, reach, now);
      }));
}

std::optional<TimePoint> ReplicaPool::UsableAt(const std::string& service,
                                               TimePoint now) const {
  const auto usable = m_usable.find(service);
  if (usable == m_usable.end()) return std::nullopt;
  std::optional<TimePoint> earliest;
  for (const std::string& id : usable->second) {
    const Replica& replica = m_replicas.at(id);
    if (replica.says_draining || replica.evacuated) continue;
    const TimePoint usable_at =
        std::max(RateAvailableAt(replica, now), replica.back_off_end);
    if (!earliest || usable_at < *earliest) earliest = usable_at;
  }
  return earliest;
}

}  // namespace chicoryvale
