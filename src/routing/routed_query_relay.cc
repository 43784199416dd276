// Parts that RoutedQuery asks entries of other zones for.

#include <algorithm>
#include <utility>

#include "routing/relay_plan.h"
#include "routing/routed_query.h"

namespace chicoryvale {

void RoutedQuery::AskRelays() {
  const bool may_relay = m_parts.relay != nullptr && !IsForRelay() &&
                         m_question.route->IsScattered();
  if (!may_relay) return;
  std::vector<RemotePart> remote;
  for (std::size_t i = 0; i < m_services.size(); ++i) {
    std::vector<std::string> zones =
        m_parts.pool->RemoteZones(m_services[i].service, m_started);
    if (!zones.empty()) remote.push_back({i, std::move(zones)});
  }
  // Too many parts to send alone go to relays even if these miss some.
  const bool large = m_services.size() > kMostDirectParts;
  const auto zones = m_parts.relay->Zones(large ? Relay::ZoneChoice::kAny
                                                : Relay::ZoneChoice::kProven);
  for (const RelayGroup& group : PlanRelays(std::move(remote), zones)) {
    AskRelaysOf(group);
  }
  AskNeighbors();
}

void RoutedQuery::AskNeighbors() {
  RelayGroup group{m_parts.pool->OwnZone(), {}};
  for (std::size_t i = 0; i < m_services.size(); ++i) {
    if (!m_services[i].relayed) group.parts.push_back(i);
  }
  const bool share = group.parts.size() > kMostDirectParts;
  if (share && m_parts.relay->HasNeighbor()) AskRelaysOf(group);
}

void RoutedQuery::AskRelaysOf(const RelayGroup& group) {
  std::uint64_t place = 0;
  for (RelayGroup& message : SplitGroup(group)) {
    AskRelay({0, std::move(message.zone), std::move(message.parts)}, place++);
  }
}

void RoutedQuery::AskRelay(RelayCall call, std::uint64_t affinity) {
  RelayQuestion question;
  question.request = m_question.request;
  for (const std::size_t index : call.parts) {
    Part& part = m_services[index];
    part.BeginRelay();
    question.services.push_back(part.service);
  }
  question.rank_limit = m_question.route->scatter.rank_limit;
  question.max_attempts = m_question.route->max_attempts;
  question.target_latency = m_question.route->target_latency;
  // Asking many entries takes time too: all of them answer at one time.
  const Duration elapsed = m_parts.scheduler->Now() - m_started;
  question.answer_within = std::min(
      std::max(m_timing.RelayAnswerTime() - elapsed, m_timing.HedgeDelay()),
      TimeLeft());
  question.time_left = SendTime();
  question.affinity = affinity;
  m_parts.counters->Add(RoutingCounter::kRelayed, call.parts.size());
  const std::weak_ptr<int> alive = m_alive;
  const std::size_t place = m_relays.size();
  call.id = m_parts.relay->Ask(
      call.zone, question,
      [this, alive, place](const Result<RelayAnswer>& answer) {
        if (alive.expired() || m_finished) return;
        m_relays[place].id = 0;
        OnRelayEnd(m_relays[place], answer);
      });
  m_relays.push_back(std::move(call));
}

void RoutedQuery::OnRelayEnd(const RelayCall& call,
                             const Result<RelayAnswer>& answer) {
  for (const std::size_t index : call.parts) m_services[index].relayed = false;
  if (answer) {
    TakeRelayedParts(call, *answer);
    return FinishIfSettled();
  }
  m_parts.counters->Add(RoutingCounter::kRelaysFailed);
  m_parts.log->Write(LogLevel::kWarning, "relay_failed",
                     {{"id", m_question.request->id},
                      {"zone", call.zone},
                      {"parts", std::to_string(call.parts.size())},
                      {"reason", answer.error().message}});
  const bool not_run = answer.error().kind == ErrorKind::kUpstreamUnavailable;
  for (const std::size_t index : call.parts) {
    Part& part = m_services[index];
    if (not_run) {
      part.TakeBackRelay();
      m_parts.budget->RecordRequest(part.service, m_parts.scheduler->Now());
      SendFirst(index);
    } else {
      // The relay may have used every attempt that the part has.
      part.resolved = true;
    }
  }
  FinishIfSettled();
}

void RoutedQuery::TakeRelayedParts(const RelayCall& call,
                                   const RelayAnswer& answer) {
  m_relay_bodies.push_back(answer.body);
  for (const RelayedPart& relayed : answer.parts) {
    if (relayed.index >= call.parts.size()) continue;
    Part& part = m_services[call.parts[relayed.index]];
    part.resolved = true;
    part.answer.emplace().signature = relayed.signature;
  }
  for (const RelayMissing& missing : answer.missing) {
    if (missing.index >= call.parts.size()) continue;
    m_services[call.parts[missing.index]].attempts = missing.attempts;
  }
  for (const std::size_t index : call.parts) {
    if (!m_services[index].resolved) RepeatRelayedPart(index);
  }
}

// Only if the answer needs it: a part that the relay did not bring in time is
// mostly late elsewhere too.
void RoutedQuery::RepeatRelayedPart(std::size_t index) {
  Part& part = m_services[index];
  const bool needed =
      !m_timing.IsSufficient(CountAnswered(), m_services.size());
  if (needed && RepeatPart(index, RepeatReason::kBroken)) return;
  if (needed && MayWaitForRoom(part)) {
    return WaitForRoom(index, RepeatReason::kNotRun);
  }
  part.resolved = true;
}

void RoutedQuery::CancelRelays() {
  for (RelayCall& call : m_relays) {
    if (call.id != 0) m_parts.relay->Cancel(std::exchange(call.id, 0));
  }
}

}  // namespace chicoryvale
