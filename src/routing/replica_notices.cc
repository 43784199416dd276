#include "routing/replica_notices.h"

#include <algorithm>

namespace chicoryvale {
namespace {

/// Upper bound of the random part by which a back-off ends later, as a ratio of
/// the back-off and as a time.
constexpr int kMaxSpreadDivisor = 4;
constexpr Duration kMaxSpread = seconds(1);

/// Time after which a replica that is no longer listed is forgotten. A list
/// that leaves it out for a moment doesn't take back what it has said.
constexpr Duration kForgetAfter = seconds(10);

/// Maximum number of replicas that are remembered beyond the listed ones.
constexpr std::size_t kMaxUnlisted = 4096;

}  // namespace

ReplicaNotices::Change ReplicaNotices::Record(const std::string& id,
                                              const ReplicaNotice& notice,
                                              TimePoint now) {
  if (!notice.draining && !notice.back_off) return Change::kNone;
  Notice& known = m_notices[id];
  Change change = Change::kNone;
  if (notice.back_off) {
    const Duration max_spread =
        std::min<Duration>(*notice.back_off / kMaxSpreadDivisor, kMaxSpread);
    std::uniform_int_distribution<Duration::rep> spread(0, max_spread.count());
    const TimePoint end = now + *notice.back_off + Duration(spread(m_random));
    if (end > known.back_off_end) {
      known.back_off_end = end;
      change = Change::kBackingOff;
    }
  }
  if (notice.draining && !known.draining) {
    known.draining = true;
    change = Change::kDraining;
  }
  return change;
}

bool ReplicaNotices::IsDraining(const std::string& id) const {
  const auto known = m_notices.find(id);
  return known != m_notices.end() && known->second.draining;
}

TimePoint ReplicaNotices::BackOffEnd(const std::string& id) const {
  const auto known = m_notices.find(id);
  return known == m_notices.end() ? TimePoint{} : known->second.back_off_end;
}

void ReplicaNotices::RecordList(const IsListed& is_listed, TimePoint now) {
  std::erase_if(m_notices, [now](const auto& entry) {
    const auto& unlisted_since = entry.second.unlisted_since;
    return unlisted_since && now - *unlisted_since > kForgetAfter;
  });
  for (auto& [id, notice] : m_notices) {
    if (is_listed(id)) {
      notice.unlisted_since.reset();
    } else if (!notice.unlisted_since) {
      notice.unlisted_since = now;
    }
  }
  std::size_t unlisted = 0;
  std::erase_if(m_notices, [&unlisted](const auto& entry) {
    return entry.second.unlisted_since && ++unlisted > kMaxUnlisted;
  });
}

}  // namespace chicoryvale
