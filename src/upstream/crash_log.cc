#include "upstream/crash_log.h"

#include <algorithm>
#include <unordered_map>

namespace chicoryvale {
namespace {

/// Maximum number of crashes that are kept. The oldest are removed first.
constexpr std::size_t kMaxEntries = 4096;
/// Age above which a crash is removed when another one is added.
constexpr Duration kRetention = seconds(600);

}  // namespace

void CrashLog::Add(const CrashKey& key, const UpstreamCrash& crash,
                   TimePoint now) {
  while (!m_entries.empty() && (m_entries.size() >= kMaxEntries ||
                                m_entries.front().at < now - kRetention)) {
    m_entries.pop_front();
  }
  m_entries.push_back(
      {now, crash.replica, key.fingerprint, key.Origin(), crash.proven});
}

std::vector<std::uint64_t> CrashLog::Retract(std::uint64_t replica,
                                             TimePoint since) {
  std::vector<std::uint64_t> fingerprints;
  std::erase_if(m_entries, [&](const Entry& entry) {
    const bool retracted = entry.replica == replica && entry.at >= since;
    if (retracted) fingerprints.push_back(entry.fingerprint);
    return retracted;
  });
  return fingerprints;
}

std::size_t CrashLog::CountUnrelatedCrashes(const CrashKey& key, TimePoint at,
                                            Duration window) const {
  std::unordered_map<std::uint64_t, bool> related_by_replica;
  for (const Entry& entry : m_entries) {
    if (entry.at < at - window || entry.at > at + window) continue;
    // A variant of the request, from the same origin, may have caused the
    // crash.
    const bool same_origin_unproven =
        entry.origin == key.Origin() && !entry.proven;
    bool& related = related_by_replica[entry.replica];
    related =
        related || entry.fingerprint == key.fingerprint || same_origin_unproven;
  }
  return static_cast<std::size_t>(std::ranges::count_if(
      related_by_replica, [](const auto& entry) { return !entry.second; }));
}

}  // namespace chicoryvale
