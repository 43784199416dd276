#include "upstream/upstream_gate.h"

#include <algorithm>
#include <cassert>
#include <utility>

#include "base/hash.h"

namespace chicoryvale {
namespace {

/// A first run of a request counts as slow after this multiple of the typical
/// latency, but not before kMinPatience.
constexpr int kPatienceFactor = 3;
constexpr Duration kMinPatience = milliseconds(5);

ReplicaTableSettings TableSettings(const UpstreamGateOptions& options) {
  return {options.availability_zone, options.queue_capacity, options.replica,
          options.limit, options.monitor};
}

std::vector<std::uint64_t> QuarantinedIn(const ClusterConfig& config) {
  std::vector<std::uint64_t> fingerprints;
  for (const ServiceConfig& service : config.services) {
    std::ranges::copy(service.quarantined, std::back_inserter(fingerprints));
  }
  return fingerprints;
}

}  // namespace

std::unique_ptr<UpstreamGate> UpstreamGate::Make(
    const UpstreamGateOptions& options) {
  if (options.scheduler == nullptr || options.queue_capacity == 0) {
    return nullptr;
  }
  return std::unique_ptr<UpstreamGate>(new UpstreamGate(options));
}

UpstreamGate::UpstreamGate(const UpstreamGateOptions& options)
    : m_scheduler(options.scheduler),
      m_availability(options.availability),
      m_table(TableSettings(options), &m_availability),
      m_picker(options.picker, &m_availability, options.seed),
      m_share(options.share),
      m_quarantine(options.crash),
      m_deferred(
          options.scheduler,
          [this](std::uint64_t fingerprint) { ResumeDeferred(fingerprint); }),
      m_recorder(&m_availability, &m_quarantine, &m_counters) {}

UpstreamGate::~UpstreamGate() {
  for (auto& [ticket, attempt] : m_attempts) {
    if (attempt.waits_in == nullptr) continue;
    m_scheduler->Cancel(std::exchange(attempt.waits_in->expiry_timer, 0));
  }
  // Sets and replicas refer to each other while requests wait.
  m_table.Visit([](Replica* replica) { replica->waiting.clear(); });
}

void UpstreamGate::ApplyConfig(const ClusterConfig& config) {
  m_quarantine.SetOperatorList(QuarantinedIn(config));
  m_table.Visit([](Replica* replica) { replica->waiting.clear(); });
  const auto dropped = m_table.Apply(config, m_scheduler->Now());
  for (const SetPointer& set : dropped) {
    while (!set->queue.IsEmpty()) {
      const WaitingRequest request = set->queue.Pop();
      EndUnplaced(request.ticket);
      AfterDequeue(set);
      Refuse(UpstreamCounter::kRefusedUnknownShard,
             ErrorKind::kUpstreamUnavailable, "the shard is no longer placed",
             request.callback);
    }
  }
  std::vector<SetPointer> waiting;
  for (auto& [ticket, attempt] : m_attempts) {
    if (attempt.waits_in == nullptr) continue;
    if (std::ranges::find(waiting, attempt.waits_in) == waiting.end()) {
      waiting.push_back(attempt.waits_in);
    }
  }
  for (const SetPointer& set : waiting) {
    for (Replica* replica : set->replicas) replica->waiting.push_back(set);
  }
  for (const SetPointer& set : waiting) Wake(set);
}

void UpstreamGate::UpdateMembers(const MemberView& view) {
  m_share.Update(view);
  m_table.SetShare(m_share);
}

ConnectionBudget UpstreamGate::BudgetFor(const Address& replica) {
  const Replica* found = m_table.FindReplica(replica);
  return found == nullptr ? ConnectionBudget{} : found->budget;
}

std::uint32_t UpstreamGate::InFlight(const Address& replica) {
  const Replica* found = m_table.FindReplica(replica);
  return found == nullptr ? 0 : found->state.InFlight();
}

std::size_t UpstreamGate::Waiting(const std::string& service,
                                  ShardId shard) const {
  const SetPointer* set = m_table.Find(service, shard);
  return set == nullptr ? 0 : (*set)->queue.Size();
}

void UpstreamGate::OnRequest(const AttemptSpec& spec, GateTicket ticket,
                             Callback callback) {
  assert(ticket != 0 && !m_attempts.contains(ticket));
  const SetPointer* found = m_table.Find(spec.service, spec.shard);
  if (found == nullptr) {
    Refuse(UpstreamCounter::kRefusedUnknownShard,
           ErrorKind::kUpstreamUnavailable, "the shard is not placed",
           callback);
    return;
  }
  const SetPointer set = *found;
  const TimePoint now = m_scheduler->Now();
  if (spec.deadline <= now) {
    Refuse(UpstreamCounter::kRefusedExpired, ErrorKind::kOverloaded,
           "the deadline has passed", callback);
    return;
  }
  if (spec.fingerprint != 0 && !AdmitRun(spec, *set, ticket, callback)) return;
  Place(spec, set, ticket, std::move(callback));
}

bool UpstreamGate::AdmitRun(const AttemptSpec& spec, const ReplicaSet& set,
                            GateTicket ticket, const Callback& callback) {
  const CrashKey key{spec.fingerprint, HashBytes(spec.workspace),
                     HashBytes(spec.service)};
  const Duration patience =
      std::max(kMinPatience, kPatienceFactor * TypicalLatency(set));
  const auto admission = m_quarantine.Admit(key, spec.shard, spec.purpose,
                                            patience, m_scheduler->Now());
  switch (admission.verdict) {
    case RunVerdict::kRun:
      m_attempts[ticket].run = admission.run;
      return true;
    case RunVerdict::kWait:
      m_counters.Add(UpstreamCounter::kHeldForCanary);
      m_attempts.try_emplace(ticket);
      m_deferred.Add({spec, ticket, callback}, admission.ask_again);
      return false;
    case RunVerdict::kQuarantined:
      Refuse(UpstreamCounter::kRefusedQuarantined, ErrorKind::kQuarantined,
             "the request crashed the upstreams that ran it", callback);
      return false;
    case RunVerdict::kRefusedForNow:
      Refuse(UpstreamCounter::kRefusedSuspect, ErrorKind::kOverloaded,
             "upstreams crashed while running such requests", callback);
      return false;
  }
  return false;
}

void UpstreamGate::ResumeDeferred(std::uint64_t fingerprint) {
  for (DeferredRequest& request : m_deferred.Take(fingerprint)) {
    // Abandoned requests have no entry left.
    if (m_attempts.erase(request.ticket) == 0) continue;
    OnRequest(request.spec, request.ticket, std::move(request.callback));
  }
}

void UpstreamGate::ResumeReady() {
  for (const std::uint64_t fingerprint : m_quarantine.TakeReady()) {
    ResumeDeferred(fingerprint);
  }
}

void UpstreamGate::MergeCrashMark(const CrashMark& mark) {
  if (m_quarantine.Merge(mark, m_scheduler->Now())) ResumeReady();
}

void UpstreamGate::NotifyChanges() {
  if (!m_change_listener) return;
  if (m_availability.HasChanges() || m_quarantine.HasChanges())
    m_change_listener();
}

void UpstreamGate::EndUnplaced(GateTicket ticket) {
  const auto node = m_attempts.extract(ticket);
  if (!node.empty()) EndRun(node.mapped(), RunEnd::kUnknown);
}

void UpstreamGate::EndRun(const Attempt& attempt, RunEnd end) {
  if (attempt.run.record == nullptr) return;
  static const Address kNoReplica;
  const Address& replica = attempt.replica == nullptr
                               ? kNoReplica
                               : attempt.replica->state.GetAddress();
  m_quarantine.OnEnd(attempt.run, end, replica, m_scheduler->Now());
}

void UpstreamGate::Place(const AttemptSpec& spec, const SetPointer& set,
                         GateTicket ticket, Callback callback) {
  if (!set->queue.IsEmpty()) Wake(set);
  const PickResult pick = PickFor(spec, *set, ticket);
  if (pick.state != nullptr) {
    Dispatch(pick, set, ticket, callback);
  } else if (pick.failure == PickFailure::kNoneUsable) {
    EndUnplaced(ticket);
    Refuse(UpstreamCounter::kRefusedNoReplica, ErrorKind::kUpstreamUnavailable,
           "no replica of the shard takes work", callback);
  } else {
    Enqueue(spec, set, ticket, std::move(callback));
  }
}

PickResult UpstreamGate::PickFor(const AttemptSpec& spec, const ReplicaSet& set,
                                 GateTicket ticket) {
  const TimePoint now = m_scheduler->Now();
  const auto attempt = m_attempts.find(ticket);
  if (attempt == m_attempts.end() || attempt->second.run.record == nullptr) {
    return m_picker.Pick(set.members, spec.avoid, now);
  }
  const CrashQuarantine::Run& run = attempt->second.run;
  if (!run.marked && !run.unproven) {
    return m_picker.Pick(set.members, spec.avoid, now);
  }
  // A request that no upstream has survived goes to the replica that each
  // entry would choose, so that races through many entries cost one upstream.
  std::vector<Address> avoid = spec.avoid;
  for (const ReplicaMember& member : set.members) {
    const Address& address = member.state->GetAddress();
    if (CrashQuarantine::DiedOn(*run.record, address)) avoid.push_back(address);
  }
  return m_picker.PickByHash(set.members, avoid, spec.fingerprint, now);
}

void UpstreamGate::Dispatch(const PickResult& pick, const SetPointer& set,
                            GateTicket ticket, const Callback& callback) {
  const auto at =
      std::ranges::find(set->members, pick.state, &ReplicaMember::state);
  Replica* replica = set->replicas[static_cast<std::size_t>(
      std::distance(set->members.begin(), at))];
  replica->state.OnStart();
  Attempt& attempt = m_attempts[ticket];
  attempt.replica = replica;
  attempt.waits_in.reset();
  attempt.sent_at = m_scheduler->Now();
  // After an attempt at the same replica its kept connections may be silent.
  const bool replace = replica->monitor.TakeFresh();
  attempt.fresh_connection = replace || pick.avoided;
  m_counters.Add(UpstreamCounter::kChosen);
  if (pick.avoided) m_counters.Add(UpstreamCounter::kAvoidedReplicaUsed);
  ReplicaChoice choice;
  choice.replica = replica->state.GetAddress();
  choice.fresh_connection = attempt.fresh_connection;
  choice.progress_bound =
      replica->monitor.ProgressBound(replica->state.Median());
  if (choice.fresh_connection) {
    m_counters.Add(UpstreamCounter::kFreshConnection);
  }
  callback(std::move(choice));
}

void UpstreamGate::Refuse(UpstreamCounter counter, ErrorKind kind,
                          const char* message, const Callback& callback) {
  m_counters.Add(counter);
  callback(tl::unexpected(Error{kind, message, Ran::kNo}));
}

void UpstreamGate::AfterEnd(Replica* replica) {
  if (replica->placed) {
    WakeWaiting(replica);
  } else {
    m_table.Release(replica);
  }
}

void UpstreamGate::OnFinish(GateTicket ticket, const SubOutcome& outcome,
                            Duration elapsed) {
  const auto node = m_attempts.extract(ticket);
  assert(!node.empty() && node.mapped().replica != nullptr);
  if (node.empty()) return;
  const Attempt& attempt = node.mapped();
  EndRun(attempt, RunEndOf(outcome.kind));
  m_recorder.Record(outcome, attempt.replica, attempt.sent_at, elapsed,
                    m_scheduler->Now());
  JudgeConnection(attempt, outcome, elapsed);
  // Others hear of a death before the caller can send its request again.
  NotifyChanges();
  AfterEnd(attempt.replica);
  ResumeReady();
}

void UpstreamGate::JudgeConnection(const Attempt& attempt,
                                   const SubOutcome& outcome,
                                   Duration elapsed) {
  Replica* replica = attempt.replica;
  const Duration typical = replica->state.Median();
  const bool progress = outcome.first_byte > Duration::zero();
  if (outcome.kind == SubOutcomeKind::kTimedOut && !progress) {
    replica->monitor.OnNoProgress(attempt.fresh_connection, elapsed, typical);
    return;
  }
  if (outcome.kind != SubOutcomeKind::kAnswered) return;
  const ConnectionVerdict verdict = replica->monitor.OnAnswer(
      attempt.fresh_connection, progress ? outcome.first_byte : elapsed,
      typical, m_scheduler->Now());
  if (verdict == ConnectionVerdict::kNone) return;
  m_counters.Add(UpstreamCounter::kSilentReplica);
  if (!m_dead_connection_listener) return;
  if (verdict == ConnectionVerdict::kReplicaConnectionsDead) {
    m_dead_connection_listener(replica->state.GetAddress());
    return;
  }
  m_counters.Add(UpstreamCounter::kSilentPath);
  m_table.Visit([this, path = replica->monitor.Path()](Replica* other) {
    if (other->monitor.Path() != path) return;
    m_dead_connection_listener(other->state.GetAddress());
  });
}

void UpstreamGate::OnAbandon(GateTicket ticket, Duration elapsed) {
  const auto node = m_attempts.extract(ticket);
  if (node.empty()) return;
  m_counters.Add(UpstreamCounter::kEndedAbandoned);
  const Attempt& attempt = node.mapped();
  EndRun(attempt, RunEnd::kUnknown);
  if (attempt.replica == nullptr) {
    if (attempt.waits_in != nullptr) {
      attempt.waits_in->queue.Remove(attempt.deadline, ticket);
      AfterDequeue(attempt.waits_in);
    }
    ResumeReady();
    return;
  }
  attempt.replica->monitor.OnNoProgress(attempt.fresh_connection, elapsed,
                                        attempt.replica->state.Median());
  attempt.replica->state.OnAbandon(elapsed, m_scheduler->Now());
  AfterEnd(attempt.replica);
  ResumeReady();
}

}  // namespace chicoryvale
