#include "upstream/crash_trials.h"

#include <algorithm>
#include <string>

namespace chicoryvale {

bool CrashTrials::IsDue(const CrashMark& mark, Duration since_change) const {
  if (!IsAllowed(mark)) return false;
  const Duration overdue = since_change - DelayOf(mark);
  return overdue >= Duration::zero() && IsOwnTurn(mark, overdue);
}

Duration CrashTrials::TimeToFirst(const CrashMark& mark,
                                  Duration since_change) const {
  return std::max(DelayOf(mark) - since_change, Duration::zero());
}

Duration CrashTrials::DelayOf(const CrashMark& mark) const {
  Duration delay = m_settings.delay;
  for (std::uint32_t i = 0; i < mark.failed_trials; ++i) {
    delay *= m_settings.delay_factor;
  }
  return delay;
}

bool CrashTrials::IsOwnTurn(const CrashMark& mark, Duration overdue) const {
  if (!m_entries || m_entries->CountLive() == 1) return true;
  const auto turn = static_cast<std::size_t>(overdue / m_settings.turn);
  const std::size_t rank =
      m_entries->RankOf(std::to_string(mark.key.fingerprint));
  return turn % m_entries->CountLive() == rank &&
         overdue % m_settings.turn < m_settings.turn / 2;
}

}  // namespace chicoryvale
