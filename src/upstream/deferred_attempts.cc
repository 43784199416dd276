#include "upstream/deferred_attempts.h"

#include <algorithm>
#include <cassert>

namespace chicoryvale {

DeferredAttempts::DeferredAttempts(Scheduler* scheduler, DueCallback on_due)
    : m_scheduler(scheduler), m_on_due(std::move(on_due)) {
  assert(scheduler != nullptr);
}

DeferredAttempts::~DeferredAttempts() { m_scheduler->Cancel(m_timer); }

void DeferredAttempts::Add(DeferredAttempt attempt,
                           std::optional<TimePoint> recheck_at) {
  const std::uint64_t fingerprint = attempt.spec.fingerprint;
  const TimePoint deadline = attempt.spec.deadline;
  const TimePoint due = recheck_at ? std::min(*recheck_at, deadline) : deadline;
  const auto [it, inserted] = m_groups.try_emplace(fingerprint);
  Group& group = it->second;
  group.attempts.push_back(std::move(attempt));
  if (!inserted) {
    if (group.due <= due) return;
    m_by_due.erase({group.due, fingerprint});
  }
  group.due = due;
  m_by_due.emplace(due, fingerprint);
  ScheduleTimer();
}

std::vector<DeferredAttempt> DeferredAttempts::Extract(
    std::uint64_t fingerprint) {
  auto node = m_groups.extract(fingerprint);
  if (node.empty()) return {};
  m_by_due.erase({node.mapped().due, fingerprint});
  return std::move(node.mapped().attempts);
}

void DeferredAttempts::ScheduleTimer() {
  if (m_by_due.empty()) return;
  const TimePoint due = m_by_due.begin()->first;
  if (m_timer != 0 && m_timer_due <= due) return;
  m_scheduler->Cancel(m_timer);
  m_timer_due = due;
  m_timer =
      m_scheduler->Schedule(due - m_scheduler->Now(), [this] { OnTimer(); });
}

void DeferredAttempts::OnTimer() {
  m_timer = 0;
  const TimePoint now = m_scheduler->Now();
  std::vector<std::uint64_t> due;
  for (const auto& [at, fingerprint] : m_by_due) {
    if (at > now) break;
    due.push_back(fingerprint);
  }
  std::ranges::for_each(due, m_on_due);
  ScheduleTimer();
}

}  // namespace chicoryvale
