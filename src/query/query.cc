#include "query/query.h"

#include <algorithm>
#include <cassert>
#include <utility>

#include "query/outcome_classifier.h"
#include "query/query_error.h"

namespace chicoryvale {
namespace {

// Minimum time between two runs of RunDueTasks in one query.
constexpr Duration kMinWakeupInterval = microseconds(500);

}  // namespace

Query::Query(const QueryDependencies& dependencies, ServiceState* service,
             QuerySpec spec, std::unique_ptr<AnswerMerger> merger,
             DoneCallback on_done)
    : m_merger(std::move(merger)), m_on_done(std::move(on_done)) {
  assert(m_merger != nullptr && service != nullptr);
  m_ctx.dependencies = dependencies;
  m_ctx.spec = std::move(spec);
  m_ctx.service = service;
  m_ctx.start_time = dependencies.scheduler->Now();
  m_ctx.deadline = m_ctx.start_time + m_ctx.spec.timeout;
  m_ctx.attempt_spec.service = m_ctx.spec.service;
  m_ctx.attempt_spec.workspace = m_ctx.spec.workspace;
  m_ctx.attempt_spec.fingerprint = m_ctx.spec.fingerprint;
  ++service->queries_in_flight;
}

Query::~Query() {
  Cancel();
  --m_ctx.service->queries_in_flight;
}

void Query::Start() {
  m_deadline_timer =
      m_ctx.dependencies.scheduler->Schedule(m_ctx.spec.timeout, [this] {
        m_deadline_timer = 0;
        Finish(ShardState::kDeadline);
      });
  HandleEvent([this] { Scatter(); });
}

void Query::HandleMapChange() {
  HandleEvent([this] {
    // Attempts in flight still belong to the pinned snapshot. Only tasks that
    // need a further attempt make a restart necessary.
    for (ShardTask& task : m_tasks) {
      if (task.HasEnded() || task.HasAttemptInFlight()) continue;
      m_ctx.restart_cause = RestartCause::kMap;
    }
  });
}

bool Query::MayCancel() const {
  return m_ctx.spec.idempotent || m_ctx.attempts == 0;
}

void Query::Cancel() {
  if (m_done) return;
  m_done = true;
  CancelTimers();
  for (ShardTask& task : m_tasks) task.Stop(ShardState::kDeadline);
}

void Query::OnChoice(std::size_t task_index, SubRequestId id,
                     Result<ReplicaChoice> choice) {
  HandleEvent([&] { m_tasks[task_index].OnChoice(id, std::move(choice)); });
}

void Query::OnOutcome(std::size_t task_index, SubRequestId id,
                      SubOutcome outcome) {
  HandleEvent([&] { m_tasks[task_index].OnOutcome(id, std::move(outcome)); });
}

bool Query::OnMergeAnswer(ShardId shard, const std::string& body) {
  return m_merger->Add(shard, body).has_value();
}

void Query::OnTaskEnd(ShardState state) {
  --m_pending_tasks;
  if (state != ShardState::kCovered) return;
  ++m_covered_shards;
  if (2 * m_covered_shards >= m_tasks.size() &&
      m_half_coverage_time == Duration::zero()) {
    m_half_coverage_time =
        m_ctx.dependencies.scheduler->Now() - m_ctx.start_time;
  }
}

void Query::OnRequestWakeup(TimePoint when) {
  const TimePoint at = std::max(when, m_last_wakeup + kMinWakeupInterval);
  if (m_done || (m_wakeup_timer != 0 && m_wakeup_at <= at)) return;
  Scheduler& scheduler = *m_ctx.dependencies.scheduler;
  scheduler.Cancel(m_wakeup_timer);
  m_wakeup_at = at;
  m_wakeup_timer = scheduler.Schedule(at - scheduler.Now(), [this] {
    m_wakeup_timer = 0;
    HandleEvent([this] { RunDueTasks(); });
  });
}

template <typename Event>
void Query::HandleEvent(Event event) {
  ++m_event_depth;
  event();
  if (--m_event_depth == 0) RestartOrFinish();
}

void Query::RestartOrFinish() {
  while (!m_done && m_ctx.restart_cause != RestartCause::kNone) {
    if (TryRestart()) continue;
    for (ShardTask& task : m_tasks) task.EndIfIdle();
  }
  if (m_done) return;
  if (m_pending_tasks == 0) {
    Finish(ShardState::kDeadline);
  } else if (ShouldAnswerEarly()) {
    Finish(ShardState::kSkippedForEarlyAnswer);
  }
}

void Query::Scatter() {
  SnapshotTracker& snapshots = m_ctx.service->snapshots;
  m_ctx.pinned_snapshot =
      snapshots.Current(m_ctx.dependencies.scheduler->Now());
  const std::size_t shards = snapshots.ShardCount();
  m_tasks.clear();
  if (m_ctx.spec.routing_hash) {
    const auto shard = static_cast<ShardId>(*m_ctx.spec.routing_hash % shards);
    m_tasks.emplace_back(&m_ctx, this, 0, shard);
  } else {
    m_tasks.reserve(shards);
    for (std::size_t i = 0; i < shards; ++i) {
      m_tasks.emplace_back(&m_ctx, this, i, static_cast<ShardId>(i));
    }
  }
  m_pending_tasks = m_tasks.size();
  m_covered_shards = 0;
  ScheduleEarlyAnswer();
  // If no upstream has survived the request yet, the gate first runs it at one
  // upstream only, as a canary: at the shard whose attempt starts first. The
  // fingerprint selects this shard, so it is the same for all resends of the
  // request.
  const std::size_t first = m_ctx.spec.fingerprint % m_tasks.size();
  for (std::size_t i = 0; i < m_tasks.size(); ++i) {
    m_tasks[(first + i) % m_tasks.size()].Start();
  }
}

void Query::ScheduleEarlyAnswer() {
  m_early_answer_at = TimePoint::max();
  const auto quantile = m_ctx.service->completion_times.Value();
  const bool may_answer_early =
      m_ctx.spec.objective == QueryObjective::kTailLatency &&
      m_ctx.spec.idempotent && m_tasks.size() > 1;
  if (!may_answer_early || !quantile) return;
  m_early_answer_at =
      m_ctx.dependencies.scheduler->Now() +
      std::chrono::duration_cast<Duration>(*quantile * kEarlyAnswerDelayFactor);
  OnRequestWakeup(m_early_answer_at);
}

bool Query::ShouldAnswerEarly() const {
  if (m_ctx.dependencies.scheduler->Now() < m_early_answer_at) return false;
  const std::uint64_t required_per_10000 = std::max<std::uint64_t>(
      m_ctx.spec.min_coverage_per_10000, kMinEarlyCoveragePer10000);
  return m_covered_shards >= MinCoveredShards(required_per_10000);
}

// Restarts the query at another snapshot if there is one, if the remaining time
// is at least the usual completion time of a shard, and if the restart budget
// allows it. Otherwise the query continues at its pinned snapshot.
bool Query::TryRestart() {
  const RestartCause cause =
      std::exchange(m_ctx.restart_cause, RestartCause::kNone);
  const TimePoint now = m_ctx.dependencies.scheduler->Now();
  ServiceState& service = *m_ctx.service;
  const bool may_resend = m_ctx.spec.idempotent || m_ctx.attempts == 0;
  if (!may_resend || m_restarts >= kMaxRestarts) return false;
  if (service.removed || service.snapshots.ShardCount() == 0) return false;
  if (service.snapshots.Current(now) == m_ctx.pinned_snapshot) return false;
  const Duration completion_time =
      service.completion_times.Value().value_or(Duration(1));
  if (now + completion_time > m_ctx.deadline) return false;
  if (!service.restart_budget.TryConsume()) {
    Counters().Add(QueryCounter::kRestartNoBudget);
    return false;
  }
  Counters().Add(cause == RestartCause::kMap ? QueryCounter::kRestartMap
                                             : QueryCounter::kRestartSnapshot);
  Restart();
  return true;
}

void Query::Restart() {
  ++m_restarts;
  ++m_event_depth;
  for (ShardTask& task : m_tasks) task.Stop(ShardState::kSnapshotUnavailable);
  m_ctx.restart_cause = RestartCause::kNone;
  m_merger->Reset();
  Scatter();
  --m_event_depth;
}

void Query::RunDueTasks() {
  const TimePoint now = m_ctx.dependencies.scheduler->Now();
  m_last_wakeup = now;
  for (ShardTask& task : m_tasks) task.RunDueAttempts(now);
  if (now < m_early_answer_at && m_early_answer_at != TimePoint::max()) {
    OnRequestWakeup(m_early_answer_at);
  }
}

void Query::Finish(ShardState default_state) {
  ++m_event_depth;
  CancelTimers();
  for (ShardTask& task : m_tasks) task.Stop(default_state);
  m_done = true;
  QueryAnswer answer = MakeAnswer();
  const DoneCallback on_done = std::move(m_on_done);
  --m_event_depth;
  on_done(std::move(answer));
}

void Query::CancelTimers() {
  m_ctx.dependencies.scheduler->Cancel(std::exchange(m_deadline_timer, 0));
  m_ctx.dependencies.scheduler->Cancel(std::exchange(m_wakeup_timer, 0));
}

QueryAnswer Query::MakeAnswer() {
  QueryAnswer answer;
  answer.coverage.reserve(m_tasks.size());
  std::ranges::transform(m_tasks, std::back_inserter(answer.coverage),
                         [](const ShardTask& task) {
                           return ShardCoverage{task.Shard(), task.State()};
                         });
  const std::size_t covered = CountCovered(answer.coverage);
  assert(covered == m_covered_shards);
  answer.snapshot = m_ctx.pinned_snapshot;
  answer.ran = m_ctx.ran;
  answer.attempts = m_ctx.attempts;
  answer.retries = m_ctx.retries;
  answer.hedges = m_ctx.hedges;
  answer.restarts = m_restarts;
  answer.half_coverage_time = m_half_coverage_time;
  const std::size_t min_covered = std::max<std::size_t>(
      MinCoveredShards(m_ctx.spec.min_coverage_per_10000), 1);
  if (covered >= min_covered) {
    answer.body = m_merger->Finish();
    m_ctx.service->restart_budget.RecordSuccesses();
  } else {
    answer.body =
        tl::unexpected(MakeQueryError(m_ctx.spec, answer.coverage, m_ctx.ran));
  }
  return answer;
}

std::size_t Query::MinCoveredShards(std::uint64_t per_10000) const {
  return (m_tasks.size() * per_10000 + kCoverageScale - 1) / kCoverageScale;
}

}  // namespace chicoryvale
