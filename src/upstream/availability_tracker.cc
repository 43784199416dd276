#include "upstream/availability_tracker.h"

#include <algorithm>
#include <tuple>
#include <utility>

namespace chicoryvale {
namespace {

/// Changes kept for TakeChanges.
constexpr std::size_t kMaxChanges = 4096;

constexpr std::size_t Index(AvailabilitySource source) {
  return static_cast<std::size_t>(source);
}

bool Precedes(const AvailabilitySignal& a, const AvailabilitySignal& b) {
  return std::tie(a.stamp, a.unavailable) < std::tie(b.stamp, b.unavailable);
}

}  // namespace

AvailabilityTracker::Record* AvailabilityTracker::RecordOf(
    const Address& replica) {
  const auto [it, inserted] = m_records.try_emplace(replica.host_port);
  if (inserted) {
    for (std::size_t i = 0; i < kAvailabilitySourceCount; ++i) {
      it->second.signals[i].replica = replica;
      it->second.signals[i].source = static_cast<AvailabilitySource>(i);
    }
  }
  return &it->second;
}

bool AvailabilityTracker::IsDraining(const Record& record,
                                     TimePoint now) const {
  return record.operator_draining || DrainHolds(record, now) ||
         PlatformHolds(record, now);
}

bool AvailabilityTracker::DrainHolds(const Record& record,
                                     TimePoint now) const {
  constexpr std::size_t kIndex = Index(AvailabilitySource::kDrainHeader);
  if (!record.signals[kIndex].unavailable) return false;
  if (record.platform_leaving) return true;
  return now - record.heard_at[kIndex] < m_settings.drain_memory;
}

bool AvailabilityTracker::IsUnreachable(const Record& record,
                                        TimePoint now) const {
  constexpr std::size_t kIndex = Index(AvailabilitySource::kFailedProbes);
  if (!record.signals[kIndex].unavailable) return false;
  const TimePoint heard = record.heard_at[kIndex];
  if (record.serving_as_of && *record.serving_as_of >= heard) return false;
  return now - heard < m_settings.probe_memory;
}

bool AvailabilityTracker::PlatformHolds(const Record& record,
                                        TimePoint now) const {
  if (!record.platform_leaving) return false;
  const TimePoint since = record.platform_since;
  if (record.serving_as_of && *record.serving_as_of >= since) return false;
  return now - since >= m_settings.platform_grace;
}

void AvailabilityTracker::OnAnswer(Record* record, bool draining,
                                   TimePoint sent, TimePoint now) {
  record->connect_failures = 0;
  if (draining) {
    Observe(record, AvailabilitySource::kDrainHeader, true, now);
    return;
  }
  // An answer to a request that was sent before the last sign is older than it.
  constexpr std::size_t kDrain = Index(AvailabilitySource::kDrainHeader);
  if (record->signals[kDrain].unavailable) {
    if (sent < record->heard_at[kDrain]) return;
    Observe(record, AvailabilitySource::kDrainHeader, false, now);
  }
  constexpr std::size_t kProbes = Index(AvailabilitySource::kFailedProbes);
  if (record->signals[kProbes].unavailable &&
      sent >= record->heard_at[kProbes]) {
    Observe(record, AvailabilitySource::kFailedProbes, false, now);
  }
  if (!record->serving_as_of || *record->serving_as_of < sent) {
    record->serving_as_of = sent;
  }
}

void AvailabilityTracker::OnConnectFailure(Record* record, TimePoint now) {
  ++record->connect_failures;
  if (record->connect_failures < m_settings.probe_failures) return;
  Observe(record, AvailabilitySource::kFailedProbes, true, now);
}

void AvailabilityTracker::OnPlatformList(
    const std::vector<PlatformReplica>& list, TimePoint now) {
  std::unordered_map<std::string, bool> leaving;
  for (const PlatformReplica& entry : list) {
    leaving[entry.replica.host_port] = entry.leaving;
  }
  for (auto& [host_port, record] : m_records) {
    const auto found = leaving.find(host_port);
    const bool listed = found != leaving.end() && found->second;
    if (listed == record.platform_leaving) continue;
    record.platform_leaving = listed;
    record.platform_since = now;
  }
}

bool AvailabilityTracker::Merge(const AvailabilitySignal& signal,
                                TimePoint now) {
  const auto found = m_records.find(signal.replica.host_port);
  if (found == m_records.end()) return false;
  const std::size_t index = Index(signal.source);
  if (index >= kAvailabilitySourceCount) return false;
  AvailabilitySignal& known = found->second.signals[index];
  if (!Precedes(known, signal)) return false;
  known = signal;
  found->second.heard_at[index] = now;
  AddChange(signal);
  return true;
}

std::vector<AvailabilitySignal> AvailabilityTracker::Signals() const {
  std::vector<AvailabilitySignal> signals;
  for (const auto& [host_port, record] : m_records) {
    std::ranges::copy_if(
        record.signals, std::back_inserter(signals),
        [](const AvailabilitySignal& s) { return s.stamp > 0; });
  }
  return signals;
}

std::vector<AvailabilitySignal> AvailabilityTracker::TakeChanges() {
  const std::deque<AvailabilitySignal> changes = std::exchange(m_changes, {});
  return {changes.begin(), changes.end()};
}

void AvailabilityTracker::AddChange(const AvailabilitySignal& signal) {
  if (m_changes.size() >= kMaxChanges) m_changes.pop_front();
  m_changes.push_back(signal);
}

void AvailabilityTracker::Observe(Record* record, AvailabilitySource source,
                                  bool unavailable, TimePoint now) {
  const std::size_t index = Index(source);
  AvailabilitySignal& signal = record->signals[index];
  record->heard_at[index] = now;
  if (signal.stamp > 0 && signal.unavailable == unavailable) return;
  signal.unavailable = unavailable;
  ++signal.stamp;
  AddChange(signal);
}

}  // namespace chicoryvale
