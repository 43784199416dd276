#include "upstream/availability_tracker.h"

#include <algorithm>
#include <tuple>
#include <utility>

namespace chicoryvale {
namespace {

/// Maximum number of changes kept until PopChanges is called.
constexpr std::size_t kMaxPendingChanges = 4096;

constexpr std::size_t Index(AvailabilitySource source) {
  return static_cast<std::size_t>(source);
}

bool Precedes(const AvailabilitySignal& a, const AvailabilitySignal& b) {
  return std::tie(a.stamp, a.unavailable) < std::tie(b.stamp, b.unavailable);
}

}  // namespace

AvailabilityTracker::Record* AvailabilityTracker::FindOrCreateRecord(
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
  return record.operator_draining || IsDrainingByHeader(record, now) ||
         IsLeavingByPlatform(record, now);
}

bool AvailabilityTracker::IsDrainingByHeader(const Record& record,
                                             TimePoint now) const {
  constexpr std::size_t kIndex = Index(AvailabilitySource::kDrainHeader);
  if (!record.signals[kIndex].unavailable) return false;
  if (record.platform_leaving) return true;
  return now - record.signal_updated_at[kIndex] < m_settings.drain_header_ttl;
}

bool AvailabilityTracker::IsUnreachable(const Record& record,
                                        TimePoint now) const {
  constexpr std::size_t kIndex = Index(AvailabilitySource::kConnectFailures);
  if (!record.signals[kIndex].unavailable) return false;
  const TimePoint since = record.signal_updated_at[kIndex];
  if (record.serving_sent_at && *record.serving_sent_at >= since) return false;
  return now - since < m_settings.connect_failure_ttl;
}

bool AvailabilityTracker::IsLeavingByPlatform(const Record& record,
                                              TimePoint now) const {
  if (!record.platform_leaving) return false;
  const TimePoint since = record.platform_changed_at;
  if (record.serving_sent_at && *record.serving_sent_at >= since) return false;
  return now - since >= m_settings.platform_list_grace;
}

void AvailabilityTracker::OnAnswer(Record* record, bool draining,
                                   TimePoint sent_at, TimePoint now) {
  record->connect_failures = 0;
  if (draining) {
    UpdateSignal(record, AvailabilitySource::kDrainHeader, true, now);
    return;
  }
  // An answer to an attempt that was sent before the last signal is older than
  // the signal.
  constexpr std::size_t kHeaderIndex = Index(AvailabilitySource::kDrainHeader);
  if (record->signals[kHeaderIndex].unavailable) {
    if (sent_at < record->signal_updated_at[kHeaderIndex]) return;
    UpdateSignal(record, AvailabilitySource::kDrainHeader, false, now);
  }
  constexpr std::size_t kConnectIndex =
      Index(AvailabilitySource::kConnectFailures);
  if (record->signals[kConnectIndex].unavailable &&
      sent_at >= record->signal_updated_at[kConnectIndex]) {
    UpdateSignal(record, AvailabilitySource::kConnectFailures, false, now);
  }
  if (!record->serving_sent_at || *record->serving_sent_at < sent_at) {
    record->serving_sent_at = sent_at;
  }
}

void AvailabilityTracker::OnConnectFailure(Record* record, TimePoint now) {
  ++record->connect_failures;
  if (record->connect_failures < m_settings.connect_failure_threshold) return;
  UpdateSignal(record, AvailabilitySource::kConnectFailures, true, now);
}

void AvailabilityTracker::OnPlatformList(
    const std::vector<PlatformReplica>& list, TimePoint now) {
  std::unordered_map<std::string, bool> leaving_by_address;
  for (const PlatformReplica& entry : list) {
    leaving_by_address[entry.replica.host_port] = entry.leaving;
  }
  for (auto& [host_port, record] : m_records) {
    const auto found = leaving_by_address.find(host_port);
    const bool is_leaving = found != leaving_by_address.end() && found->second;
    if (is_leaving == record.platform_leaving) continue;
    record.platform_leaving = is_leaving;
    record.platform_changed_at = now;
  }
}

bool AvailabilityTracker::Merge(const AvailabilitySignal& signal,
                                TimePoint now) {
  const auto found = m_records.find(signal.replica.host_port);
  if (found == m_records.end()) return false;
  const std::size_t index = Index(signal.source);
  if (index >= kAvailabilitySourceCount) return false;
  AvailabilitySignal& current = found->second.signals[index];
  if (!Precedes(current, signal)) return false;
  current = signal;
  found->second.signal_updated_at[index] = now;
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

std::vector<AvailabilitySignal> AvailabilityTracker::PopChanges() {
  const std::deque<AvailabilitySignal> changes = std::exchange(m_changes, {});
  return {changes.begin(), changes.end()};
}

void AvailabilityTracker::AddChange(const AvailabilitySignal& signal) {
  if (m_changes.size() >= kMaxPendingChanges) m_changes.pop_front();
  m_changes.push_back(signal);
}

void AvailabilityTracker::UpdateSignal(Record* record,
                                       AvailabilitySource source,
                                       bool unavailable, TimePoint now) {
  const std::size_t index = Index(source);
  AvailabilitySignal& signal = record->signals[index];
  record->signal_updated_at[index] = now;
  if (signal.stamp > 0 && signal.unavailable == unavailable) return;
  signal.unavailable = unavailable;
  ++signal.stamp;
  AddChange(signal);
}

}  // namespace chicoryvale
