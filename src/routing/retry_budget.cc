#include "routing/retry_budget.h"

#include <algorithm>
#include <numeric>

namespace chicoryvale {
namespace {

/// Part of the budget that is used: the rest covers requests that are counted
/// here in another window than at the replicas.
constexpr double kUsedPart = 0.8;

/// Parts of the fixed number for a process in its first window, and later: what
/// an earlier run of it repeated is not known. A run that has a window behind
/// it and its successor together use no more than the whole; so do four runs
/// that end within one window.
constexpr double kFixedPartFirst = 0.25;
constexpr double kFixedPartLater = 0.75;

/// Time after the start in which the other entries become known: nothing of the
/// fixed number is used before.
constexpr Duration kMembersTime = seconds(2);

/// Part of what is used that hedges may take.
constexpr double kHedgePart = 0.7;

}  // namespace

void RetryBudget::SetEntryCount(std::uint32_t entries) {
  m_entries = std::max(m_entries, entries);
}

RetryBudget::Window& RetryBudget::Advance(const std::string& service,
                                          TimePoint now) {
  Window& window = m_windows[service];
  const Duration bucket = m_options.window / kBuckets;
  const std::int64_t number = now.time_since_epoch() / bucket;
  const auto passed = std::min<std::int64_t>(number - window.newest, kBuckets);
  for (std::int64_t i = 1; i <= passed; ++i) {
    const auto slot = static_cast<std::size_t>(window.newest + i) % kBuckets;
    window.firsts[slot] = 0;
    window.repeats[slot] = 0;
  }
  if (number - window.newest > static_cast<std::int64_t>(kBuckets)) {
    window.firsts.fill(0);
    window.repeats.fill(0);
  }
  window.newest = std::max(window.newest, number);
  return window;
}

void RetryBudget::NoteFirst(const std::string& service, TimePoint now) {
  Window& window = Advance(service, now);
  ++window.firsts[static_cast<std::size_t>(window.newest) % kBuckets];
}

bool RetryBudget::TryTake(const std::string& service, Use use, TimePoint now) {
  Window& window = Advance(service, now);
  const auto sum = [](const auto& counts) {
    return std::accumulate(counts.begin(), counts.end(), 0U);
  };
  const Duration since_start = now - m_started;
  const bool first_window = since_start < m_options.window;
  const double fixed_part = first_window && !m_options.first_start
                                ? kFixedPartFirst
                                : kFixedPartLater;
  const double fixed = since_start < kMembersTime
                           ? 0
                           : fixed_part *
                                 static_cast<double>(m_options.fixed_retries) /
                                 m_entries;
  const double part = use == Use::kHedge ? kUsedPart * kHedgePart : kUsedPart;
  const double allowed = part * (m_options.ratio * sum(window.firsts) + fixed);
  if (sum(window.repeats) + 1 > allowed) return false;
  ++window.repeats[static_cast<std::size_t>(window.newest) % kBuckets];
  return true;
}

}  // namespace chicoryvale
