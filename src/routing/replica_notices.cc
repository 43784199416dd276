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

/// Time for which a replica has to be listed as ready, after it was listed as
/// draining, to have started anew: longer than the list lags, which may show an
/// older state once more.
constexpr Duration kReadyAgainTime = seconds(2);

/// Number of lists in a row that have to show a replica as ready to have
/// started anew, if none showed it as draining. A replica that drains is listed
/// so within the time that the list lags, far fewer lists.
constexpr std::uint32_t kReadyAgainLists = 30;

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
    known.listed_draining = false;
    known.ready_since.reset();
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

void ReplicaNotices::RecordListed(const std::string& id, Listed listed,
                                  TimePoint now) {
  const auto known = m_notices.find(id);
  if (known != m_notices.end()) UpdateListed(&known->second, listed, now);
}

void ReplicaNotices::UpdateListed(Notice* notice, Listed listed,
                                  TimePoint now) {
  if (listed == Listed::kNo) {
    if (!notice->unlisted_since) notice->unlisted_since = now;
  } else {
    notice->unlisted_since.reset();
  }
  if (listed == Listed::kDraining) notice->listed_draining = true;
  if (listed != Listed::kReady) {
    notice->ready_since.reset();
    return;
  }
  if (!notice->ready_since) {
    notice->ready_since = now;
    notice->ready_lists = 0;
  }
  ++notice->ready_lists;
  if (HasStartedAnew(*notice, now)) notice->draining = false;
}

bool ReplicaNotices::HasStartedAnew(const Notice& notice, TimePoint now) {
  return notice.listed_draining ? now - *notice.ready_since >= kReadyAgainTime
                                : notice.ready_lists >= kReadyAgainLists;
}

void ReplicaNotices::RecordList(const ListState& state_of, TimePoint now) {
  std::erase_if(m_notices, [now](const auto& entry) {
    const auto& unlisted_since = entry.second.unlisted_since;
    return unlisted_since && now - *unlisted_since > kForgetAfter;
  });
  for (auto& [id, notice] : m_notices) {
    UpdateListed(&notice, state_of(id), now);
  }
  std::size_t unlisted = 0;
  std::erase_if(m_notices, [&unlisted](const auto& entry) {
    return entry.second.unlisted_since && ++unlisted > kMaxUnlisted;
  });
}

}  // namespace chicoryvale
