#include "upstream/upstream_gate.h"

#include <algorithm>
#include <cassert>
#include <utility>

#include "base/hash.h"

namespace chicoryvale {
namespace {

/// The first run of a request counts as slow after this multiple of the typical
/// latency, but not before kMinSlowRunThreshold.
constexpr int kSlowRunLatencyFactor = 3;
constexpr Duration kMinSlowRunThreshold = milliseconds(5);

ReplicaTableSettings TableSettings(const UpstreamGateOptions& options) {
  return {options.availability_zone, options.queue_capacity, options.replica,
          options.limit, options.monitor};
}

std::vector<std::uint64_t> QuarantinedFingerprints(
    const ClusterConfig& config) {
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
    if (attempt.queued_in == nullptr) continue;
    m_scheduler->Cancel(std::exchange(attempt.queued_in->expiry_timer, 0));
  }
  // Breaks the reference cycle: sets and replicas refer to each other while
  // attempts are queued.
  m_table.Visit([](Replica* replica) { replica->waiting_sets.clear(); });
}

void UpstreamGate::ApplyConfig(const ClusterConfig& config) {
  m_quarantine.SetOperatorList(QuarantinedFingerprints(config));
  m_table.Visit([](Replica* replica) { replica->waiting_sets.clear(); });
  const auto removed_sets = m_table.Apply(config, m_scheduler->Now());
  for (const ReplicaSetPtr& set : removed_sets) {
    while (!set->queue.IsEmpty()) {
      const QueuedAttempt queued = set->queue.Pop();
      EndUnassigned(queued.ticket);
      OnDequeued(set);
      Refuse(UpstreamCounter::kRefusedUnknownShard,
             ErrorKind::kUpstreamUnavailable,
             "the configuration no longer contains the shard", queued.callback);
    }
  }
  std::vector<ReplicaSetPtr> waiting_sets;
  for (auto& [ticket, attempt] : m_attempts) {
    if (attempt.queued_in == nullptr) continue;
    if (std::ranges::find(waiting_sets, attempt.queued_in) ==
        waiting_sets.end()) {
      waiting_sets.push_back(attempt.queued_in);
    }
  }
  for (const ReplicaSetPtr& set : waiting_sets) {
    for (Replica* replica : set->replicas) replica->waiting_sets.push_back(set);
  }
  for (const ReplicaSetPtr& set : waiting_sets) StartQueued(set);
}

void UpstreamGate::UpdateMembers(const MemberView& view) {
  m_share.Update(view);
  m_table.SetShare(m_share);
  m_quarantine.SetEntries(EntryMembers(view));
}

ConnectionBudget UpstreamGate::BudgetFor(const Address& replica) {
  const Replica* found = m_table.FindReplica(replica);
  return found == nullptr ? ConnectionBudget{} : found->budget;
}

std::uint32_t UpstreamGate::InFlight(const Address& replica) {
  const Replica* found = m_table.FindReplica(replica);
  return found == nullptr ? 0 : found->state.InFlight();
}

std::size_t UpstreamGate::QueueSize(const std::string& service,
                                    ShardId shard) const {
  const ReplicaSetPtr* set = m_table.Find(service, shard);
  return set == nullptr ? 0 : (*set)->queue.Size();
}

void UpstreamGate::OnRequest(const AttemptSpec& spec, GateTicket ticket,
                             Callback callback) {
  assert(ticket != 0 && !m_attempts.contains(ticket));
  const ReplicaSetPtr* found = m_table.Find(spec.service, spec.shard);
  if (found == nullptr) {
    Refuse(UpstreamCounter::kRefusedUnknownShard,
           ErrorKind::kUpstreamUnavailable,
           "the configuration does not contain the shard", callback);
    return;
  }
  const ReplicaSetPtr set = *found;
  const TimePoint now = m_scheduler->Now();
  if (spec.deadline <= now) {
    Refuse(UpstreamCounter::kRefusedExpired, ErrorKind::kOverloaded,
           "the deadline has passed", callback);
    return;
  }
  if (spec.fingerprint != 0 && !AdmitRun(spec, *set, ticket, callback)) return;
  AssignReplica(spec, set, ticket, std::move(callback));
}

bool UpstreamGate::AdmitRun(const AttemptSpec& spec, const ReplicaSet& set,
                            GateTicket ticket, const Callback& callback) {
  const CrashKey key{spec.fingerprint, HashBytes(spec.workspace),
                     HashBytes(spec.service)};
  const Duration slow_run_threshold = std::max(
      kMinSlowRunThreshold, kSlowRunLatencyFactor * TypicalLatency(set));
  const auto admission = m_quarantine.Admit(
      key, spec.shard, spec.purpose, slow_run_threshold, m_scheduler->Now());
  switch (admission.verdict) {
    case RunVerdict::kRun:
      m_attempts[ticket].run = admission.run;
      return true;
    case RunVerdict::kWait:
      m_counters.Add(UpstreamCounter::kHeldForCanary);
      m_attempts.try_emplace(ticket);
      m_deferred.Add({spec, ticket, callback}, admission.recheck_at);
      return false;
    case RunVerdict::kQuarantined:
      Refuse(UpstreamCounter::kRefusedQuarantined, ErrorKind::kQuarantined,
             "the request crashed the upstreams that ran it", callback);
      return false;
    case RunVerdict::kTryLater:
      Refuse(UpstreamCounter::kRefusedSuspect, ErrorKind::kOverloaded,
             "upstreams crashed while running this or similar requests",
             callback);
      return false;
  }
  return false;
}

void UpstreamGate::ResumeDeferred(std::uint64_t fingerprint) {
  for (DeferredAttempt& deferred : m_deferred.Extract(fingerprint)) {
    // Abandoned attempts are no longer in m_attempts.
    if (m_attempts.erase(deferred.ticket) == 0) continue;
    OnRequest(deferred.spec, deferred.ticket, std::move(deferred.callback));
  }
}

void UpstreamGate::ResumeReady() {
  for (const std::uint64_t fingerprint : m_quarantine.PopReady()) {
    ResumeDeferred(fingerprint);
  }
}

void UpstreamGate::MergeCrashMark(const CrashMark& mark) {
  if (m_quarantine.Merge(mark, m_scheduler->Now())) ResumeReady();
}

void UpstreamGate::NotifyChanges() {
  if (!m_on_change) return;
  if (m_availability.HasChanges() || m_quarantine.HasChanges()) m_on_change();
}

void UpstreamGate::EndUnassigned(GateTicket ticket) {
  const auto node = m_attempts.extract(ticket);
  if (!node.empty()) EndRun(node.mapped(), RunOutcome::kNotRun);
}

void UpstreamGate::EndRun(const Attempt& attempt, RunOutcome outcome) {
  if (attempt.run.record == nullptr) return;
  static const Address kNoReplica;
  const Address& replica = attempt.replica == nullptr
                               ? kNoReplica
                               : attempt.replica->state.GetAddress();
  m_quarantine.OnRunEnded(attempt.run, outcome, replica, m_scheduler->Now());
}

void UpstreamGate::AssignReplica(const AttemptSpec& spec,
                                 const ReplicaSetPtr& set, GateTicket ticket,
                                 Callback callback) {
  if (!set->queue.IsEmpty()) StartQueued(set);
  const PickResult pick = PickReplica(spec, *set, ticket);
  if (pick.state != nullptr) {
    Dispatch(pick, set, ticket, callback);
  } else if (pick.failure == PickFailure::kNoneUsable) {
    EndUnassigned(ticket);
    Refuse(UpstreamCounter::kRefusedNoReplica, ErrorKind::kUpstreamUnavailable,
           "no replica of the shard is available", callback);
  } else {
    Enqueue(spec, set, ticket, std::move(callback));
  }
}

PickResult UpstreamGate::PickReplica(const AttemptSpec& spec,
                                     const ReplicaSet& set, GateTicket ticket) {
  const TimePoint now = m_scheduler->Now();
  const auto attempt = m_attempts.find(ticket);
  if (attempt == m_attempts.end() || attempt->second.run.record == nullptr) {
    return m_picker.Pick(set.members, spec.avoid, now);
  }
  const CrashQuarantine::Run& run = attempt->second.run;
  if (!run.marked && !run.unproven) {
    return m_picker.Pick(set.members, spec.avoid, now);
  }
  // A marked run, and a request that no upstream has survived, go to the
  // replica that every entry would choose, so that copies sent through many
  // entries at once crash only one upstream.
  std::vector<Address> avoid = spec.avoid;
  for (const ReplicaMember& member : set.members) {
    const Address& host = member.state->GetAddress();
    if (CrashQuarantine::DidCrash(*run.record, host)) avoid.push_back(host);
  }
  return m_picker.PickByHash(set.members, avoid, spec.fingerprint, now);
}

void UpstreamGate::Dispatch(const PickResult& pick, const ReplicaSetPtr& set,
                            GateTicket ticket, const Callback& callback) {
  const auto at =
      std::ranges::find(set->members, pick.state, &ReplicaMember::state);
  Replica* replica = set->replicas[static_cast<std::size_t>(
      std::distance(set->members.begin(), at))];
  replica->state.OnStart();
  Attempt& attempt = m_attempts[ticket];
  attempt.replica = replica;
  attempt.queued_in.reset();
  attempt.sent_at = m_scheduler->Now();
  // Opens a new connection for a probe, and also if the sub-request was already
  // tried at this replica, because its kept connections may then be dead.
  const bool is_probe = replica->monitor.StartProbeIfSuspected();
  attempt.fresh_connection = is_probe || pick.avoided;
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

void UpstreamGate::OnAttemptEnded(Replica* replica) {
  if (replica->in_config) {
    StartQueuedAt(replica);
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
  EndRun(attempt, RunOutcomeOf(outcome.kind));
  m_recorder.Record(outcome, attempt.replica, attempt.sent_at, elapsed,
                    m_scheduler->Now());
  UpdateConnectionMonitor(attempt, outcome, elapsed);
  // Publishes a crash to the other entries before the caller can resend the
  // request.
  NotifyChanges();
  OnAttemptEnded(attempt.replica);
  ResumeReady();
}

void UpstreamGate::UpdateConnectionMonitor(const Attempt& attempt,
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
  EndRun(attempt, attempt.replica == nullptr ? RunOutcome::kNotRun
                                             : RunOutcome::kUnknown);
  if (attempt.replica == nullptr) {
    if (attempt.queued_in != nullptr) {
      attempt.queued_in->queue.Remove(attempt.deadline, ticket);
      OnDequeued(attempt.queued_in);
    }
    ResumeReady();
    return;
  }
  attempt.replica->monitor.OnNoProgress(attempt.fresh_connection, elapsed,
                                        attempt.replica->state.Median());
  attempt.replica->state.OnAbandon(elapsed, m_scheduler->Now());
  OnAttemptEnded(attempt.replica);
  ResumeReady();
}

}  // namespace chicoryvale
