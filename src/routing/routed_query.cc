#include "routing/routed_query.h"

#include <algorithm>
#include <array>
#include <utility>

namespace chicoryvale {
namespace {

/// Maximum number of attempts of one sub-request, including refused ones.
constexpr std::uint32_t kMaxTotalAttempts = 4;

/// Minimum time limit of an attempt. Replicas get the limit in whole
/// milliseconds, and 0 would mean that there is no limit.
constexpr Duration kMinAttemptTimeLimit = milliseconds(1);

/// Pause before refused sub-requests are sent again: about the time that a
/// replica needs for one request.
constexpr Duration kRefusalPause = milliseconds(15);

constexpr std::array<std::string_view, 5> kReasonNames = {
    "silent", "not_run", "wrong_replica", "broken", "failed"};

constexpr std::array<RoutingCounter, 5> kReasonCounters = {
    RoutingCounter::kHedges, RoutingCounter::kRetriesNotRun,
    RoutingCounter::kRetriesWrongReplica, RoutingCounter::kRetriesBroken,
    RoutingCounter::kRetriesFailed};

}  // namespace

RoutedQuery::RoutedQuery(const RoutingContext& context, Input input,
                         Callback callback)
    : m_context(context),
      m_input(std::move(input)),
      m_callback(std::move(callback)),
      m_timing(*m_input.route) {}

RoutedQuery::~RoutedQuery() { StopTimers(); }

void RoutedQuery::Start() {
  m_started = m_context.scheduler->Now() - m_input.waited;
  for (const std::string& service : m_input.services) {
    m_sub_requests.emplace_back().service = service;
  }
  if (!IsForRelay() && !CanBeServed()) return FinishWithoutAnswer(false);
  if (!BeginGuardedRun()) return FinishQuarantined();
  if (!IsForRelay()) m_zone_draw = m_context.pool->DrawPlacement();
  m_deadline_timer =
      m_context.scheduler->Schedule(TimeLeft(), [this] { OnDeadline(); });
  if (m_input.route->idempotent) {
    m_hedge_timer = m_context.scheduler->Schedule(m_timing.HedgeDelay(),
                                                  [this] { OnHedgeTimer(); });
  }
  if (m_input.route->IsScattered()) {
    const Duration partial_answer_time =
        m_input.answer_within.value_or(m_timing.PartialAnswerTime());
    m_partial_answer_timer = m_context.scheduler->Schedule(
        std::max(partial_answer_time - m_input.waited, Duration::zero()),
        [this] { OnPartialAnswerTimer(); });
  }
  m_is_canary =
      m_guarded_run && m_guarded_run->marked && m_input.route->IsScattered();
  if (m_is_canary) {
    SendDirectly(0);
  } else {
    SendAll();
  }
  FinishIfSettled();
}

bool RoutedQuery::BeginGuardedRun() {
  if (m_context.crash_guard == nullptr || IsForRelay()) return true;
  m_guarded_run = m_context.crash_guard->Begin(*m_input.request);
  return m_guarded_run.has_value();
}

void RoutedQuery::SendAll() {
  SendToRelays();
  for (std::size_t i = 0; i < m_sub_requests.size(); ++i) {
    if (!m_sub_requests[i].IsSent()) SendDirectly(i);
  }
}

void RoutedQuery::SendDirectly(std::size_t index) {
  m_context.budget->RecordRequest(m_sub_requests[index].service,
                                  m_context.scheduler->Now());
  SendFirstAttempt(index);
}

// Returns whether enough services have a usable replica.
bool RoutedQuery::CanBeServed() const {
  const TimePoint now = m_context.scheduler->Now();
  const bool may_relay =
      m_input.route->IsScattered() && m_context.relay != nullptr;
  const auto reach =
      may_relay ? ReplicaPool::Reach::kByRelay : ReplicaPool::Reach::kDirect;
  const auto servable = static_cast<std::size_t>(std::ranges::count_if(
      m_sub_requests, [this, reach, now](const SubRequest& sub_request) {
        return m_context.pool->CountUsable(sub_request.service, now, reach) > 0;
      }));
  return m_input.route->IsScattered()
             ? m_timing.IsSufficient(servable, m_sub_requests.size())
             : servable > 0;
}

void RoutedQuery::SendFirstAttempt(std::size_t index) {
  SubRequest& sub_request = m_sub_requests[index];
  if (SendAttempt(index)) {
    m_context.counters->Add(RoutingCounter::kFirstSends);
  } else if (MayRetryRefused(sub_request)) {
    ScheduleRetry(index, RetryReason::kNotRun);
  } else {
    sub_request.resolved = true;
  }
}

bool RoutedQuery::SendAttempt(std::size_t index) {
  SubRequest& sub_request = m_sub_requests[index];
  const TimePoint now = m_context.scheduler->Now();
  const Duration attempt_time_limit = AttemptTimeLimit();
  if (attempt_time_limit < kMinAttemptTimeLimit) return false;
  auto choice = m_context.pool->Choose(sub_request.service, sub_request.tried,
                                       now, m_zone_draw);
  if (!choice) return false;
  sub_request.tried.push_back(choice->id);
  ++sub_request.total_attempts;
  ++sub_request.runs;
  const std::weak_ptr<int> alive = m_alive;
  // The id of the send is known only after the call; the callback never runs
  // before that.
  auto send_id = std::make_shared<std::uint64_t>(0);
  *send_id = m_context.sends->Send(
      {choice->address, choice->id, m_input.request, attempt_time_limit},
      [this, alive, index, send_id](ReplicaAnswer answer) {
        if (!alive.expired()) OnAttemptEnd(index, *send_id, std::move(answer));
      });
  sub_request.open.push_back({*send_id, choice->id, choice->address, now});
  return true;
}

bool RoutedQuery::TryRetry(std::size_t index, RetryReason reason) {
  SubRequest& sub_request = m_sub_requests[index];
  const Route& route = *m_input.route;
  if (sub_request.runs >= route.max_attempts ||
      sub_request.total_attempts >= kMaxTotalAttempts ||
      (IsUnprovenTrial() && sub_request.runs > 0) || AwaitsSurvivor(index)) {
    return false;
  }
  const TimePoint now = m_context.scheduler->Now();
  const auto choice = m_context.pool->Choose(
      sub_request.service, sub_request.tried, now, m_zone_draw);
  if (!choice) return false;
  // After the target latency, an unanswered attempt counts as lost, and a
  // further one as a retry rather than a hedge.
  const bool is_hedge = reason == RetryReason::kSilent &&
                        now - m_started < m_input.route->target_latency;
  if (is_hedge && !m_timing.ShouldHedge(choice->cost, now - m_started)) {
    return false;
  }
  const auto purpose =
      is_hedge ? RetryBudget::Purpose::kHedge : RetryBudget::Purpose::kRetry;
  if (!m_context.budget->TryAcquire(sub_request.service, purpose, now)) {
    m_context.counters->Add(RoutingCounter::kRepeatsOverBudget);
    return false;
  }
  const std::string previous_replica =
      sub_request.tried.empty() ? "" : sub_request.tried.back();
  if (!SendAttempt(index)) return false;
  ++m_retry_count;
  const auto reason_index = static_cast<std::size_t>(reason);
  m_context.counters->Add(kReasonCounters[reason_index]);
  m_context.log->Write(LogLevel::kInfo, "part_repeated",
                       {{"id", m_input.request->id},
                        {"service", sub_request.service},
                        {"reason", std::string(kReasonNames[reason_index])},
                        {"from", previous_replica},
                        {"to", sub_request.tried.back()},
                        {"after_ms", MillisecondsText(now - m_started)}});
  return true;
}

void RoutedQuery::OnAttemptEnd(std::size_t index, std::uint64_t send_id,
                               ReplicaAnswer answer) {
  SubRequest& sub_request = m_sub_requests[index];
  const auto ended = std::ranges::find(sub_request.open, send_id, &Send::id);
  if (ended != sub_request.open.end()) {
    if (IsForRelay() && answer.notice.draining) {
      m_draining_replicas.push_back(ended->replica_id);
    }
    RecordReplicaState(*ended, answer);
    sub_request.open.erase(ended);
  }
  if (m_is_canary && m_replica_survived && !m_finished) {
    m_is_canary = false;
    SendAll();
  }
  if (sub_request.resolved || m_finished) return;
  if (!answer.IsSuccess()) return OnAttemptFailed(index, answer);
  for (const Send& send : sub_request.open) m_context.sends->Release(send.id);
  sub_request.open.clear();
  sub_request.resolved = true;
  sub_request.answer = std::move(answer);
  FinishIfSettled();
}

// A replica that sends bytes which are no answer has not crashed.
void RoutedQuery::RecordReplicaState(const Send& send,
                                     const ReplicaAnswer& answer) {
  if (answer.end == SendEnd::kBroken && answer.ended_by_replica) {
    ++m_lost_count;
    m_lost_replica = send.address;
  }
  if (answer.end != SendEnd::kAnswered) return;
  m_replica_survived = true;
  if (answer.IsSuccess()) m_replica_succeeded = true;
  if (m_context.crash_guard != nullptr) {
    m_context.crash_guard->RecordAnswer(send.address, send.sent_at);
  }
}

// A relay knows only a part of the sub-requests, and a request to a single
// replica has no others that may survive.
bool RoutedQuery::AwaitsSurvivor(std::size_t index) const {
  const bool may_survive_elsewhere =
      m_input.route->IsScattered() && !IsForRelay();
  if (m_replica_survived || m_lost_count == 0 || !may_survive_elsewhere) {
    return false;
  }
  const auto& own = m_sub_requests[index];
  const bool others_open =
      std::ranges::any_of(m_sub_requests, [&own](const SubRequest& other) {
        return &other != &own && !other.open.empty();
      });
  return others_open || m_lost_count > 1;
}

void RoutedQuery::OnAttemptFailed(std::size_t index,
                                  const ReplicaAnswer& answer) {
  SubRequest& sub_request = m_sub_requests[index];
  const bool not_run =
      answer.end == SendEnd::kNotRun || answer.end == SendEnd::kWrongReplica;
  if (not_run) {
    --sub_request.runs;
    return RetryRefused(index, answer.end == SendEnd::kNotRun
                                   ? RetryReason::kNotRun
                                   : RetryReason::kWrongReplica);
  }
  if (answer.end == SendEnd::kAnswered) {
    if (answer.is_deliverable) {
      sub_request.last_failure = answer;
    } else {
      m_context.counters->Add(RoutingCounter::kAnswersWithheld);
    }
  }
  const RetryReason reason = answer.end == SendEnd::kAnswered
                                 ? RetryReason::kFailed
                                 : RetryReason::kBroken;
  const bool may_retry = m_input.route->idempotent && !IsUnprovenTrial();
  if (may_retry && sub_request.open.empty()) {
    if (TryRetry(index, reason)) return;
    // The retry waits until a replica has survived the request.
    if (AwaitsSurvivor(index) && MayRetryRefused(sub_request)) {
      return ScheduleRetry(index, reason);
    }
  }
  ResolveUnanswered(index);
}

// Retries a sub-request that did not run, immediately or after a pause. After
// the pause, it may be sent to a replica that was tried before.
void RoutedQuery::RetryRefused(std::size_t index, RetryReason reason) {
  SubRequest& sub_request = m_sub_requests[index];
  if (!sub_request.open.empty()) return;
  if (TryRetry(index, reason)) return;
  if (!MayRetryRefused(sub_request)) return ResolveUnanswered(index);
  ScheduleRetry(index, reason);
}

// Refused sub-requests are retried because the others have run or are running:
// giving one up would waste their work, and the caller would send the whole
// request again.
bool RoutedQuery::MayRetryRefused(const SubRequest& sub_request) const {
  const TimePoint now = m_context.scheduler->Now();
  const TimePoint deadline = m_started + m_timing.RefusalRetryDeadline();
  const auto usable_at = m_context.pool->UsableAt(sub_request.service, now);
  return sub_request.total_attempts < kMaxTotalAttempts &&
         sub_request.runs < m_input.route->max_attempts && now < deadline &&
         usable_at && *usable_at < deadline && TimeLeft() > kRefusalPause;
}

void RoutedQuery::ScheduleRetry(std::size_t index, RetryReason reason) {
  m_sub_requests[index].retry_timer =
      m_context.scheduler->Schedule(kRefusalPause, [this, index, reason] {
        SubRequest& sub_request = m_sub_requests[index];
        sub_request.retry_timer = 0;
        // A replica that refused may have a free slot by now.
        sub_request.tried.clear();
        if (sub_request.total_attempts == 0) {
          SendFirstAttempt(index);
          FinishIfSettled();
        } else if (!TryRetry(index, reason)) {
          if (MayRetryRefused(sub_request)) return ScheduleRetry(index, reason);
          ResolveUnanswered(index);
        }
      });
}

void RoutedQuery::ResolveUnanswered(std::size_t index) {
  SubRequest& sub_request = m_sub_requests[index];
  if (!sub_request.open.empty()) return;
  sub_request.resolved = true;
  FinishIfSettled();
}

void RoutedQuery::OnHedgeTimer() {
  // An unavailable replica may never answer. Sub-requests that are still
  // unanswered, or had no retry budget, are checked again.
  m_hedge_timer = m_context.scheduler->Schedule(m_timing.HedgeDelay(),
                                                [this] { OnHedgeTimer(); });
  for (std::size_t i = 0; i < m_sub_requests.size(); ++i) {
    const SubRequest& sub_request = m_sub_requests[i];
    if (sub_request.resolved || sub_request.open.size() != 1) continue;
    TryRetry(i, RetryReason::kSilent);
  }
}

void RoutedQuery::OnPartialAnswerTimer() {
  m_partial_answer_timer = 0;
  m_partial_answer_due = true;
  FinishIfSettled();
}

void RoutedQuery::OnDeadline() {
  m_deadline_timer = 0;
  if (IsForRelay()) return FinishWithAnswers();
  if (m_input.route->IsScattered() &&
      m_timing.IsSufficient(CountAnswered(), m_sub_requests.size())) {
    return FinishWithAnswers();
  }
  FinishWithoutAnswer(true);
}

void RoutedQuery::EndNow() {
  if (m_finished) return;
  m_context.scheduler->Cancel(m_deadline_timer);
  OnDeadline();
}

std::size_t RoutedQuery::CountAnswered() const {
  return static_cast<std::size_t>(
      std::ranges::count_if(m_sub_requests, [](const SubRequest& sub_request) {
        return sub_request.answer.has_value();
      }));
}

bool RoutedQuery::MayHaveRun() const {
  return std::ranges::any_of(m_sub_requests, [](const SubRequest& sub_request) {
    return sub_request.runs > 0;
  });
}

// An attempt that starts too late for an answer within the target latency gets
// all the remaining time.
Duration RoutedQuery::AttemptTimeLimit() const {
  const Duration time_left = TimeLeft();
  const Duration elapsed = m_context.scheduler->Now() - m_started;
  const Duration usual_limit = m_timing.FirstAttemptDeadline() - elapsed;
  if (IsForRelay() || usual_limit < m_timing.MinAttemptTime()) return time_left;
  return std::min(time_left, usual_limit);
}

Duration RoutedQuery::TimeLeft() const {
  return m_started + m_input.time_limit - m_context.scheduler->Now();
}

void RoutedQuery::FinishIfSettled() {
  if (m_finished) return;
  const std::size_t answered = CountAnswered();
  const auto unresolved = static_cast<std::size_t>(std::ranges::count_if(
      m_sub_requests,
      [](const SubRequest& sub_request) { return !sub_request.resolved; }));
  if (IsForRelay()) {
    if (unresolved == 0 || m_partial_answer_due) FinishWithAnswers();
    return;
  }
  const bool is_sufficient =
      m_input.route->IsScattered()
          ? m_timing.IsSufficient(answered, m_sub_requests.size())
          : answered > 0;
  if (is_sufficient && (unresolved == 0 || m_partial_answer_due)) {
    return FinishWithAnswers();
  }
  // No replica has survived the first sub-request, so the others aren't sent.
  if (m_is_canary && m_sub_requests.front().resolved) {
    return FinishWithoutAnswer(false);
  }
  const bool can_become_sufficient =
      m_input.route->IsScattered()
          ? m_timing.IsSufficient(answered + unresolved, m_sub_requests.size())
          : unresolved > 0;
  if (!can_become_sufficient) FinishWithoutAnswer(false);
}

void RoutedQuery::StopTimers() {
  for (TimerId* timer :
       {&m_hedge_timer, &m_partial_answer_timer, &m_deadline_timer}) {
    m_context.scheduler->Cancel(std::exchange(*timer, 0));
  }
  for (SubRequest& sub_request : m_sub_requests) {
    m_context.scheduler->Cancel(std::exchange(sub_request.retry_timer, 0));
  }
}

}  // namespace chicoryvale
