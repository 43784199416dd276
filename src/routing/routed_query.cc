#include "routing/routed_query.h"

#include <algorithm>
#include <array>
#include <utility>

namespace chicoryvale {
namespace {

/// Sends of one part, refused ones included.
constexpr std::uint32_t kMaxSends = 4;

/// Shortest time that a replica is told: it is told whole milliseconds.
constexpr Duration kLeastTime = milliseconds(1);

/// Pause before a replica that had no room is asked again: about one work.
constexpr Duration kBusyPause = milliseconds(15);

constexpr std::array<std::string_view, 5> kReasonNames = {
    "silent", "not_run", "wrong_replica", "broken", "failed"};

constexpr std::array<RoutingCounter, 5> kReasonCounters = {
    RoutingCounter::kHedges, RoutingCounter::kRetriesNotRun,
    RoutingCounter::kRetriesWrongReplica, RoutingCounter::kRetriesBroken,
    RoutingCounter::kRetriesFailed};

}  // namespace

RoutedQuery::RoutedQuery(const RoutingContext& parts, Question question,
                         Callback done)
    : m_parts(parts),
      m_question(std::move(question)),
      m_done(std::move(done)),
      m_timing(*m_question.route) {}

RoutedQuery::~RoutedQuery() { StopTimers(); }

void RoutedQuery::Start() {
  m_started = m_parts.scheduler->Now();
  for (const std::string& service : m_question.services) {
    m_services.emplace_back().service = service;
  }
  if (!IsForRelay() && !CanBeServed()) return FinishWithoutAnswer(false);
  m_deadline_timer = m_parts.scheduler->Schedule(m_question.time_limit,
                                                 [this] { OnDeadline(); });
  if (m_question.route->idempotent) {
    m_hedge_timer = m_parts.scheduler->Schedule(m_timing.HedgeDelay(),
                                                [this] { OnHedgeTime(); });
  }
  if (m_question.route->IsScattered()) {
    m_short_timer = m_parts.scheduler->Schedule(
        m_question.answer_within.value_or(m_timing.PartialAnswerTime()),
        [this] { OnShortAnswerTime(); });
  }
  AskRelays();
  for (std::size_t i = 0; i < m_services.size(); ++i) {
    if (m_services[i].relayed) continue;
    m_parts.budget->RecordRequest(m_services[i].service, m_started);
    SendFirst(i);
  }
  FinishIfSettled();
}

// Whether enough shards have a replica at all.
bool RoutedQuery::CanBeServed() const {
  const auto servable = static_cast<std::size_t>(
      std::ranges::count_if(m_services, [this](const Part& part) {
        return m_parts.pool->CountUsable(part.service) > 0;
      }));
  return m_question.route->IsScattered()
             ? m_timing.IsSufficient(servable, m_services.size())
             : servable > 0;
}

void RoutedQuery::SendFirst(std::size_t index) {
  Part& part = m_services[index];
  if (SendPart(index)) {
    m_parts.counters->Add(RoutingCounter::kFirstSends);
  } else if (m_parts.pool->CountUsable(part.service) > 0) {
    WaitForRoom(index, RepeatReason::kNotRun);
  } else {
    part.resolved = true;
  }
}

bool RoutedQuery::SendPart(std::size_t index) {
  Part& part = m_services[index];
  const TimePoint now = m_parts.scheduler->Now();
  const Duration send_time = SendTime();
  if (send_time < kLeastTime) return false;
  auto choice = m_parts.pool->Choose(part.service, part.tried, now);
  if (!choice) return false;
  part.tried.push_back(choice->id);
  ++part.sends;
  ++part.attempts;
  const std::weak_ptr<int> alive = m_alive;
  // The number is known only after the call; the answer never comes before.
  auto number = std::make_shared<std::uint64_t>(0);
  *number = m_parts.sends->Send(
      {choice->address, choice->id, m_question.request, send_time},
      [this, alive, index, number](ReplicaAnswer answer) {
        if (!alive.expired()) OnSendEnd(index, *number, std::move(answer));
      });
  part.open.push_back({*number, choice->id, now});
  return true;
}

bool RoutedQuery::RepeatPart(std::size_t index, RepeatReason reason) {
  Part& part = m_services[index];
  const Route& route = *m_question.route;
  if (part.attempts >= route.max_attempts || part.sends >= kMaxSends) {
    return false;
  }
  const TimePoint now = m_parts.scheduler->Now();
  const auto choice = m_parts.pool->Choose(part.service, part.tried, now);
  if (!choice) return false;
  // Past the target latency a silent part is as good as lost.
  const bool hedge = reason == RepeatReason::kSilent &&
                     now - m_started < m_question.route->target_latency;
  if (hedge && !m_timing.ShouldHedge(choice->cost, now - m_started)) {
    return false;
  }
  const auto purpose =
      hedge ? RetryBudget::Purpose::kHedge : RetryBudget::Purpose::kRetry;
  if (!m_parts.budget->TryAcquire(part.service, purpose, now)) {
    m_parts.counters->Add(RoutingCounter::kRepeatsOverBudget);
    return false;
  }
  const std::string from = part.tried.empty() ? "" : part.tried.back();
  if (!SendPart(index)) return false;
  ++m_repeats;
  const auto reason_index = static_cast<std::size_t>(reason);
  m_parts.counters->Add(kReasonCounters[reason_index]);
  m_parts.log->Write(LogLevel::kInfo, "part_repeated",
                     {{"id", m_question.request->id},
                      {"service", part.service},
                      {"reason", std::string(kReasonNames[reason_index])},
                      {"from", from},
                      {"to", part.tried.back()},
                      {"after_ms", MillisecondsText(now - m_started)}});
  return true;
}

void RoutedQuery::OnSendEnd(std::size_t index, std::uint64_t number,
                            ReplicaAnswer answer) {
  Part& part = m_services[index];
  std::erase_if(part.open, [number](const PartSend& send) {
    return send.number == number;
  });
  if (part.resolved || m_finished) return;
  if (!answer.IsSuccess()) return OnPartFailed(index, answer);
  for (const PartSend& send : part.open) m_parts.sends->Release(send.number);
  part.open.clear();
  part.resolved = true;
  part.answer = std::move(answer);
  FinishIfSettled();
}

void RoutedQuery::OnPartFailed(std::size_t index, const ReplicaAnswer& answer) {
  Part& part = m_services[index];
  const bool not_run =
      answer.end == SendEnd::kNotRun || answer.end == SendEnd::kWrongReplica;
  if (not_run) {
    --part.attempts;
    return RetryNotRun(index, answer.end == SendEnd::kNotRun
                                  ? RepeatReason::kNotRun
                                  : RepeatReason::kWrongReplica);
  }
  if (answer.end == SendEnd::kAnswered) part.failure = answer;
  const RepeatReason reason = answer.end == SendEnd::kAnswered
                                  ? RepeatReason::kFailed
                                  : RepeatReason::kBroken;
  if (m_question.route->idempotent && part.open.empty() &&
      RepeatPart(index, reason)) {
    return;
  }
  ResolveUnanswered(index);
}

// A part that has not run may go to a replica that was tried before.
void RoutedQuery::RetryNotRun(std::size_t index, RepeatReason reason) {
  Part& part = m_services[index];
  if (!part.open.empty()) return;
  if (RepeatPart(index, reason)) return;
  if (!MayWaitForRoom(part)) return ResolveUnanswered(index);
  WaitForRoom(index, reason);
}

// The other parts have run or are running: giving up one that did not would
// waste them all, and the caller would ask for them anew.
bool RoutedQuery::MayWaitForRoom(const Part& part) const {
  const Duration elapsed = m_parts.scheduler->Now() - m_started;
  return part.sends < kMaxSends &&
         part.attempts < m_question.route->max_attempts &&
         elapsed < m_timing.RefusalRetryDeadline() && TimeLeft() > kBusyPause;
}

void RoutedQuery::WaitForRoom(std::size_t index, RepeatReason reason) {
  m_services[index].retry_timer =
      m_parts.scheduler->Schedule(kBusyPause, [this, index, reason] {
        Part& part = m_services[index];
        part.retry_timer = 0;
        // A replica that refused may have room now.
        part.tried.clear();
        if (part.sends == 0) {
          SendFirst(index);
          FinishIfSettled();
        } else if (!RepeatPart(index, reason)) {
          if (MayWaitForRoom(part)) return WaitForRoom(index, reason);
          ResolveUnanswered(index);
        }
      });
}

void RoutedQuery::ResolveUnanswered(std::size_t index) {
  Part& part = m_services[index];
  if (!part.open.empty()) return;
  part.resolved = true;
  FinishIfSettled();
}

void RoutedQuery::OnHedgeTime() {
  // A replica that is gone may never answer: parts that are still silent, or
  // found no budget, are looked at again.
  m_hedge_timer = m_parts.scheduler->Schedule(m_timing.HedgeDelay(),
                                              [this] { OnHedgeTime(); });
  for (std::size_t i = 0; i < m_services.size(); ++i) {
    const Part& part = m_services[i];
    if (part.resolved || part.open.size() != 1) continue;
    RepeatPart(i, RepeatReason::kSilent);
  }
}

void RoutedQuery::OnShortAnswerTime() {
  m_short_timer = 0;
  m_short_time_passed = true;
  FinishIfSettled();
}

void RoutedQuery::OnDeadline() {
  m_deadline_timer = 0;
  if (IsForRelay()) return FinishWithAnswers();
  if (m_question.route->IsScattered() &&
      m_timing.IsSufficient(CountAnswered(), m_services.size())) {
    return FinishWithAnswers();
  }
  FinishWithoutAnswer(true);
}

std::size_t RoutedQuery::CountAnswered() const {
  return static_cast<std::size_t>(std::ranges::count_if(
      m_services, [](const Part& part) { return part.answer.has_value(); }));
}

bool RoutedQuery::MayHaveRun() const {
  return std::ranges::any_of(
      m_services, [](const Part& part) { return part.attempts > 0; });
}

// A part that is sent too late for the answer in time gets all that is left.
Duration RoutedQuery::SendTime() const {
  const Duration left = TimeLeft();
  const Duration elapsed = m_parts.scheduler->Now() - m_started;
  const Duration in_time = m_timing.FirstAttemptDeadline() - elapsed;
  if (IsForRelay() || in_time < m_timing.MinAttemptTime()) return left;
  return std::min(left, in_time);
}

Duration RoutedQuery::TimeLeft() const {
  return m_started + m_question.time_limit - m_parts.scheduler->Now();
}

void RoutedQuery::FinishIfSettled() {
  if (m_finished) return;
  const std::size_t answered = CountAnswered();
  const auto unresolved = static_cast<std::size_t>(std::ranges::count_if(
      m_services, [](const Part& part) { return !part.resolved; }));
  if (IsForRelay()) {
    if (unresolved == 0 || m_short_time_passed) FinishWithAnswers();
    return;
  }
  const bool suffices = m_question.route->IsScattered()
                            ? m_timing.IsSufficient(answered, m_services.size())
                            : answered > 0;
  if (suffices && (unresolved == 0 || m_short_time_passed)) {
    return FinishWithAnswers();
  }
  const bool can_suffice =
      m_question.route->IsScattered()
          ? m_timing.IsSufficient(answered + unresolved, m_services.size())
          : unresolved > 0;
  if (!can_suffice) FinishWithoutAnswer(false);
}

void RoutedQuery::StopTimers() {
  for (TimerId* timer : {&m_hedge_timer, &m_short_timer, &m_deadline_timer}) {
    m_parts.scheduler->Cancel(std::exchange(*timer, 0));
  }
  for (Part& part : m_services) {
    m_parts.scheduler->Cancel(std::exchange(part.retry_timer, 0));
  }
}

}  // namespace chicoryvale
