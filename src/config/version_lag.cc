#include "config/version_lag.h"

#include <algorithm>

namespace chicoryvale {
namespace {

/// Maximum number of missing versions whose times are remembered. Beyond it,
/// the newest entry stands for several versions, with the time of the first.
constexpr std::size_t kMaxMissing = 64;

}  // namespace

void VersionLag::OnHeard(std::uint64_t version, const Address& from,
                         TimePoint now) {
  if (version <= HighestVersion()) return;
  if (m_missing.size() < kMaxMissing) {
    m_missing.push_back({version, now, from});
    return;
  }
  m_missing.back().version = version;
  m_missing.back().from = from;
}

void VersionLag::OnAdopted(std::uint64_t version) {
  m_adopted_version = std::max(m_adopted_version, version);
  while (!m_missing.empty() && m_missing.front().version <= m_adopted_version) {
    m_missing.pop_front();
  }
}

std::uint64_t VersionLag::HighestVersion() const {
  return m_missing.empty() ? m_adopted_version : m_missing.back().version;
}

std::optional<VersionLag::HeardVersion> VersionLag::Newest() const {
  if (m_missing.empty()) return std::nullopt;
  return m_missing.back();
}

Duration VersionLag::BehindFor(TimePoint now) const {
  if (m_missing.empty()) return Duration::zero();
  return now - m_missing.front().heard_at;
}

}  // namespace chicoryvale
