#include "admission/admission_queue.h"

#include <cassert>
#include <cmath>
#include <utility>

namespace chicoryvale {

namespace {

// Workspaces beyond this number are forgotten once they are idle.
constexpr std::size_t kMaxUses = 1024;

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
  NoteSubmit(workspace);
  const AdmissionTicket ticket = ++m_last_ticket;
  Result<void> accepted = CheckTime(workspace, deadline);
  if (accepted) accepted = MakeRoom(workspace);
  if (!accepted) {
    callback(std::move(accepted));
    return ticket;
  }
  const WaitingQuery query{ticket, workspace, deadline};
  m_queue.Push(query);
  m_waiting.emplace(ticket, WaitingEntry{query, std::move(callback)});
  Pump();
  if (m_waiting.contains(ticket)) m_counters->Add(kQueued);
  return ticket;
}

void AdmissionQueue::Finish(AdmissionTicket ticket, const QueryAnswer& answer) {
  const auto admitted = m_admitted.find(ticket);
  if (admitted == m_admitted.end()) return;
  const TimePoint now = m_scheduler->Now();
  const auto in_flight = static_cast<std::uint32_t>(m_admitted.size());
  m_latency.Record(now - admitted->second.started);
  ChangeUse(admitted->second.workspace, -1);
  m_admitted.erase(admitted);
  if (answer.half_covered > Duration::zero()) {
    m_limit.OnEnd(answer.half_covered, in_flight, now);
  }
  if (!answer.body && answer.body.error().kind == ErrorKind::kOverloaded) {
    m_limit.OnOverloaded(now);
  }
  Pump();
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
  ChangeUse(admitted->second.workspace, -1);
  m_admitted.erase(admitted);
  m_counters->Add(kCancelled);
  Pump();
}

double AdmissionQueue::PartOf(const std::string& workspace) const {
  const TimePoint active_since = m_scheduler->Now() - kActiveTime;
  const double own = m_queue.Weight(workspace);
  double total = own;
  for (const auto& [name, use] : m_uses) {
    const bool active = use.in_flight > 0 || use.last_submit >= active_since;
    if (active && name != workspace) total += m_queue.Weight(name);
  }
  return own / total;
}

// While others are active, a workspace gets no more than its share of the
// queries that do not wait below, so that it cannot fill the queues there. One
// that uses little on average is not held up for a burst; one with a long
// backlog is held somewhat lower, since queries in flight beside it cost more
// than their number tells.
bool AdmissionQueue::MayStart(const std::string& workspace) const {
  const auto use = m_uses.find(workspace);
  const double part = PartOf(workspace);
  if (use == m_uses.end() || part == 1) return true;
  double share = part * m_limit.Working();
  const auto waiting = static_cast<double>(m_queue.Size(workspace));
  if (waiting > kLongBacklog * share) share *= kBacklogPart;
  return use->second.in_flight < share ||
         AverageOf(use->second) < kBurstPart * share;
}

double AdmissionQueue::AverageOf(const Use& use) const {
  const double age = ToSeconds(m_scheduler->Now() - use.changed);
  const double old_part = std::exp(-age / ToSeconds(kUseTime));
  return use.in_flight + (use.average - use.in_flight) * old_part;
}

void AdmissionQueue::ChangeUse(const std::string& workspace, int change) {
  Use& use = m_uses[workspace];
  use.average = AverageOf(use);
  use.changed = m_scheduler->Now();
  use.in_flight += static_cast<std::uint32_t>(change);
}

void AdmissionQueue::NoteSubmit(const std::string& workspace) {
  const TimePoint now = m_scheduler->Now();
  if (m_uses.size() >= kMaxUses && !m_uses.contains(workspace)) {
    std::erase_if(m_uses, [&](const auto& entry) {
      return entry.second.in_flight == 0 &&
             entry.second.last_submit < now - kActiveTime;
    });
  }
  m_uses[workspace].last_submit = now;
}

Duration AdmissionQueue::ExpectedLatency() const {
  return m_latency.Value().value_or(Duration::zero());
}

// The time in which the queries of the workspace that wait are served, from
// the median latency and the workspace's part of the limit.
Duration AdmissionQueue::ExpectedWait(const std::string& workspace) const {
  const std::size_t ahead = m_queue.Size(workspace);
  if (m_admitted.size() < m_limit.Limit()) return Duration::zero();
  const double places = m_limit.Limit() * PartOf(workspace);
  const auto median = static_cast<double>(m_limit.Median().count());
  return Duration(
      static_cast<Duration::rep>(static_cast<double>(ahead) * median / places));
}

bool AdmissionQueue::IsOverShare(const std::string& workspace) const {
  return m_queue.Size(workspace) < m_queue.Size() &&
         m_queue.LongestForShare() == workspace;
}

Result<void> AdmissionQueue::CheckTime(const std::string& workspace,
                                       TimePoint deadline) {
  const TimePoint latest_start = deadline - ExpectedLatency();
  const TimePoint now = m_scheduler->Now();
  if (now > latest_start || now >= deadline) {
    m_counters->Add(kRefusedTooLate);
    return MakeError(ErrorKind::kOverloaded,
                     "the query cannot end within its deadline");
  }
  if (now + ExpectedWait(workspace) <= latest_start) return {};
  if (IsOverShare(workspace)) {
    m_counters->Add(kRefusedOverShare);
    return MakeError(ErrorKind::kWorkspaceOverShare,
                     "workspace " + workspace + " is over its share");
  }
  m_counters->Add(kRefusedWaitTooLong);
  return MakeError(ErrorKind::kOverloaded,
                   "the wait would outlast the deadline");
}

// A full queue makes room at the cost of the workspace that fills it most for
// its share.
Result<void> AdmissionQueue::MakeRoom(const std::string& workspace) {
  if (m_queue.Size() < kCapacity) return {};
  const std::string longest = m_queue.LongestForShare();
  if (longest != workspace) {
    Refuse(m_queue.TakeLast(longest), kEvictedOverShare,
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

void AdmissionQueue::Pump() {
  if (m_pumping) return;
  m_pumping = true;
  DropTooLate();
  while (m_admitted.size() < m_limit.Limit()) {
    const auto next =
        m_queue.Pop([this](const std::string& name) { return MayStart(name); });
    if (!next) break;
    auto node = m_waiting.extract(next->ticket);
    m_admitted.emplace(next->ticket,
                       AdmittedEntry{next->workspace, m_scheduler->Now()});
    ChangeUse(next->workspace, 1);
    m_counters->Add(kAdmitted);
    node.mapped().callback({});
  }
  m_pumping = false;
  ArmTimer();
}

void AdmissionQueue::DropTooLate() {
  const TimePoint latest = m_scheduler->Now() + ExpectedLatency();
  for (const WaitingQuery& query : m_queue.TakeDueBefore(latest)) {
    Refuse(query, kDroppedTooLate, ErrorKind::kOverloaded,
           "the query cannot end within its deadline any more");
  }
}

// Wakes up when the first waiting query becomes too late.
void AdmissionQueue::ArmTimer() {
  m_scheduler->Cancel(std::exchange(m_timer, 0));
  if (m_queue.Size() == 0) return;
  const TimePoint latest = m_queue.EarliestDeadline() - ExpectedLatency();
  m_timer = m_scheduler->Schedule(latest - m_scheduler->Now() + microseconds(1),
                                  [this] {
                                    m_timer = 0;
                                    Pump();
                                  });
}

}  // namespace chicoryvale
