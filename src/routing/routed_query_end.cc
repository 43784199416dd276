// The end of a RoutedQuery: its answer, the cancellation of open work, and its
// log line.

#include <algorithm>
#include <utility>

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
  const bool no_replica = std::ranges::any_of(
      m_sub_requests, [this](const SubRequest& sub_request) {
        return !sub_request.answer &&
               m_context.pool->CountUsable(sub_request.service) == 0;
      });
  m_context.counters->Add(no_replica ? RoutingCounter::kRefusedNoReplica
                                     : RoutingCounter::kRefusedReplicasBusy);
  answer.error = Error{ErrorKind::kUpstreamUnavailable,
                       no_replica ? "too few shards have a replica"
                                  : "the replicas have no free slot",
                       Ran::kNo};
  answer.retry_after = no_replica ? kRetryAfterNoReplica : kRetryAfterBusy;
  if (!m_context.pool->HasList()) answer.retry_after = kRetryAfterNoList;
  Finish(std::move(answer), no_replica ? "no_replica" : "replicas_busy");
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

void RoutedQuery::RecordEnd(const RoutedAnswer& answer,
                            std::string_view outcome) const {
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
