#include "query/shard_task.h"

#include <algorithm>
#include <cassert>
#include <utility>

#include "query/outcome_classifier.h"

namespace chicoryvale {
namespace {

// Upper bound of the first backoff. The lower bound is half of it.
constexpr Duration kMaxFirstBackoff = milliseconds(1);
// Each further backoff is twice as long, up to this many doublings.
constexpr std::uint32_t kMaxBackoffDoublings = 6;

ShardState ShardStateOf(ErrorKind kind) {
  if (kind == ErrorKind::kQuarantined) return ShardState::kQuarantined;
  return kind == ErrorKind::kUpstreamUnavailable ? ShardState::kUnreachable
                                                 : ShardState::kOverloaded;
}

}  // namespace

void ShardTask::OnChoice(SubRequestId id, Result<ReplicaChoice> choice) {
  PendingAttempt* attempt = FindAttempt(id);
  assert(attempt != nullptr && !attempt->sent);
  if (!choice) {
    const AttemptPurpose purpose = attempt->purpose;
    m_query->dependencies.attempts->Remove(id);
    *attempt = PendingAttempt{};
    OnGateRefusal(purpose, choice.error().kind);
    return;
  }
  const TimePoint now = m_query->dependencies.scheduler->Now();
  if (m_query->HasMapChanged() || now >= m_query->deadline) {
    // The gate chose a replica of the new shard map, or the deadline passed.
    if (m_query->HasMapChanged()) m_query->restart_cause = RestartCause::kMap;
    Abandon(attempt, now);
    if (!HasPendingAttempt()) m_state = ShardState::kSnapshotUnavailable;
    return;
  }
  if (!m_query->service->snapshots.HasReplica(m_shard, choice->replica)) {
    // The gate and this engine temporarily have different shard maps.
    Abandon(attempt, now);
    m_state = ShardState::kUnreachable;
    if (!HasPendingAttempt()) ScheduleRetry();
    return;
  }
  SendAttempt(attempt, *std::move(choice));
}

void ShardTask::OnOutcome(SubRequestId id, SubOutcome outcome) {
  PendingAttempt* attempt = FindAttempt(id);
  assert(attempt != nullptr && attempt->sent);
  const PendingAttempt ended = std::exchange(*attempt, PendingAttempt{});
  QueryContext& query = *m_query;
  query.dependencies.attempts->Remove(id);
  RejectMismatchedEcho(id, m_shard, query.pinned_snapshot, &outcome,
                       query.dependencies.counters);
  const TimePoint now = query.dependencies.scheduler->Now();
  const Duration elapsed = now - ended.sent_at;
  query.dependencies.gate->Finish(ended.ticket, outcome, elapsed);
  // Finish may start attempts of other queries, and their end may have
  // cancelled this query.
  if (m_ended) return;
  if (!query.HasMapChanged()) {
    query.service->snapshots.RecordReport(m_shard, ended.replica,
                                          outcome.report);
  }
  const OutcomeClassification& classification = ClassifyOutcome(outcome.kind);
  query.ran = CombineRan(query.ran, classification.ran);
  if (outcome.kind == SubOutcomeKind::kAnswered) {
    if (m_owner->MergeAnswer(m_shard, outcome.body)) {
      CompleteCovered(ended, elapsed);
      return;
    }
    Counters().Add(QueryCounter::kDroppedUnmergeable);
    outcome.kind = SubOutcomeKind::kMalformed;
  }
  if (outcome.kind == SubOutcomeKind::kSnapshotUnavailable) {
    OnSnapshotUnavailable(ended);
  }
  AvoidReplica(ended.replica);
  const OutcomeClassification& failure = ClassifyOutcome(outcome.kind);
  OnFailure(outcome.kind, failure.retry_counter, failure.shard_state);
}

void ShardTask::RunDueAttempts(TimePoint now) {
  if (m_ended) return;
  if (m_retry_at && now >= *m_retry_at) RunRetry(now);
  if (m_hedge_at && now >= *m_hedge_at) RunHedge(now);
  if (m_stall_at && now >= *m_stall_at) RunStallRetry();
  if (m_stall_at) m_owner->RequestWakeup(*m_stall_at);
  if (m_retry_at) m_owner->RequestWakeup(*m_retry_at);
  if (m_hedge_at) m_owner->RequestWakeup(*m_hedge_at);
}

void ShardTask::EndIfIdle() {
  if (!m_ended && !m_retry_at && !HasPendingAttempt()) End(m_state);
}

void ShardTask::Stop(ShardState default_state) {
  const bool had_attempt_in_flight = HasAttemptInFlight();
  AbandonAll();
  if (m_ended) return;
  if (default_state != ShardState::kSnapshotUnavailable) {
    const TimePoint now = m_query->dependencies.scheduler->Now();
    m_query->service->completion_times.Record(now - m_query->start_time);
  }
  const bool use_default =
      had_attempt_in_flight || m_state == ShardState::kDeadline;
  End(use_default ? default_state : m_state);
}

bool ShardTask::HasAttemptInFlight() const {
  return std::ranges::any_of(m_pending_attempts, &PendingAttempt::sent);
}

void ShardTask::StartAttempt(AttemptPurpose purpose) {
  if (m_ended) return;
  QueryContext& query = *m_query;
  PendingAttempt* slot = FindAttempt(0);
  assert(slot != nullptr);
  slot->id = query.dependencies.attempts->Add(m_owner, m_task_index);
  slot->ticket = query.dependencies.gate->NewTicket();
  slot->purpose = purpose;
  AttemptSpec& spec = query.attempt_spec;
  spec.shard = m_shard;
  spec.snapshot = query.pinned_snapshot;
  spec.purpose = purpose;
  spec.deadline = query.deadline;
  spec.avoid.assign(m_failed_replicas.begin(), m_failed_replicas.end());
  for (const PendingAttempt& pending : m_pending_attempts) {
    if (pending.sent) spec.avoid.push_back(pending.replica);
  }
  query.service->snapshots.AppendReplicasToAvoid(
      m_shard, query.pinned_snapshot.index_version,
      query.dependencies.scheduler->Now(), &spec.avoid);
  query.dependencies.gate->Request(
      spec, slot->ticket,
      [table = query.dependencies.attempts,
       id = slot->id](Result<ReplicaChoice> choice) {
        table->DeliverChoice(id, std::move(choice));
      });
}

void ShardTask::SendAttempt(PendingAttempt* attempt, ReplicaChoice choice) {
  QueryContext& query = *m_query;
  const TimePoint now = query.dependencies.scheduler->Now();
  attempt->sent = true;
  attempt->sent_at = now;
  attempt->replica = choice.replica;
  const Duration progress_bound = choice.progress_bound;
  m_retry_at.reset();
  m_backoffs = 0;
  ++m_sent_attempts;
  ++query.attempts;
  Counters().Add(QueryCounter::kSubRequests);
  if (attempt->purpose == AttemptPurpose::kRetry) ++query.retries;
  if (attempt->purpose == AttemptPurpose::kHedge) {
    ++query.hedges;
    Counters().Add(QueryCounter::kHedges);
  }
  SubRequest request;
  request.id = attempt->id;
  request.replica = std::move(choice.replica);
  request.service = query.spec.service;
  request.method = query.spec.method;
  request.shard = m_shard;
  request.snapshot = query.pinned_snapshot;
  request.body = query.spec.body;
  request.timeout = query.deadline - now;
  request.idempotent = query.spec.idempotent;
  request.fresh_connection = choice.fresh_connection;
  if (!query.spec.idempotent) request.request_id = query.spec.request_id;
  query.dependencies.transport->Send(
      std::move(request), [table = query.dependencies.attempts,
                           id = attempt->id](SubOutcome outcome) {
        table->DeliverOutcome(id, std::move(outcome));
      });
  if (!query.spec.idempotent) return;
  if (progress_bound > Duration::zero()) {
    m_stall_at = now + progress_bound;
    m_owner->RequestWakeup(*m_stall_at);
  }
  if (!query.dependencies.hedging || m_hedged) return;
  const auto delay = query.service->hedge_policy.Delay();
  if (!delay) return;
  m_hedge_at = now + *delay;
  m_owner->RequestWakeup(*m_hedge_at);
}

void ShardTask::OnGateRefusal(AttemptPurpose purpose, ErrorKind kind) {
  Counters().Add(QueryCounter::kGateRefused);
  if (purpose == AttemptPurpose::kHedge) {
    m_query->service->hedge_policy.RefundTokens();
    m_hedged = false;
    const auto delay = m_query->service->hedge_policy.Delay();
    if (delay) m_hedge_at = m_query->dependencies.scheduler->Now() + *delay;
    if (delay) m_owner->RequestWakeup(*m_hedge_at);
    if (!HasPendingAttempt()) ScheduleRetry();
    return;
  }
  // The next try consumes a token again.
  if (purpose == AttemptPurpose::kRetry) {
    m_query->service->extra_attempt_budget.Refund();
  }
  m_state = ShardStateOf(kind);
  if (kind == ErrorKind::kUpstreamUnavailable) m_failed_replicas.clear();
  if (HasPendingAttempt()) return;
  if (kind == ErrorKind::kQuarantined) {
    End(m_state);
  } else {
    ScheduleRetry();
  }
}

void ShardTask::CompleteCovered(const PendingAttempt& winner,
                                Duration elapsed) {
  ServiceState& service = *m_query->service;
  if (winner.purpose == AttemptPurpose::kHedge) {
    Counters().Add(QueryCounter::kHedgesWon);
  }
  Counters().Add(QueryCounter::kShardsCovered);
  service.hedge_policy.RecordLatency(elapsed);
  service.hedge_policy.RecordCoveredShard();
  service.extra_attempt_budget.RecordSuccesses();
  service.completion_times.Record(m_query->dependencies.scheduler->Now() -
                                  m_query->start_time);
  End(ShardState::kCovered);
  AbandonAll();
}

void ShardTask::OnFailure(SubOutcomeKind kind, QueryCounter retry_counter,
                          ShardState shard_state) {
  m_state = shard_state;
  if (HasPendingAttempt()) return;
  if (kind == SubOutcomeKind::kTimedOut || !MayRetry(kind)) {
    End(shard_state);
    return;
  }
  if (m_query->restart_cause != RestartCause::kNone) return;
  Counters().Add(retry_counter);
  m_retry_at = m_query->dependencies.scheduler->Now();
  RunRetry(*m_retry_at);
}

// Records that the replica does not serve the pinned snapshot. If no other
// replica of the shard may serve it, the query has to restart.
void ShardTask::OnSnapshotUnavailable(const PendingAttempt& ended) {
  QueryContext& query = *m_query;
  if (query.HasMapChanged()) {
    query.restart_cause = RestartCause::kMap;
    return;
  }
  const TimePoint now = query.dependencies.scheduler->Now();
  const std::uint64_t version = query.pinned_snapshot.index_version;
  query.service->snapshots.RecordRefusal(m_shard, ended.replica, version, now);
  if (!query.service->snapshots.MayServe(m_shard, version, now)) {
    query.restart_cause = RestartCause::kSnapshot;
  }
}

// Backs off, because a short burst of failures may end soon. In a longer one
// the wait is useless, so the number of backoffs is bounded, and tail-latency
// queries do not wait at all.
void ShardTask::OnRetryBudgetExhausted() {
  const bool may_back_off =
      m_query->spec.objective == QueryObjective::kCoverage &&
      m_backoffs < kMaxBudgetBackoffs;
  if (may_back_off) {
    ScheduleRetry();
  } else {
    End(m_state);
  }
}

// Adds `replica` to the replicas to avoid. If all replicas of the shard would
// be avoided, discards the earlier ones, so that the gate can choose among
// them.
void ShardTask::AvoidReplica(const Address& replica) {
  const auto replicas = m_query->service->snapshots.ReplicaCount(m_shard);
  if (m_failed_replicas.size() + 1 >= replicas) m_failed_replicas.clear();
  m_failed_replicas.push_back(replica);
}

void ShardTask::ScheduleRetry() {
  if (++m_backoffs > kMaxBackoffs) {
    End(m_state);
    return;
  }
  const auto doublings = std::min(m_backoffs - 1, kMaxBackoffDoublings);
  const Duration max_backoff = kMaxFirstBackoff * (1U << doublings);
  std::uniform_int_distribution<Duration::rep> jitter(max_backoff.count() / 2,
                                                      max_backoff.count());
  m_retry_at = m_query->dependencies.scheduler->Now() +
               Duration(jitter(*m_query->dependencies.random));
  m_owner->RequestWakeup(*m_retry_at);
}

void ShardTask::RunRetry(TimePoint now) {
  m_retry_at.reset();
  if (m_query->HasMapChanged()) {
    m_query->restart_cause = RestartCause::kMap;
    return;
  }
  if (now >= m_query->deadline) return;
  // If no attempt was sent yet, this is still the first attempt.
  if (m_sent_attempts == 0) {
    StartAttempt(AttemptPurpose::kFirst);
    return;
  }
  if (!m_query->service->extra_attempt_budget.TryConsume()) {
    Counters().Add(QueryCounter::kRetryNoBudget);
    OnRetryBudgetExhausted();
    return;
  }
  StartAttempt(AttemptPurpose::kRetry);
}

void ShardTask::RunHedge(TimePoint now) {
  m_hedge_at.reset();
  if (m_hedged || !HasAttemptInFlight() || FindAttempt(0) == nullptr) return;
  if (m_query->HasMapChanged() || m_sent_attempts >= kMaxAttempts) return;
  if (!m_query->service->hedge_policy.TryConsumeTokens()) {
    Counters().Add(QueryCounter::kHedgeNoBudget);
    const auto delay = m_query->service->hedge_policy.Delay();
    if (delay) m_hedge_at = now + *delay;
    return;
  }
  m_hedged = true;
  StartAttempt(AttemptPurpose::kHedge);
}

// Sends a retry while an attempt without progress is still in flight, because
// its connection may have failed silently. Does nothing if a second attempt is
// already pending.
void ShardTask::RunStallRetry() {
  m_stall_at.reset();
  if (!HasAttemptInFlight() || FindAttempt(0) == nullptr) return;
  if (m_query->HasMapChanged() || m_sent_attempts >= kMaxAttempts) return;
  if (!m_query->service->extra_attempt_budget.TryConsume()) {
    Counters().Add(QueryCounter::kRetryNoBudget);
    return;
  }
  Counters().Add(QueryCounter::kRetryStalled);
  StartAttempt(AttemptPurpose::kRetry);
}

void ShardTask::End(ShardState state) {
  m_ended = true;
  m_state = state;
  m_retry_at.reset();
  m_hedge_at.reset();
  m_stall_at.reset();
  m_owner->HandleTaskEnd(state);
}

void ShardTask::Abandon(PendingAttempt* attempt, TimePoint now) {
  const PendingAttempt ended = std::exchange(*attempt, PendingAttempt{});
  const QueryDependencies& dependencies = m_query->dependencies;
  dependencies.attempts->Remove(ended.id);
  Duration elapsed{};
  if (ended.sent) {
    elapsed = now - ended.sent_at;
    dependencies.transport->Cancel(ended.id);
    m_query->ran = CombineRan(m_query->ran, Ran::kMaybe);
    m_query->service->hedge_policy.RecordLatency(elapsed);
  } else if (ended.purpose == AttemptPurpose::kHedge) {
    m_query->service->hedge_policy.RefundTokens();
  } else if (ended.purpose == AttemptPurpose::kRetry) {
    m_query->service->extra_attempt_budget.Refund();
  }
  dependencies.gate->Abandon(ended.ticket, elapsed);
}

void ShardTask::AbandonAll() {
  const TimePoint now = m_query->dependencies.scheduler->Now();
  for (PendingAttempt& attempt : m_pending_attempts) {
    if (attempt.id != 0) Abandon(&attempt, now);
  }
}

// A request that is not idempotent is retried only if no byte of it can have
// reached an upstream.
bool ShardTask::MayRetry(SubOutcomeKind kind) const {
  if (m_sent_attempts >= kMaxAttempts) return false;
  return m_query->spec.idempotent || kind == SubOutcomeKind::kNotConnected;
}

bool ShardTask::HasPendingAttempt() const {
  return std::ranges::any_of(
      m_pending_attempts,
      [](const PendingAttempt& attempt) { return attempt.id != 0; });
}

ShardTask::PendingAttempt* ShardTask::FindAttempt(SubRequestId id) {
  const auto found =
      std::ranges::find(m_pending_attempts, id, &PendingAttempt::id);
  return found == m_pending_attempts.end() ? nullptr : &*found;
}

}  // namespace chicoryvale
