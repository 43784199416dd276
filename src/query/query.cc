#include "query/query.h"

#include <algorithm>
#include <cassert>
#include <utility>

#include "query/outcome_classifier.h"
#include "query/query_error.h"

namespace chicoryvale {
namespace {

// Least time between two looks at all tasks of a query.
constexpr Duration kSweepGap = microseconds(500);

}  // namespace

Query::Query(const QueryParts& parts, ServiceState* service, QuerySpec spec,
             std::unique_ptr<AnswerMerger> merger, DoneCallback on_done)
    : m_merger(std::move(merger)), m_on_done(std::move(on_done)) {
  assert(m_merger != nullptr && service != nullptr);
  m_ctx.parts = parts;
  m_ctx.spec = std::move(spec);
  m_ctx.service = service;
  m_ctx.started = parts.scheduler->Now();
  m_ctx.deadline = m_ctx.started + m_ctx.spec.timeout;
  m_ctx.gate_spec.service = m_ctx.spec.service;
  m_ctx.gate_spec.workspace = m_ctx.spec.workspace;
  m_ctx.gate_spec.fingerprint = m_ctx.spec.fingerprint;
  ++service->queries_in_flight;
}

Query::~Query() {
  Cancel();
  --m_ctx.service->queries_in_flight;
}

void Query::Start() {
  m_deadline_timer =
      m_ctx.parts.scheduler->Schedule(m_ctx.spec.timeout, [this] {
        m_deadline_timer = 0;
        Finish(ShardState::kDeadline);
      });
  Enter([this] { Scatter(); });
}

void Query::HandleMapChange() {
  Enter([this] {
    // Answers under way still belong to the pinned snapshot; only tasks that
    // have to ask anew make the query start again.
    for (ShardTask& task : m_tasks) {
      if (task.Ended() || task.InFlight()) continue;
      m_ctx.restart_wanted = RestartCause::kMap;
    }
  });
}

bool Query::MayCancel() const {
  return m_ctx.spec.idempotent || m_ctx.attempts == 0;
}

void Query::Cancel() {
  if (m_done) return;
  m_done = true;
  StopTimers();
  for (ShardTask& task : m_tasks) task.Stop(ShardState::kDeadline);
}

void Query::OnChoice(std::size_t index, SubRequestId id,
                     Result<ReplicaChoice> choice) {
  Enter([&] { m_tasks[index].OnChoice(id, std::move(choice)); });
}

void Query::OnOutcome(std::size_t index, SubRequestId id, SubOutcome outcome) {
  Enter([&] { m_tasks[index].OnOutcome(id, std::move(outcome)); });
}

bool Query::OnMerge(ShardId shard, const std::string& body) {
  return m_merger->Add(shard, body).has_value();
}

void Query::OnTaskEnded(ShardState state) {
  --m_pending;
  if (state != ShardState::kCovered) return;
  ++m_covered;
  if (2 * m_covered >= m_tasks.size() && m_half_covered == Duration::zero()) {
    m_half_covered = m_ctx.parts.scheduler->Now() - m_ctx.started;
  }
}

void Query::OnWantSweep(TimePoint when) {
  const TimePoint at = std::max(when, m_last_sweep + kSweepGap);
  if (m_done || (m_sweep_timer != 0 && m_sweep_at <= at)) return;
  Scheduler& scheduler = *m_ctx.parts.scheduler;
  scheduler.Cancel(m_sweep_timer);
  m_sweep_at = at;
  m_sweep_timer = scheduler.Schedule(at - scheduler.Now(), [this] {
    m_sweep_timer = 0;
    Enter([this] { Sweep(); });
  });
}

template <typename Event>
void Query::Enter(Event event) {
  ++m_depth;
  event();
  if (--m_depth == 0) Settle();
}

void Query::Settle() {
  while (!m_done && m_ctx.restart_wanted != RestartCause::kNone) {
    if (TryRestart()) continue;
    for (ShardTask& task : m_tasks) task.EndIfIdle();
  }
  if (m_done) return;
  if (m_pending == 0) {
    Finish(ShardState::kDeadline);
  } else if (MayReturnEarly()) {
    Finish(ShardState::kReturnedEarly);
  }
}

void Query::Scatter() {
  SnapshotTracker& snapshots = m_ctx.service->snapshots;
  m_ctx.pin = snapshots.Newest(m_ctx.parts.scheduler->Now());
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
  m_pending = m_tasks.size();
  m_covered = 0;
  PlanEarlyReturn();
  // Requests not yet proven run at one upstream first: that of the shard asked
  // first, which the fingerprint chooses.
  const std::size_t first = m_ctx.spec.fingerprint % m_tasks.size();
  for (std::size_t i = 0; i < m_tasks.size(); ++i) {
    m_tasks[(first + i) % m_tasks.size()].Start();
  }
}

void Query::PlanEarlyReturn() {
  m_early_at = TimePoint::max();
  const auto quantile = m_ctx.service->completion.Value();
  const bool wanted = m_ctx.spec.objective == QueryObjective::kTailLatency &&
                      m_ctx.spec.idempotent && m_tasks.size() > 1;
  if (!wanted || !quantile) return;
  m_early_at = m_ctx.parts.scheduler->Now() +
               std::chrono::duration_cast<Duration>(*quantile * kEarlyFactor);
  OnWantSweep(m_early_at);
}

bool Query::MayReturnEarly() const {
  if (m_ctx.parts.scheduler->Now() < m_early_at) return false;
  const std::uint64_t wanted = std::max<std::uint64_t>(
      m_ctx.spec.min_coverage_per_10000, kMinEarlyPer10000);
  return m_covered >= LeastCovered(wanted);
}

// Starts again at another snapshot if there is one, the time left is that of
// most shards, and the budget allows; else the query goes on as it is.
bool Query::TryRestart() {
  const RestartCause cause =
      std::exchange(m_ctx.restart_wanted, RestartCause::kNone);
  const TimePoint now = m_ctx.parts.scheduler->Now();
  ServiceState& service = *m_ctx.service;
  const bool may_run_again = m_ctx.spec.idempotent || m_ctx.attempts == 0;
  if (!may_run_again || m_restarts >= kMaxRestarts) return false;
  if (service.removed || service.snapshots.ShardCount() == 0) return false;
  if (service.snapshots.Newest(now) == m_ctx.pin) return false;
  const Duration needed = service.completion.Value().value_or(Duration(1));
  if (now + needed > m_ctx.deadline) return false;
  if (!service.restarts.TryTake()) {
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
  ++m_depth;
  for (ShardTask& task : m_tasks) task.Stop(ShardState::kSnapshotUnavailable);
  m_ctx.restart_wanted = RestartCause::kNone;
  m_merger->Reset();
  Scatter();
  --m_depth;
}

void Query::Sweep() {
  const TimePoint now = m_ctx.parts.scheduler->Now();
  m_last_sweep = now;
  for (ShardTask& task : m_tasks) task.RunDue(now);
  if (now < m_early_at && m_early_at != TimePoint::max()) {
    OnWantSweep(m_early_at);
  }
}

void Query::Finish(ShardState reason) {
  ++m_depth;
  StopTimers();
  for (ShardTask& task : m_tasks) task.Stop(reason);
  m_done = true;
  QueryAnswer answer = MakeAnswer();
  const DoneCallback on_done = std::move(m_on_done);
  --m_depth;
  on_done(std::move(answer));
}

void Query::StopTimers() {
  m_ctx.parts.scheduler->Cancel(std::exchange(m_deadline_timer, 0));
  m_ctx.parts.scheduler->Cancel(std::exchange(m_sweep_timer, 0));
}

QueryAnswer Query::MakeAnswer() {
  QueryAnswer answer;
  answer.coverage.reserve(m_tasks.size());
  std::ranges::transform(m_tasks, std::back_inserter(answer.coverage),
                         [](const ShardTask& task) {
                           return ShardCoverage{task.Shard(), task.State()};
                         });
  const std::size_t covered = CountCovered(answer.coverage);
  assert(covered == m_covered);
  answer.snapshot = m_ctx.pin;
  answer.ran = m_ctx.ran;
  answer.attempts = m_ctx.attempts;
  answer.retries = m_ctx.retries;
  answer.hedges = m_ctx.hedges;
  answer.restarts = m_restarts;
  answer.half_coverage_time = m_half_covered;
  const std::size_t least =
      std::max<std::size_t>(LeastCovered(m_ctx.spec.min_coverage_per_10000), 1);
  if (covered >= least) {
    answer.body = m_merger->Finish();
    m_ctx.service->restarts.OnSuccess();
  } else {
    answer.body =
        tl::unexpected(QueryFailure(m_ctx.spec, answer.coverage, m_ctx.ran));
  }
  return answer;
}

std::size_t Query::LeastCovered(std::uint64_t per_10000) const {
  return (m_tasks.size() * per_10000 + kCoverageScale - 1) / kCoverageScale;
}

}  // namespace chicoryvale
