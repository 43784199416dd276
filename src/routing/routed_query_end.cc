// How RoutedQuery ends: its answer, the work left, and the line about it.

#include <algorithm>
#include <utility>

#include "routing/rank_merger.h"
#include "routing/routed_query.h"

namespace chicoryvale {
namespace {

/// When callers whose request had no room should come again.
constexpr Duration kRetryAfterBusy = milliseconds(150);

/// When callers should come again whose service has no replica: about the time
/// in which one that crashed is back.
constexpr Duration kRetryAfterNoReplica = seconds(1);

/// When callers should come again to an entry that does not have the list of
/// replicas yet: about the time in which it learns it.
constexpr Duration kRetryAfterNoList = milliseconds(300);

}  // namespace

void RoutedQuery::FinishWithAnswers() {
  RoutedAnswer answer;
  if (!m_question.route->IsScattered()) {
    ReplicaAnswer& whole = *m_services.front().answer;
    answer.status = whole.status;
    answer.headers = std::move(whole.headers);
    answer.body = std::move(whole.body);
    m_parts.counters->Add(RoutingCounter::kAnsweredWhole);
    return Finish(std::move(answer), "answered");
  }
  answer.scattered = true;
  RankMerger merger(m_question.route->scatter.rank_limit);
  for (const std::string& body : m_relay_bodies) merger.Add(body);
  for (std::uint32_t i = 0; i < m_services.size(); ++i) {
    const Part& part = m_services[i];
    if (!part.answer) answer.missing_parts.push_back({i, part.attempts});
    if (!part.answer) continue;
    answer.part_indices.push_back(i);
    answer.signatures.push_back(part.answer->signature);
    merger.Add(part.answer->body);
  }
  answer.missing_shard_count = m_services.size() - answer.signatures.size();
  answer.body = merger.ExtractMerged();
  const bool whole = answer.missing_shard_count == 0;
  m_parts.counters->Add(whole ? RoutingCounter::kAnsweredWhole
                              : RoutingCounter::kAnsweredShort);
  Finish(std::move(answer), whole ? "answered" : "answered_short");
}

void RoutedQuery::FinishWithoutAnswer(bool deadline) {
  RoutedAnswer answer;
  Part& only = m_services.front();
  if (!m_question.route->IsScattered() && only.failure) {
    answer.status = only.failure->status;
    answer.headers = std::move(only.failure->headers);
    answer.body = std::move(only.failure->body);
    m_parts.counters->Add(RoutingCounter::kPassedFailure);
    return Finish(std::move(answer), "passed_failure");
  }
  if (MayHaveRun()) {
    m_parts.counters->Add(deadline ? RoutingCounter::kFailedDeadline
                                   : RoutingCounter::kFailedBroken);
    answer.error = deadline
                       ? Error{ErrorKind::kDeadlineExceeded,
                               "the time of the request is over", Ran::kMaybe}
                       : Error{ErrorKind::kMayHaveRun,
                               "too few replicas answered", Ran::kMaybe};
    return Finish(std::move(answer), deadline ? "deadline" : "broken");
  }
  const bool no_replica =
      std::ranges::any_of(m_services, [this](const Part& part) {
        return !part.answer && m_parts.pool->CountUsable(part.service) == 0;
      });
  m_parts.counters->Add(no_replica ? RoutingCounter::kRefusedNoReplica
                                   : RoutingCounter::kRefusedReplicasBusy);
  answer.error = Error{ErrorKind::kUpstreamUnavailable,
                       no_replica ? "too few shards have a replica"
                                  : "the replicas have no room",
                       Ran::kNo};
  answer.retry_after = no_replica ? kRetryAfterNoReplica : kRetryAfterBusy;
  if (!m_parts.pool->HasList()) answer.retry_after = kRetryAfterNoList;
  Finish(std::move(answer), no_replica ? "no_replica" : "replicas_busy");
}

void RoutedQuery::Finish(RoutedAnswer answer, std::string_view outcome) {
  m_finished = true;
  StopTimers();
  CancelRelays();
  for (Part& part : m_services) {
    for (const PartSend& send : part.open) {
      // A deadline that passed ends the work; a loser may finish.
      if (answer.error) {
        m_parts.sends->Cancel(send.number);
      } else {
        m_parts.sends->Release(send.number);
      }
    }
    part.open.clear();
  }
  NoteEnd(answer, outcome);
  const Callback done = std::move(m_done);
  done(std::move(answer));
}

void RoutedQuery::CancelOnDisconnect() {
  if (std::exchange(m_finished, true)) return;
  StopTimers();
  CancelRelays();
  for (Part& part : m_services) {
    for (const PartSend& send : part.open) m_parts.sends->Cancel(send.number);
    part.open.clear();
  }
  m_parts.counters->Add(RoutingCounter::kCallersGone);
  NoteEnd({}, "caller_gone");
}

void RoutedQuery::NoteEnd(const RoutedAnswer& answer,
                          std::string_view outcome) const {
  const Duration elapsed = m_parts.scheduler->Now() - m_started;
  if (m_parts.latencies != nullptr) m_parts.latencies->Record(elapsed);
  std::string missing;
  for (const Part& part : m_services) {
    if (part.answer) continue;
    if (!missing.empty()) missing += ' ';
    missing += part.service;
    if (!part.tried.empty()) missing += "@" + part.tried.back();
  }
  m_parts.log->Write(
      answer.error ? LogLevel::kWarning : LogLevel::kInfo, "request_ended",
      {{"id", m_question.request->id},
       {"route", m_question.route->name},
       {"config_version", std::to_string(m_question.config->version)},
       {"outcome", std::string(outcome)},
       {"status", std::to_string(answer.status)},
       {"parts", std::to_string(CountAnswered()) + "/" +
                     std::to_string(m_services.size())},
       {"repeats", std::to_string(m_repeats)},
       {"missing", missing},
       {"elapsed_ms", MillisecondsText(elapsed)},
       {"limit_ms", MillisecondsText(m_question.time_limit)}});
}

}  // namespace chicoryvale
