#include "upstream/crash_log.h"

#include <algorithm>
#include <unordered_map>

namespace chicoryvale {
namespace {

constexpr std::size_t kMaxEntries = 4096;
constexpr Duration kMemory = seconds(600);

}  // namespace

void CrashLog::Add(const CrashKey& key, const UpstreamCrash& death,
                   TimePoint now) {
  while (!m_entries.empty() && (m_entries.size() >= kMaxEntries ||
                                m_entries.front().at < now - kMemory)) {
    m_entries.pop_front();
  }
  m_entries.push_back(
      {now, death.replica, key.fingerprint, key.Origin(), death.proven});
}

std::vector<std::uint64_t> CrashLog::TakeBack(std::uint64_t replica,
                                              TimePoint since) {
  std::vector<std::uint64_t> fingerprints;
  std::erase_if(m_entries, [&](const Entry& entry) {
    const bool taken = entry.replica == replica && entry.at >= since;
    if (taken) fingerprints.push_back(entry.fingerprint);
    return taken;
  });
  return fingerprints;
}

std::size_t CrashLog::CountOthers(const CrashKey& key, TimePoint at,
                                  Duration window) const {
  std::unordered_map<std::uint64_t, bool> explained;
  for (const Entry& entry : m_entries) {
    if (entry.at < at - window || entry.at > at + window) continue;
    // A variant of the request, from the same origin, may have done it.
    const bool by_origin = entry.origin == key.Origin() && !entry.proven;
    bool& by_request = explained[entry.replica];
    by_request =
        by_request || entry.fingerprint == key.fingerprint || by_origin;
  }
  return static_cast<std::size_t>(std::ranges::count_if(
      explained, [](const auto& entry) { return !entry.second; }));
}

}  // namespace chicoryvale
