#include "admission/admission_queue.h"

#include <cassert>
#include <cmath>
#include <utility>

namespace chicoryvale {

namespace {

// Idle workspaces are removed once this many workspaces are tracked.
constexpr std::size_t kMaxTrackedWorkspaces = 1024;

}  // namespace

using enum AdmissionCounter;

AdmissionQueue::AdmissionQueue(Scheduler* scheduler,
                               AdmissionCounters* counters)
    : m_scheduler(scheduler), m_counters(counters) {
  assert(scheduler != nullptr && counters != nullptr);
}

AdmissionQueue::~AdmissionQueue() { m_scheduler->Cancel(m_timer); }

AdmissionTicket AdmissionQueue::Submit(const std::string& workspace,
                                       TimePoint deadline, Callback callback) {
  assert(callback != nullptr);
  m_counters->Add(kSubmitted);
  RecordSubmission(workspace);
  const AdmissionTicket ticket = ++m_last_ticket;
  Result<void> accepted = CheckDeadline(workspace, deadline);
  if (accepted) accepted = EnsureCapacity(workspace);
  if (!accepted) {
    callback(std::move(accepted));
    return ticket;
  }
  const WaitingQuery query{ticket, workspace, deadline};
  m_queue.Push(query);
  m_waiting.emplace(ticket, WaitingEntry{query, std::move(callback)});
  AdmitWaiting();
  if (m_waiting.contains(ticket)) m_counters->Add(kQueued);
  return ticket;
}

void AdmissionQueue::Finish(AdmissionTicket ticket, const QueryAnswer& answer) {
  const auto admitted = m_admitted.find(ticket);
  if (admitted == m_admitted.end()) return;
  const TimePoint now = m_scheduler->Now();
  const auto in_flight = static_cast<std::uint32_t>(m_admitted.size());
  m_latency_quantile.Record(now - admitted->second.started_at);
  UpdateUsage(admitted->second.workspace, -1);
  m_admitted.erase(admitted);
  if (answer.half_coverage_time > Duration::zero()) {
    m_limit.OnQueryEnd(answer.half_coverage_time, in_flight, now);
  }
  if (!answer.body && answer.body.error().kind == ErrorKind::kOverloaded) {
    m_limit.OnOverloaded(now);
  }
  AdmitWaiting();
}

void AdmissionQueue::Cancel(AdmissionTicket ticket) {
  const auto waiting = m_waiting.find(ticket);
  if (waiting != m_waiting.end()) {
    m_queue.Remove(waiting->second.query);
    m_waiting.erase(waiting);
    m_counters->Add(kCancelled);
    return;
  }
  const auto admitted = m_admitted.find(ticket);
  if (admitted == m_admitted.end()) return;
  UpdateUsage(admitted->second.workspace, -1);
  m_admitted.erase(admitted);
  m_counters->Add(kCancelled);
  AdmitWaiting();
}

double AdmissionQueue::ShareRatio(const std::string& workspace) const {
  const TimePoint active_since = m_scheduler->Now() - kWorkspaceActiveTime;
  const double own_weight = m_queue.Weight(workspace);
  double total_weight = own_weight;
  for (const auto& [name, usage] : m_usages) {
    const bool active =
        usage.in_flight > 0 || usage.last_submitted_at >= active_since;
    if (active && name != workspace) total_weight += m_queue.Weight(name);
  }
  return own_weight / total_weight;
}

// While other workspaces are active, a workspace is limited to its share of the
// queries that do not wait in queues of the upstreams, so that it cannot fill
// these queues. A workspace with a low average usage may exceed its share for a
// burst. A workspace with a long backlog is limited to somewhat less than its
// share, because concurrent queries cost more than their number suggests.
bool AdmissionQueue::MayStart(const std::string& workspace) const {
  const auto usage = m_usages.find(workspace);
  const double share_ratio = ShareRatio(workspace);
  if (usage == m_usages.end() || share_ratio == 1) return true;
  double share = share_ratio * m_limit.LimitWithoutQueueing();
  const auto waiting = static_cast<double>(m_queue.Size(workspace));
  if (waiting > kLongBacklogMultiple * share) share *= kLongBacklogShareRatio;
  return usage->second.in_flight < share ||
         AverageInFlight(usage->second) < kBurstShareRatio * share;
}

double AdmissionQueue::AverageInFlight(const WorkspaceUsage& usage) const {
  const double age = ToSeconds(m_scheduler->Now() - usage.changed_at);
  const double decay = std::exp(-age / ToSeconds(kUsageAveragingTime));
  return usage.in_flight + (usage.average_in_flight - usage.in_flight) * decay;
}

void AdmissionQueue::UpdateUsage(const std::string& workspace,
                                 int in_flight_change) {
  WorkspaceUsage& usage = m_usages[workspace];
  usage.average_in_flight = AverageInFlight(usage);
  usage.changed_at = m_scheduler->Now();
  usage.in_flight += static_cast<std::uint32_t>(in_flight_change);
}

void AdmissionQueue::RecordSubmission(const std::string& workspace) {
  const TimePoint now = m_scheduler->Now();
  if (m_usages.size() >= kMaxTrackedWorkspaces &&
      !m_usages.contains(workspace)) {
    std::erase_if(m_usages, [&](const auto& entry) {
      return entry.second.in_flight == 0 &&
             entry.second.last_submitted_at < now - kWorkspaceActiveTime;
    });
  }
  m_usages[workspace].last_submitted_at = now;
}

Duration AdmissionQueue::ExpectedLatency() const {
  return m_latency_quantile.Value().value_or(Duration::zero());
}

// Computed from the median latency and the share of the workspace in the limit.
Duration AdmissionQueue::ExpectedWait(const std::string& workspace) const {
  const std::size_t ahead = m_queue.Size(workspace);
  if (m_admitted.size() < m_limit.Limit()) return Duration::zero();
  const double slots = m_limit.Limit() * ShareRatio(workspace);
  const auto median = static_cast<double>(m_limit.MedianLatency().count());
  return Duration(
      static_cast<Duration::rep>(static_cast<double>(ahead) * median / slots));
}

bool AdmissionQueue::IsOverShare(const std::string& workspace) const {
  return m_queue.Size(workspace) < m_queue.Size() &&
         m_queue.LongestByWeight() == workspace;
}

Result<void> AdmissionQueue::CheckDeadline(const std::string& workspace,
                                           TimePoint deadline) {
  const TimePoint latest_start = deadline - ExpectedLatency();
  const TimePoint now = m_scheduler->Now();
  if (now > latest_start || now >= deadline) {
    m_counters->Add(kRefusedTooLate);
    return MakeError(ErrorKind::kOverloaded,
                     "the query cannot finish before its deadline");
  }
  if (now + ExpectedWait(workspace) <= latest_start) return {};
  if (IsOverShare(workspace)) {
    m_counters->Add(kRefusedOverShare);
    return MakeError(ErrorKind::kWorkspaceOverShare,
                     "workspace " + workspace + " is over its share");
  }
  m_counters->Add(kRefusedWaitTooLong);
  return MakeError(ErrorKind::kOverloaded,
                   "the expected wait exceeds the deadline");
}

// If the queue is full, refuses the latest waiting query of the workspace with
// the most waiting queries relative to its weight, or the new query if it is of
// that workspace.
Result<void> AdmissionQueue::EnsureCapacity(const std::string& workspace) {
  if (m_queue.Size() < kMaxWaiting) return {};
  const std::string longest = m_queue.LongestByWeight();
  if (longest != workspace) {
    Refuse(m_queue.RemoveLatest(longest), kEvictedOverShare,
           ErrorKind::kWorkspaceOverShare, "the workspace is over its share");
    return {};
  }
  if (IsOverShare(workspace)) {
    m_counters->Add(kRefusedOverShare);
    return MakeError(ErrorKind::kWorkspaceOverShare,
                     "workspace " + workspace + " is over its share");
  }
  m_counters->Add(kRefusedQueueFull);
  return MakeError(ErrorKind::kOverloaded, "the queue of the service is full");
}

void AdmissionQueue::Refuse(const WaitingQuery& query, AdmissionCounter counter,
                            ErrorKind kind, const char* message) {
  m_counters->Add(counter);
  auto node = m_waiting.extract(query.ticket);
  assert(!node.empty());
  node.mapped().callback(MakeError(kind, message));
}

void AdmissionQueue::AdmitWaiting() {
  if (m_admitting) return;
  m_admitting = true;
  DropTooLate();
  while (m_admitted.size() < m_limit.Limit()) {
    const auto next =
        m_queue.Pop([this](const std::string& name) { return MayStart(name); });
    if (!next) break;
    auto node = m_waiting.extract(next->ticket);
    m_admitted.emplace(next->ticket,
                       AdmittedEntry{next->workspace, m_scheduler->Now()});
    UpdateUsage(next->workspace, 1);
    m_counters->Add(kAdmitted);
    node.mapped().callback({});
  }
  m_admitting = false;
  ScheduleDropTimer();
}

void AdmissionQueue::DropTooLate() {
  const TimePoint latest_deadline = m_scheduler->Now() + ExpectedLatency();
  for (const WaitingQuery& query : m_queue.RemoveDueBefore(latest_deadline)) {
    Refuse(query, kDroppedTooLate, ErrorKind::kOverloaded,
           "the query can no longer finish before its deadline");
  }
}

// Schedules AdmitWaiting for the time when the first waiting query can no
// longer finish before its deadline.
void AdmissionQueue::ScheduleDropTimer() {
  m_scheduler->Cancel(std::exchange(m_timer, 0));
  if (m_queue.Size() == 0) return;
  const TimePoint latest_deadline =
      m_queue.EarliestDeadline() - ExpectedLatency();
  m_timer = m_scheduler->Schedule(
      latest_deadline - m_scheduler->Now() + microseconds(1), [this] {
        m_timer = 0;
        AdmitWaiting();
      });
}

}  // namespace chicoryvale
