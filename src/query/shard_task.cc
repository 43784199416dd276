#include "query/shard_task.h"

#include <algorithm>
#include <cassert>
#include <utility>

#include "query/outcome_classifier.h"

namespace chicoryvale {
namespace {

constexpr Duration kFirstBackoff = milliseconds(1);
// Each further wait is twice as long, this many times.
constexpr std::uint32_t kMaxBackoffDoublings = 6;

ShardState ReasonOf(ErrorKind kind) {
  if (kind == ErrorKind::kQuarantined) return ShardState::kQuarantined;
  return kind == ErrorKind::kUpstreamUnavailable ? ShardState::kUnreachable
                                                 : ShardState::kOverloaded;
}

}  // namespace

void ShardTask::OnChoice(SubRequestId id, Result<ReplicaChoice> choice) {
  LiveAttempt* attempt = Find(id);
  assert(attempt != nullptr && !attempt->sent);
  if (!choice) {
    const AttemptPurpose purpose = attempt->purpose;
    m_query->parts.attempts->Remove(id);
    *attempt = LiveAttempt{};
    OnRefused(purpose, choice.error().kind);
    return;
  }
  const TimePoint now = m_query->parts.scheduler->Now();
  if (m_query->MapChanged() || now >= m_query->deadline) {
    // The gate chose from the new map, or too late.
    if (m_query->MapChanged()) m_query->restart_wanted = RestartCause::kMap;
    Abandon(attempt, now);
    if (!HasLive()) m_state = ShardState::kSnapshotUnavailable;
    return;
  }
  if (!m_query->service->snapshots.Places(m_shard, choice->replica)) {
    // The gate has another shard map than this engine, for the moment.
    Abandon(attempt, now);
    m_state = ShardState::kUnreachable;
    if (!HasLive()) RetryLater();
    return;
  }
  Send(attempt, *std::move(choice));
}

void ShardTask::OnOutcome(SubRequestId id, SubOutcome outcome) {
  LiveAttempt* attempt = Find(id);
  assert(attempt != nullptr && attempt->sent);
  const LiveAttempt ended = std::exchange(*attempt, LiveAttempt{});
  QueryContext& query = *m_query;
  query.parts.attempts->Remove(id);
  CheckEcho(id, m_shard, query.pin, &outcome, query.parts.counters);
  const TimePoint now = query.parts.scheduler->Now();
  const Duration elapsed = now - ended.sent_at;
  query.parts.gate->Finish(ended.ticket, outcome, elapsed);
  // The gate served others, whose end may have cancelled this query.
  if (m_ended) return;
  if (!query.MapChanged()) {
    query.service->snapshots.Learn(m_shard, ended.replica, outcome.report);
  }
  const OutcomeMeaning& meaning = MeaningOf(outcome.kind);
  query.ran = StrongerRan(query.ran, meaning.ran);
  if (outcome.kind == SubOutcomeKind::kAnswered) {
    if (m_owner->Merge(m_shard, outcome.body)) {
      Cover(ended, elapsed);
      return;
    }
    Counters().Add(QueryCounter::kDroppedUnmergeable);
    outcome.kind = SubOutcomeKind::kMalformed;
  }
  if (outcome.kind == SubOutcomeKind::kSnapshotUnavailable) {
    OnUnavailable(ended);
  }
  AvoidNext(ended.replica);
  const OutcomeMeaning& failure = MeaningOf(outcome.kind);
  OnFailure(outcome.kind, failure.retry_counter, failure.reason);
}

void ShardTask::RunDue(TimePoint now) {
  if (m_ended) return;
  if (m_retry_at && now >= *m_retry_at) RunRetry(now);
  if (m_hedge_at && now >= *m_hedge_at) RunHedge(now);
  if (m_stall_at && now >= *m_stall_at) RunStalled();
  if (m_stall_at) m_owner->WantSweep(*m_stall_at);
  if (m_retry_at) m_owner->WantSweep(*m_retry_at);
  if (m_hedge_at) m_owner->WantSweep(*m_hedge_at);
}

void ShardTask::EndIfIdle() {
  if (!m_ended && !m_retry_at && !HasLive()) End(m_state);
}

void ShardTask::Stop(ShardState reason) {
  const bool waits_for_answer = InFlight();
  AbandonAll();
  if (m_ended) return;
  if (reason != ShardState::kSnapshotUnavailable) {
    const TimePoint now = m_query->parts.scheduler->Now();
    m_query->service->completion.Record(now - m_query->started);
  }
  const bool met_none = waits_for_answer || m_state == ShardState::kDeadline;
  End(met_none ? reason : m_state);
}

bool ShardTask::InFlight() const {
  return std::ranges::any_of(m_live, &LiveAttempt::sent);
}

void ShardTask::Attempt(AttemptPurpose purpose) {
  if (m_ended) return;
  QueryContext& query = *m_query;
  LiveAttempt* free = Find(0);
  assert(free != nullptr);
  free->id = query.parts.attempts->Add(m_owner, m_index);
  free->ticket = query.parts.gate->NewTicket();
  free->purpose = purpose;
  AttemptSpec& spec = query.gate_spec;
  spec.shard = m_shard;
  spec.snapshot = query.pin;
  spec.purpose = purpose;
  spec.deadline = query.deadline;
  spec.avoid.assign(m_failed.begin(), m_failed.end());
  for (const LiveAttempt& live : m_live) {
    if (live.sent) spec.avoid.push_back(live.replica);
  }
  query.service->snapshots.AppendUnable(m_shard, query.pin.index_version,
                                        query.parts.scheduler->Now(),
                                        &spec.avoid);
  query.parts.gate->Request(spec, free->ticket,
                            [table = query.parts.attempts,
                             id = free->id](Result<ReplicaChoice> choice) {
                              table->DeliverChoice(id, std::move(choice));
                            });
}

void ShardTask::Send(LiveAttempt* attempt, ReplicaChoice choice) {
  QueryContext& query = *m_query;
  const TimePoint now = query.parts.scheduler->Now();
  attempt->sent = true;
  attempt->sent_at = now;
  attempt->replica = choice.replica;
  const Duration progress_bound = choice.progress_bound;
  m_retry_at.reset();
  m_waits = 0;
  ++m_sent;
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
  request.snapshot = query.pin;
  request.body = query.spec.body;
  request.timeout = query.deadline - now;
  request.idempotent = query.spec.idempotent;
  request.fresh_connection = choice.fresh_connection;
  if (!query.spec.idempotent) request.request_id = query.spec.request_id;
  query.parts.transport->Send(
      std::move(request),
      [table = query.parts.attempts, id = attempt->id](SubOutcome outcome) {
        table->DeliverOutcome(id, std::move(outcome));
      });
  if (!query.spec.idempotent) return;
  if (progress_bound > Duration::zero()) {
    m_stall_at = now + progress_bound;
    m_owner->WantSweep(*m_stall_at);
  }
  if (!query.parts.hedging || m_hedged) return;
  const auto delay = query.service->hedging.Delay();
  if (!delay) return;
  m_hedge_at = now + *delay;
  m_owner->WantSweep(*m_hedge_at);
}

void ShardTask::OnRefused(AttemptPurpose purpose, ErrorKind kind) {
  Counters().Add(QueryCounter::kGateRefused);
  if (purpose == AttemptPurpose::kHedge) {
    m_query->service->hedging.GiveBack();
    m_hedged = false;
    const auto delay = m_query->service->hedging.Delay();
    if (delay) m_hedge_at = m_query->parts.scheduler->Now() + *delay;
    if (delay) m_owner->WantSweep(*m_hedge_at);
    if (!HasLive()) RetryLater();
    return;
  }
  // The token is taken anew with the next try.
  if (purpose == AttemptPurpose::kRetry) {
    m_query->service->extra_load.GiveBack();
  }
  m_state = ReasonOf(kind);
  if (kind == ErrorKind::kUpstreamUnavailable) m_failed.clear();
  if (HasLive()) return;
  if (kind == ErrorKind::kQuarantined) {
    End(m_state);
  } else {
    RetryLater();
  }
}

void ShardTask::Cover(const LiveAttempt& winner, Duration elapsed) {
  ServiceState& service = *m_query->service;
  if (winner.purpose == AttemptPurpose::kHedge) {
    Counters().Add(QueryCounter::kHedgesWon);
  }
  Counters().Add(QueryCounter::kShardsCovered);
  service.hedging.RecordLatency(elapsed);
  service.hedging.OnSuccess();
  service.extra_load.OnSuccess();
  service.completion.Record(m_query->parts.scheduler->Now() - m_query->started);
  End(ShardState::kCovered);
  AbandonAll();
}

void ShardTask::OnFailure(SubOutcomeKind kind, QueryCounter retry_counter,
                          ShardState reason) {
  m_state = reason;
  if (HasLive()) return;
  if (kind == SubOutcomeKind::kTimedOut || !MaySendAgain(kind)) {
    End(reason);
    return;
  }
  if (m_query->restart_wanted != RestartCause::kNone) return;
  Counters().Add(retry_counter);
  m_retry_at = m_query->parts.scheduler->Now();
  RunRetry(*m_retry_at);
}

// Learns that the replica does not serve the pinned snapshot. If no other one
// of the shard does, the query has to start again.
void ShardTask::OnUnavailable(const LiveAttempt& ended) {
  QueryContext& query = *m_query;
  if (query.MapChanged()) {
    query.restart_wanted = RestartCause::kMap;
    return;
  }
  const TimePoint now = query.parts.scheduler->Now();
  const std::uint64_t version = query.pin.index_version;
  query.service->snapshots.Refuse(m_shard, ended.replica, version, now);
  if (!query.service->snapshots.MayServe(m_shard, version, now)) {
    query.restart_wanted = RestartCause::kSnapshot;
  }
}

// A short burst of failures may be over soon. A longer one leaves retries
// waiting in vain, so tail latency does not wait.
void ShardTask::WaitForBudget() {
  const bool waits = m_query->spec.objective == QueryObjective::kCoverage &&
                     m_waits < kMaxBudgetWaits;
  if (waits) {
    RetryLater();
  } else {
    End(m_state);
  }
}

// Leaves at least one replica that is not avoided: once all have failed, only
// the last one to do so is.
void ShardTask::AvoidNext(const Address& replica) {
  const auto replicas = m_query->service->snapshots.ReplicaCount(m_shard);
  if (m_failed.size() + 1 >= replicas) m_failed.clear();
  m_failed.push_back(replica);
}

void ShardTask::RetryLater() {
  if (++m_waits > kMaxWaits) {
    End(m_state);
    return;
  }
  const auto doublings = std::min(m_waits - 1, kMaxBackoffDoublings);
  const Duration longest = kFirstBackoff * (1U << doublings);
  std::uniform_int_distribution<Duration::rep> jitter(longest.count() / 2,
                                                      longest.count());
  m_retry_at = m_query->parts.scheduler->Now() +
               Duration(jitter(*m_query->parts.random));
  m_owner->WantSweep(*m_retry_at);
}

void ShardTask::RunRetry(TimePoint now) {
  m_retry_at.reset();
  if (m_query->MapChanged()) {
    m_query->restart_wanted = RestartCause::kMap;
    return;
  }
  if (now >= m_query->deadline) return;
  // Before anything was sent this is still the first attempt.
  if (m_sent == 0) {
    Attempt(AttemptPurpose::kFirst);
    return;
  }
  if (!m_query->service->extra_load.TryTake()) {
    Counters().Add(QueryCounter::kRetryNoBudget);
    WaitForBudget();
    return;
  }
  Attempt(AttemptPurpose::kRetry);
}

void ShardTask::RunHedge(TimePoint now) {
  m_hedge_at.reset();
  if (m_hedged || !InFlight() || Find(0) == nullptr) return;
  if (m_query->MapChanged() || m_sent >= kMaxAttempts) return;
  if (!m_query->service->hedging.TryTake()) {
    Counters().Add(QueryCounter::kHedgeNoBudget);
    const auto delay = m_query->service->hedging.Delay();
    if (delay) m_hedge_at = now + *delay;
    return;
  }
  m_hedged = true;
  Attempt(AttemptPurpose::kHedge);
}

// Asks again beside an attempt without progress, whose connection may be
// silent, if no hedge has done so.
void ShardTask::RunStalled() {
  m_stall_at.reset();
  if (!InFlight() || Find(0) == nullptr) return;
  if (m_query->MapChanged() || m_sent >= kMaxAttempts) return;
  if (!m_query->service->extra_load.TryTake()) {
    Counters().Add(QueryCounter::kRetryNoBudget);
    return;
  }
  Counters().Add(QueryCounter::kRetryStalled);
  Attempt(AttemptPurpose::kRetry);
}

void ShardTask::End(ShardState state) {
  m_ended = true;
  m_state = state;
  m_retry_at.reset();
  m_hedge_at.reset();
  m_stall_at.reset();
  m_owner->TaskEnded(state);
}

void ShardTask::Abandon(LiveAttempt* attempt, TimePoint now) {
  const LiveAttempt ended = std::exchange(*attempt, LiveAttempt{});
  const QueryParts& parts = m_query->parts;
  parts.attempts->Remove(ended.id);
  Duration elapsed{};
  if (ended.sent) {
    elapsed = now - ended.sent_at;
    parts.transport->Cancel(ended.id);
    m_query->ran = StrongerRan(m_query->ran, Ran::kMaybe);
    m_query->service->hedging.RecordLatency(elapsed);
  } else if (ended.purpose == AttemptPurpose::kHedge) {
    m_query->service->hedging.GiveBack();
  } else if (ended.purpose == AttemptPurpose::kRetry) {
    m_query->service->extra_load.GiveBack();
  }
  parts.gate->Abandon(ended.ticket, elapsed);
}

void ShardTask::AbandonAll() {
  const TimePoint now = m_query->parts.scheduler->Now();
  for (LiveAttempt& attempt : m_live) {
    if (attempt.id != 0) Abandon(&attempt, now);
  }
}

// A request that may run at most once is sent again only if no byte of it
// could reach an upstream.
bool ShardTask::MaySendAgain(SubOutcomeKind kind) const {
  if (m_sent >= kMaxAttempts) return false;
  return m_query->spec.idempotent || kind == SubOutcomeKind::kNotConnected;
}

bool ShardTask::HasLive() const {
  return std::ranges::any_of(
      m_live, [](const LiveAttempt& attempt) { return attempt.id != 0; });
}

ShardTask::LiveAttempt* ShardTask::Find(SubRequestId id) {
  const auto found = std::ranges::find(m_live, id, &LiveAttempt::id);
  return found == m_live.end() ? nullptr : &*found;
}

}  // namespace chicoryvale
