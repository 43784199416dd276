// Sub-requests that a RoutedQuery sends by way of other entries.

#include <algorithm>
#include <utility>

#include "routing/relay_plan.h"
#include "routing/routed_query.h"

namespace chicoryvale {

// Sends the sub-requests whose best replica is in another availability zone to
// relays there.
void RoutedQuery::SendToRelays() {
  const bool may_relay = m_context.relay != nullptr && !IsForRelay() &&
                         m_input.route->IsScattered();
  if (!may_relay) return;
  const TimePoint now = m_context.scheduler->Now();
  std::vector<RemoteSubRequest> remote;
  for (std::size_t i = 0; i < m_sub_requests.size(); ++i) {
    if (m_sub_requests[i].IsSent()) continue;
    std::vector<std::string> zones = m_context.pool->RemoteZones(
        m_sub_requests[i].service, now, m_zone_draw);
    if (!zones.empty()) remote.push_back({i, std::move(zones)});
  }
  // A request with too many sub-requests to send directly uses relays even if
  // they may miss some.
  const bool is_large = m_sub_requests.size() > kMaxDirectSubRequests;
  const auto zones = m_context.relay->Zones(
      is_large ? Relay::ZoneChoice::kAny : Relay::ZoneChoice::kMostlyComplete);
  for (const RelayGroup& group : PlanRelays(std::move(remote), zones)) {
    SendGroup(group);
  }
  SendToNeighbors();
}

// Shares the remaining sub-requests with other entries of the own availability
// zone if there are too many to send directly.
void RoutedQuery::SendToNeighbors() {
  RelayGroup group{m_context.pool->OwnZone(), {}};
  for (std::size_t i = 0; i < m_sub_requests.size(); ++i) {
    if (!m_sub_requests[i].IsSent()) group.indices.push_back(i);
  }
  const bool use_neighbors = group.indices.size() > kMaxDirectSubRequests;
  if (use_neighbors && m_context.relay->HasNeighbor()) SendGroup(group);
}

void RoutedQuery::SendGroup(const RelayGroup& group) {
  std::uint64_t affinity = 0;
  for (RelayGroup& message : SplitRelayGroup(group)) {
    SendToRelay({0, std::move(message.zone), std::move(message.indices)},
                affinity++);
  }
}

void RoutedQuery::SendToRelay(RelayCall call, std::uint64_t affinity) {
  RelayRequest relay_request;
  relay_request.request = m_input.request;
  for (const std::size_t index : call.indices) {
    SubRequest& sub_request = m_sub_requests[index];
    sub_request.BeginRelay();
    relay_request.services.push_back(sub_request.service);
  }
  relay_request.rank_limit = m_input.route->scatter.rank_limit;
  relay_request.max_attempts = m_input.route->max_attempts;
  relay_request.target_latency = m_input.route->target_latency;
  // Sending to many entries takes time, so the time until now is subtracted:
  // all relays reply at about the same time.
  const Duration elapsed = m_context.scheduler->Now() - m_started;
  relay_request.answer_within = std::min(
      std::max(m_timing.RelayAnswerTime() - elapsed, m_timing.HedgeDelay()),
      TimeLeft());
  relay_request.time_left = AttemptTimeLimit();
  relay_request.affinity = affinity;
  m_context.counters->Add(RoutingCounter::kRelayed, call.indices.size());
  const std::weak_ptr<int> alive = m_alive;
  const std::size_t call_index = m_relay_calls.size();
  call.id = m_context.relay->Send(
      call.zone, relay_request,
      [this, alive, call_index](const Result<RelayAnswer>& answer) {
        if (alive.expired() || m_finished) return;
        m_relay_calls[call_index].id = 0;
        OnRelayEnd(m_relay_calls[call_index], answer);
      });
  m_relay_calls.push_back(std::move(call));
}

void RoutedQuery::OnRelayEnd(const RelayCall& call,
                             const Result<RelayAnswer>& answer) {
  for (const std::size_t i : call.indices) m_sub_requests[i].at_relay = false;
  if (answer) {
    RecordRelayAnswer(call, *answer);
    return FinishIfSettled();
  }
  m_context.counters->Add(RoutingCounter::kRelaysFailed);
  m_context.log->Write(LogLevel::kWarning, "relay_failed",
                       {{"id", m_input.request->id},
                        {"zone", call.zone},
                        {"parts", std::to_string(call.indices.size())},
                        {"reason", answer.error().message}});
  const bool not_run = answer.error().kind == ErrorKind::kUpstreamUnavailable;
  for (const std::size_t index : call.indices) {
    SubRequest& sub_request = m_sub_requests[index];
    if (not_run) {
      sub_request.RollBackRelay();
      m_context.budget->RecordRequest(sub_request.service,
                                      m_context.scheduler->Now());
      SendFirstAttempt(index);
    } else {
      // The relay may have used all attempts of the sub-request.
      sub_request.resolved = true;
    }
  }
  FinishIfSettled();
}

void RoutedQuery::RecordRelayAnswer(const RelayCall& call,
                                    const RelayAnswer& answer) {
  m_relay_bodies.push_back(answer.body);
  for (const std::string& id : answer.draining_replicas) {
    ReplicaNotice notice;
    notice.draining = true;
    m_context.pool->RecordNotice(id, notice, m_context.scheduler->Now());
  }
  if (!answer.answered.empty()) {
    m_replica_survived = true;
    m_replica_succeeded = true;
  }
  if (answer.lost_replica) {
    ++m_lost_count;
    m_lost_replica = answer.lost_replica;
  }
  for (const RelayedSubRequest& answered : answer.answered) {
    if (answered.index >= call.indices.size()) continue;
    SubRequest& sub_request = m_sub_requests[call.indices[answered.index]];
    sub_request.resolved = true;
    sub_request.answer.emplace().signature = answered.signature;
  }
  for (const MissingSubRequest& missing : answer.missing) {
    if (missing.index >= call.indices.size()) continue;
    m_sub_requests[call.indices[missing.index]].runs =
        missing.attempts_possibly_run;
  }
  for (const std::size_t index : call.indices) {
    if (!m_sub_requests[index].resolved) RetryRelayed(index);
  }
}

// Retries a sub-request that the relay did not answer, but only if the answer
// needs it: in most cases it would be late on another replica too.
void RoutedQuery::RetryRelayed(std::size_t index) {
  SubRequest& sub_request = m_sub_requests[index];
  const bool needed =
      !m_timing.IsSufficient(CountAnswered(), m_sub_requests.size());
  if (needed && TryRetry(index, RetryReason::kBroken)) return;
  if (needed && MayRetryRefused(sub_request)) {
    return ScheduleRetry(index, RetryReason::kNotRun);
  }
  sub_request.resolved = true;
}

void RoutedQuery::CancelRelays() {
  for (RelayCall& call : m_relay_calls) {
    if (call.id != 0) m_context.relay->Cancel(std::exchange(call.id, 0));
  }
}

}  // namespace chicoryvale
