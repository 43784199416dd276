#include "upstream/replica_picker.h"

#include <algorithm>
#include <cassert>

#include "base/rendezvous.h"

namespace chicoryvale {

ReplicaPicker::ReplicaPicker(const ReplicaPickerSettings& settings,
                             const AvailabilityTracker* availability,
                             std::uint64_t seed)
    : m_settings(settings), m_availability(availability), m_random(seed) {
  assert(availability != nullptr);
}

PickResult ReplicaPicker::Pick(const std::vector<ReplicaMember>& members,
                               const std::vector<Address>& avoid,
                               TimePoint now) {
  PickResult result = CollectCandidates(members, avoid, now);
  if (!m_free.empty()) result.state = Choose(now);
  return result;
}

PickResult ReplicaPicker::PickByHash(const std::vector<ReplicaMember>& members,
                                     const std::vector<Address>& avoid,
                                     std::uint64_t key, TimePoint now) {
  PickResult result = CollectCandidates(members, avoid, now);
  if (m_usable.empty()) return result;
  const auto rank = [key](const ReplicaMember* member) {
    return RendezvousWeight(member->state->GetAddress().host_port, key);
  };
  const ReplicaMember* first = *std::ranges::max_element(m_usable, {}, rank);
  if (std::ranges::find(m_free, first) != m_free.end()) {
    result.state = first->state;
  }
  return result;
}

PickResult ReplicaPicker::CollectCandidates(
    const std::vector<ReplicaMember>& members,
    const std::vector<Address>& avoid, TimePoint now) {
  PickResult result;
  Collect(members, avoid, Pass::kPreferred, now);
  if (m_usable.empty() && !avoid.empty()) {
    Collect(members, avoid, Pass::kAvoided, now);
    result.avoided = !m_usable.empty();
  }
  if (m_usable.empty()) {
    Collect(members, avoid, Pass::kPaused, now);
    // Attempts are not queued behind the trial of a failed replica.
    if (m_free.empty()) m_usable.clear();
  }
  result.failure =
      m_usable.empty() ? PickFailure::kNoneUsable : PickFailure::kAllBusy;
  return result;
}

void ReplicaPicker::Collect(const std::vector<ReplicaMember>& members,
                            const std::vector<Address>& avoid, Pass pass,
                            TimePoint now) {
  m_usable.clear();
  m_free.clear();
  double latency_sum_us = 0.0;
  int latency_count = 0;
  for (const ReplicaMember& member : members) {
    const ReplicaState& state = *member.state;
    if (state.LatencyUs() > 0.0) {
      latency_sum_us += state.LatencyUs();
      ++latency_count;
    }
    if (!IsUsable(state, avoid, pass, now)) continue;
    m_usable.push_back(&member);
    if (state.InFlight() < state.Limit(now)) m_free.push_back(&member);
  }
  m_mean_latency_us =
      latency_count > 0
          ? latency_sum_us / latency_count
          : static_cast<double>(m_settings.default_latency.count());
}

bool ReplicaPicker::IsUsable(const ReplicaState& state,
                             const std::vector<Address>& avoid, Pass pass,
                             TimePoint now) const {
  const AvailabilityTracker::Record& availability = *state.Availability();
  if (m_availability->IsDraining(availability, now)) return false;
  const bool failed =
      state.IsPaused(now) || m_availability->IsUnreachable(availability, now);
  if (pass != Pass::kPaused && failed) return false;
  if (pass == Pass::kAvoided || avoid.empty()) return true;
  return std::ranges::find(avoid, state.GetAddress()) == avoid.end();
}

ReplicaState* ReplicaPicker::Choose(TimePoint now) {
  const std::size_t count = m_free.size();
  if (count == 1) return m_free[0]->state;
  const std::size_t first = m_random() % count;
  const std::size_t second = (first + 1 + m_random() % (count - 1)) % count;
  const double first_cost = Cost(*m_free[first], now);
  const double second_cost = Cost(*m_free[second], now);
  return m_free[first_cost <= second_cost ? first : second]->state;
}

double ReplicaPicker::Cost(const ReplicaMember& member, TimePoint now) const {
  const double cost = member.state->Cost(now, m_mean_latency_us);
  return member.own_zone ? cost : cost * m_settings.other_zone_factor;
}

}  // namespace chicoryvale
