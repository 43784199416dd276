// The end of a RoutedQuery: its answer, the cancellation of open work, and its
// log line.

#include <algorithm>
#include <string>
#include <utility>
#include <vector>

#include "routing/rank_merger.h"
#include "routing/routed_query.h"

namespace chicoryvale {
namespace {

/// Time after which callers should retry if all replicas were busy.
constexpr Duration kRetryAfterBusy = milliseconds(150);

/// Time after which callers should retry if a service has no replica: about the
/// time that a crashed replica needs to restart.
constexpr Duration kRetryAfterNoReplica = seconds(1);

/// Time after which callers should retry if this entry does not have the list
/// of replicas yet: about the time that it needs to get the list.
constexpr Duration kRetryAfterNoList = milliseconds(300);

}  // namespace

void RoutedQuery::FinishWithAnswers() {
  RoutedAnswer answer;
  if (!m_input.route->IsScattered()) {
    ReplicaAnswer& replica_answer = *m_sub_requests.front().answer;
    answer.status = replica_answer.status;
    answer.headers = std::move(replica_answer.headers);
    answer.body = std::move(replica_answer.body);
    m_context.counters->Add(RoutingCounter::kAnsweredWhole);
    return Finish(std::move(answer), "answered");
  }
  answer.scattered = true;
  RankMerger merger(m_input.route->scatter.rank_limit);
  for (const std::string& body : m_relay_bodies) merger.Add(body);
  for (std::uint32_t i = 0; i < m_sub_requests.size(); ++i) {
    const SubRequest& sub_request = m_sub_requests[i];
    if (!sub_request.answer) answer.missing.push_back({i, sub_request.runs});
    if (!sub_request.answer) continue;
    answer.answered_indices.push_back(i);
    answer.signatures.push_back(sub_request.answer->signature);
    merger.Add(sub_request.answer->body);
  }
  answer.missing_shard_count = m_sub_requests.size() - answer.signatures.size();
  answer.body = merger.ExtractMerged();
  answer.draining_replicas = std::move(m_draining_replicas);
  answer.lost_replica = m_lost_replica;
  const bool is_complete = answer.missing_shard_count == 0;
  m_context.counters->Add(is_complete ? RoutingCounter::kAnsweredWhole
                                      : RoutingCounter::kAnsweredShort);
  Finish(std::move(answer), is_complete ? "answered" : "answered_short");
}

void RoutedQuery::FinishWithoutAnswer(bool deadline_passed) {
  RoutedAnswer answer;
  SubRequest& first_sub_request = m_sub_requests.front();
  if (!m_input.route->IsScattered() && first_sub_request.last_failure) {
    answer.status = first_sub_request.last_failure->status;
    answer.headers = std::move(first_sub_request.last_failure->headers);
    answer.body = std::move(first_sub_request.last_failure->body);
    m_context.counters->Add(RoutingCounter::kPassedFailure);
    return Finish(std::move(answer), "passed_failure");
  }
  if (MayHaveRun()) {
    m_context.counters->Add(deadline_passed ? RoutingCounter::kFailedDeadline
                                            : RoutingCounter::kFailedBroken);
    answer.error =
        deadline_passed
            ? Error{ErrorKind::kDeadlineExceeded,
                    "the deadline of the request has passed", Ran::kMaybe}
            : Error{ErrorKind::kMayHaveRun, "too few replicas answered",
                    Ran::kMaybe};
    return Finish(std::move(answer), deadline_passed ? "deadline" : "broken");
  }
  const Refusal refusal = ExplainRefusal();
  m_context.counters->Add(refusal.counter);
  answer.error = Error{ErrorKind::kUpstreamUnavailable,
                       std::string(refusal.message), Ran::kNo};
  answer.retry_after = refusal.retry_after;
  Finish(std::move(answer), refusal.outcome);
}

void RoutedQuery::FinishQuarantined() {
  RoutedAnswer answer;
  m_context.counters->Add(RoutingCounter::kRefusedQuarantined);
  answer.error =
      Error{ErrorKind::kUpstreamUnavailable,
            "this request has crashed the replicas that ran it", Ran::kNo};
  answer.retry_after = m_context.crash_guard->RetryAfter(*m_input.request);
  Finish(std::move(answer), "quarantined");
}

// Finds out what the services of the unanswered sub-requests lack. As many of
// them as the answer needs have to get a replica before the caller returns.
RoutedQuery::Refusal RoutedQuery::ExplainRefusal() const {
  if (!m_context.pool->HasList()) {
    return {RoutingCounter::kRefusedNoReplica, "no_replica",
            "the list of replicas is not known yet", kRetryAfterNoList};
  }
  const TimePoint now = m_context.scheduler->Now();
  std::vector<TimePoint> usable_at;
  for (const SubRequest& sub_request : m_sub_requests) {
    if (sub_request.answer) continue;
    const auto time = m_context.pool->UsableAt(sub_request.service, now);
    if (time) usable_at.push_back(*time);
  }
  std::ranges::sort(usable_at);
  const std::size_t needed = CountNeeded();
  if (usable_at.size() < needed) {
    return {RoutingCounter::kRefusedNoReplica, "no_replica",
            "too few shards have a replica", kRetryAfterNoReplica};
  }
  const TimePoint enough_at = needed == 0 ? now : usable_at[needed - 1];
  if (enough_at > now) {
    return {RoutingCounter::kRefusedReplicasBackingOff, "replicas_backing_off",
            "the replicas want no requests for a while", enough_at - now};
  }
  return {RoutingCounter::kRefusedReplicasBusy, "replicas_busy",
          "the replicas have no free slot", kRetryAfterBusy};
}

// Returns how many more sub-requests have to be answered for an answer.
std::size_t RoutedQuery::CountNeeded() const {
  const std::size_t answered = CountAnswered();
  if (!m_input.route->IsScattered()) return 1 - answered;
  std::size_t needed = 0;
  while (answered + needed < m_sub_requests.size() &&
         !m_timing.IsSufficient(answered + needed, m_sub_requests.size())) {
    ++needed;
  }
  return needed;
}

void RoutedQuery::Finish(RoutedAnswer answer, std::string_view outcome) {
  m_finished = true;
  StopTimers();
  CancelRelays();
  for (SubRequest& sub_request : m_sub_requests) {
    for (const Send& send : sub_request.open) {
      // After an error the work is cancelled. After an answer, attempts that
      // are still open may finish.
      if (answer.error) {
        m_context.sends->Cancel(send.id);
      } else {
        m_context.sends->Release(send.id);
      }
    }
    sub_request.open.clear();
  }
  RecordEnd(answer, outcome);
  const Callback callback = std::move(m_callback);
  callback(std::move(answer));
}

void RoutedQuery::CancelOnDisconnect() {
  if (std::exchange(m_finished, true)) return;
  StopTimers();
  CancelRelays();
  for (SubRequest& sub_request : m_sub_requests) {
    for (const Send& send : sub_request.open) m_context.sends->Cancel(send.id);
    sub_request.open.clear();
  }
  m_context.counters->Add(RoutingCounter::kCallersGone);
  RecordEnd({}, "caller_gone");
}

// A relay reports what it observed to the entry that sent it the request, which
// knows the other sub-requests.
void RoutedQuery::ReportToCrashGuard() const {
  if (!m_guarded_run) return;
  m_context.crash_guard->End(
      *m_guarded_run, *m_input.request,
      {m_replica_survived, m_replica_succeeded, m_lost_replica, MayHaveRun()});
}

void RoutedQuery::RecordEnd(const RoutedAnswer& answer,
                            std::string_view outcome) const {
  ReportToCrashGuard();
  const Duration elapsed = m_context.scheduler->Now() - m_started;
  if (m_context.latencies != nullptr) m_context.latencies->Record(elapsed);
  std::string missing;
  for (const SubRequest& sub_request : m_sub_requests) {
    if (sub_request.answer) continue;
    if (!missing.empty()) missing += ' ';
    missing += sub_request.service;
    if (!sub_request.tried.empty()) missing += "@" + sub_request.tried.back();
  }
  m_context.log->Write(
      answer.error ? LogLevel::kWarning : LogLevel::kInfo, "request_ended",
      {{"id", m_input.request->id},
       {"route", m_input.route->name},
       {"config_version", std::to_string(m_input.config->version)},
       {"outcome", std::string(outcome)},
       {"status", std::to_string(answer.status)},
       {"parts", std::to_string(CountAnswered()) + "/" +
                     std::to_string(m_sub_requests.size())},
       {"repeats", std::to_string(m_retry_count)},
       {"missing", missing},
       {"elapsed_ms", MillisecondsText(elapsed)},
       {"limit_ms", MillisecondsText(m_input.time_limit)}});
}

}  // namespace chicoryvale
