#include "upstream/deferred_requests.h"

#include <algorithm>
#include <cassert>

namespace chicoryvale {

DeferredRequests::DeferredRequests(Scheduler* scheduler, DueCallback on_due)
    : m_scheduler(scheduler), m_on_due(std::move(on_due)) {
  assert(scheduler != nullptr);
}

DeferredRequests::~DeferredRequests() { m_scheduler->Cancel(m_timer); }

void DeferredRequests::Add(DeferredRequest request,
                           std::optional<TimePoint> recheck_at) {
  const std::uint64_t fingerprint = request.spec.fingerprint;
  const TimePoint deadline = request.spec.deadline;
  const TimePoint due = recheck_at ? std::min(*recheck_at, deadline) : deadline;
  const auto [it, inserted] = m_groups.try_emplace(fingerprint);
  Group& group = it->second;
  group.requests.push_back(std::move(request));
  if (!inserted) {
    if (group.due <= due) return;
    m_by_due.erase({group.due, fingerprint});
  }
  group.due = due;
  m_by_due.emplace(due, fingerprint);
  ScheduleTimer();
}

std::vector<DeferredRequest> DeferredRequests::Extract(
    std::uint64_t fingerprint) {
  auto node = m_groups.extract(fingerprint);
  if (node.empty()) return {};
  m_by_due.erase({node.mapped().due, fingerprint});
  return std::move(node.mapped().requests);
}

void DeferredRequests::ScheduleTimer() {
  if (m_by_due.empty()) return;
  const TimePoint due = m_by_due.begin()->first;
  if (m_timer != 0 && m_timer_due <= due) return;
  m_scheduler->Cancel(m_timer);
  m_timer_due = due;
  m_timer =
      m_scheduler->Schedule(due - m_scheduler->Now(), [this] { OnTimer(); });
}

void DeferredRequests::OnTimer() {
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
