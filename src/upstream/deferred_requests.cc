#include "upstream/deferred_requests.h"

#include <algorithm>
#include <cassert>

namespace chicoryvale {

DeferredRequests::DeferredRequests(Scheduler* scheduler, DueFunction due)
    : m_scheduler(scheduler), m_due(std::move(due)) {
  assert(scheduler != nullptr);
}

DeferredRequests::~DeferredRequests() { m_scheduler->Cancel(m_timer); }

void DeferredRequests::Add(DeferredRequest request,
                           std::optional<TimePoint> ask_again) {
  const std::uint64_t fingerprint = request.spec.fingerprint;
  const TimePoint deadline = request.spec.deadline;
  const TimePoint due = ask_again ? std::min(*ask_again, deadline) : deadline;
  const auto [it, inserted] = m_groups.try_emplace(fingerprint);
  Group& group = it->second;
  group.requests.push_back(std::move(request));
  if (!inserted) {
    if (group.due <= due) return;
    m_by_due.erase({group.due, fingerprint});
  }
  group.due = due;
  m_by_due.emplace(due, fingerprint);
  Arm();
}

std::vector<DeferredRequest> DeferredRequests::Take(std::uint64_t fingerprint) {
  auto node = m_groups.extract(fingerprint);
  if (node.empty()) return {};
  m_by_due.erase({node.mapped().due, fingerprint});
  return std::move(node.mapped().requests);
}

void DeferredRequests::Arm() {
  if (m_by_due.empty()) return;
  const TimePoint due = m_by_due.begin()->first;
  if (m_timer != 0 && m_timer_due <= due) return;
  m_scheduler->Cancel(m_timer);
  m_timer_due = due;
  m_timer = m_scheduler->Schedule(due - m_scheduler->Now(), [this] { Fire(); });
}

void DeferredRequests::Fire() {
  m_timer = 0;
  const TimePoint now = m_scheduler->Now();
  std::vector<std::uint64_t> due;
  for (const auto& [at, fingerprint] : m_by_due) {
    if (at > now) break;
    due.push_back(fingerprint);
  }
  std::ranges::for_each(due, m_due);
  Arm();
}

}  // namespace chicoryvale
