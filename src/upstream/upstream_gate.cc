#include "upstream/upstream_gate.h"

#include <algorithm>
#include <cassert>
#include <utility>

namespace chicoryvale {
namespace {

/// Waiting requests that are tried when a place comes free: one that avoids
/// the free replica does not hold up those behind it.
constexpr std::size_t kMaxTried = 8;

ReplicaTableSettings TableSettings(const UpstreamGateOptions& options) {
  return {options.availability_zone, options.queue_capacity, options.replica,
          options.limit};
}

/// Returns the lowest median latency among the replicas; zero if unknown.
Duration TypicalLatency(const ReplicaSet& set) {
  Duration typical{};
  for (const ReplicaMember& member : set.members) {
    const Duration median = member.state->Median();
    if (median == Duration::zero()) continue;
    if (typical == Duration::zero() || median < typical) typical = median;
  }
  return typical;
}

/// Returns the time until a request that joins the queue finds a place, from
/// the rate at which the replicas answered so far.
Duration ExpectedWait(const ReplicaSet& set, TimePoint now) {
  double places_per_micro = 0.0;
  for (const ReplicaMember& member : set.members) {
    const auto median = static_cast<double>(member.state->Median().count());
    if (median > 0.0) places_per_micro += member.state->Limit(now) / median;
  }
  if (places_per_micro == 0.0) return Duration::zero();
  const auto ahead = static_cast<double>(set.queue.Size());
  return Duration(static_cast<std::int64_t>(ahead / places_per_micro));
}

UpstreamCounter CounterOf(SubOutcomeKind kind) {
  switch (kind) {
    case SubOutcomeKind::kAnswered:
      return UpstreamCounter::kEndedAnswered;
    case SubOutcomeKind::kNotStarted:
      return UpstreamCounter::kEndedNotStarted;
    case SubOutcomeKind::kSnapshotUnavailable:
      return UpstreamCounter::kEndedSnapshotUnavailable;
    case SubOutcomeKind::kFailed:
      return UpstreamCounter::kEndedFailed;
    case SubOutcomeKind::kNotConnected:
      return UpstreamCounter::kEndedNotConnected;
    case SubOutcomeKind::kConnectionLost:
      return UpstreamCounter::kEndedConnectionLost;
    case SubOutcomeKind::kTimedOut:
      return UpstreamCounter::kEndedTimedOut;
    case SubOutcomeKind::kMalformed:
      return UpstreamCounter::kEndedMalformed;
  }
  return UpstreamCounter::kEndedFailed;
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
      m_leave(options.leave),
      m_table(TableSettings(options), &m_leave),
      m_picker(options.picker, &m_leave, options.seed) {}

UpstreamGate::~UpstreamGate() {
  for (auto& [ticket, attempt] : m_attempts) {
    if (attempt.waits_in == nullptr) continue;
    m_scheduler->Cancel(std::exchange(attempt.waits_in->expiry_timer, 0));
  }
  // Sets and replicas refer to each other while requests wait.
  m_table.Visit([](Replica* replica) { replica->waiting.clear(); });
}

void UpstreamGate::ApplyConfig(const ClusterConfig& config) {
  m_table.Visit([](Replica* replica) { replica->waiting.clear(); });
  const auto dropped = m_table.Apply(config, m_scheduler->Now());
  for (const SetPointer& set : dropped) {
    while (!set->queue.IsEmpty()) {
      const WaitingRequest request = set->queue.Pop();
      m_attempts.erase(request.ticket);
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
  if (!set->queue.IsEmpty()) Wake(set);
  const PickResult pick = m_picker.Pick(set->members, spec.avoid, now);
  if (pick.state != nullptr) {
    Dispatch(pick, set, ticket, callback);
    return;
  }
  if (pick.failure == PickFailure::kNoneUsable) {
    Refuse(UpstreamCounter::kRefusedNoReplica, ErrorKind::kUpstreamUnavailable,
           "no replica of the shard takes work", callback);
    return;
  }
  Enqueue(spec, set, ticket, std::move(callback));
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
  m_counters.Add(UpstreamCounter::kChosen);
  ReplicaChoice choice;
  choice.replica = replica->state.GetAddress();
  if (pick.avoided) {
    // The query has tried this replica: its kept connections may be silent.
    choice.fresh_connection = true;
    m_counters.Add(UpstreamCounter::kAvoidedReplicaUsed);
    m_counters.Add(UpstreamCounter::kFreshConnection);
  }
  callback(std::move(choice));
}

void UpstreamGate::Enqueue(const AttemptSpec& spec, const SetPointer& set,
                           GateTicket ticket, Callback callback) {
  if (spec.purpose == AttemptPurpose::kHedge) {
    Refuse(UpstreamCounter::kRefusedHedgeBusy, ErrorKind::kOverloaded,
           "no replica has a free place for a hedge", callback);
    return;
  }
  if (set->queue.IsFull()) {
    Refuse(UpstreamCounter::kRefusedQueueFull, ErrorKind::kOverloaded,
           "the queue of the shard is full", callback);
    return;
  }
  const TimePoint now = m_scheduler->Now();
  if (now + ExpectedWait(*set, now) + TypicalLatency(*set) > spec.deadline) {
    Refuse(UpstreamCounter::kRefusedWaitTooLong, ErrorKind::kOverloaded,
           "the wait for a replica would outlast the deadline", callback);
    return;
  }
  m_counters.Add(UpstreamCounter::kQueued);
  if (set->queue.IsEmpty()) {
    for (Replica* replica : set->replicas) replica->waiting.push_back(set);
  }
  m_attempts[ticket] = {nullptr, set, spec.deadline, {}};
  set->queue.Push({spec, ticket, now, std::move(callback)});
  ArmExpiry(set);
}

void UpstreamGate::Refuse(UpstreamCounter counter, ErrorKind kind,
                          const char* message, const Callback& callback) {
  m_counters.Add(counter);
  callback(tl::unexpected(Error{kind, message, Ran::kNo}));
}

void UpstreamGate::Wake(const SetPointer& set) {
  while (!set->queue.IsEmpty() && StartOne(set)) {
  }
}

void UpstreamGate::AfterEnd(Replica* replica) {
  if (replica->placed) {
    WakeWaiting(replica);
  } else {
    m_table.Release(replica);
  }
}

void UpstreamGate::WakeWaiting(Replica* replica) {
  // A set that cannot use the place passes it to the next one.
  std::size_t left = replica->waiting.size();
  while (left > 0 && !replica->waiting.empty()) {
    --left;
    const SetPointer set = replica->waiting.front();
    std::rotate(replica->waiting.begin(), replica->waiting.begin() + 1,
                replica->waiting.end());
    if (StartOne(set)) return;
  }
}

bool UpstreamGate::StartOne(const SetPointer& set) {
  const TimePoint now = m_scheduler->Now();
  const TimePoint useful_until = now + TypicalLatency(*set);
  std::size_t tried = 0;
  const WaitingRequest* request = set->queue.First();
  while (request != nullptr && tried < kMaxTried) {
    const bool late = request->spec.deadline < useful_until;
    const PickResult pick =
        late ? PickResult{}
             : m_picker.Pick(set->members, request->spec.avoid, now);
    if (!late && pick.state == nullptr &&
        pick.failure == PickFailure::kAllBusy) {
      ++tried;
      request = set->queue.After(*request);
      continue;
    }
    WaitingRequest taken =
        *set->queue.Remove(request->spec.deadline, request->ticket);
    AfterDequeue(set);
    if (pick.state != nullptr) {
      Dispatch(pick, set, taken.ticket, taken.callback);
      return true;
    }
    m_attempts.erase(taken.ticket);
    if (late) {
      Refuse(UpstreamCounter::kRefusedExpired, ErrorKind::kOverloaded,
             "no replica was free in time", taken.callback);
    } else {
      Refuse(UpstreamCounter::kRefusedNoReplica,
             ErrorKind::kUpstreamUnavailable,
             "no replica of the shard takes work", taken.callback);
    }
    request = set->queue.First();
  }
  return false;
}

void UpstreamGate::AfterDequeue(const SetPointer& set) {
  if (!set->queue.IsEmpty()) return;
  m_scheduler->Cancel(std::exchange(set->expiry_timer, 0));
  for (Replica* replica : set->replicas) {
    std::erase(replica->waiting, set);
  }
}

void UpstreamGate::ArmExpiry(const SetPointer& set) {
  if (set->queue.IsEmpty()) return;
  const TimePoint due = set->queue.First()->spec.deadline;
  if (set->expiry_timer != 0 && set->expiry_due <= due) return;
  m_scheduler->Cancel(set->expiry_timer);
  set->expiry_due = due;
  set->expiry_timer = m_scheduler->Schedule(
      due - m_scheduler->Now(), [this, weak = std::weak_ptr(set)] {
        const SetPointer alive = weak.lock();
        if (alive != nullptr) Expire(alive);
      });
}

void UpstreamGate::Expire(const SetPointer& set) {
  set->expiry_timer = 0;
  const TimePoint now = m_scheduler->Now();
  while (!set->queue.IsEmpty() && set->queue.First()->spec.deadline <= now) {
    const WaitingRequest request = set->queue.Pop();
    AfterDequeue(set);
    m_attempts.erase(request.ticket);
    Refuse(UpstreamCounter::kRefusedExpired, ErrorKind::kOverloaded,
           "no replica was free in time", request.callback);
  }
  ArmExpiry(set);
}

void UpstreamGate::OnFinish(GateTicket ticket, const SubOutcome& outcome,
                            Duration elapsed) {
  const auto node = m_attempts.extract(ticket);
  assert(!node.empty() && node.mapped().replica != nullptr);
  if (node.empty()) return;
  m_counters.Add(CounterOf(outcome.kind));
  const Attempt& attempt = node.mapped();
  Apply(outcome, attempt, elapsed);
  AfterEnd(attempt.replica);
}

void UpstreamGate::Apply(const SubOutcome& outcome, const Attempt& attempt,
                         Duration elapsed) {
  const TimePoint now = m_scheduler->Now();
  ReplicaState& state = attempt.replica->state;
  LeaveTracker::Record* leave = state.Leave();
  const UpstreamReport& report = outcome.report;
  switch (outcome.kind) {
    case SubOutcomeKind::kAnswered:
      state.OnAnswer(elapsed, now);
      m_leave.OnAnswer(leave, report.draining, attempt.sent_at, now);
      break;
    case SubOutcomeKind::kNotStarted:
      if (report.draining) {
        state.OnNeutral();
      } else {
        state.OnShed(now);
      }
      m_leave.OnAnswer(leave, report.draining, attempt.sent_at, now);
      break;
    case SubOutcomeKind::kSnapshotUnavailable:
      state.OnNeutral();
      m_leave.OnAnswer(leave, report.draining, attempt.sent_at, now);
      break;
    case SubOutcomeKind::kNotConnected:
      state.OnFailure(elapsed, now);
      m_leave.OnConnectFailure(leave, now);
      break;
    case SubOutcomeKind::kFailed:
    case SubOutcomeKind::kConnectionLost:
    case SubOutcomeKind::kMalformed:
      state.OnFailure(elapsed, now);
      break;
    case SubOutcomeKind::kTimedOut:
      state.OnTimeout(elapsed, now);
      break;
  }
  if (report.load) {
    state.OnLoadReport(*report.load, attempt.replica->limits.slots, now);
  }
}

void UpstreamGate::OnAbandon(GateTicket ticket, Duration elapsed) {
  const auto node = m_attempts.extract(ticket);
  if (node.empty()) return;
  m_counters.Add(UpstreamCounter::kEndedAbandoned);
  const Attempt& attempt = node.mapped();
  if (attempt.replica == nullptr) {
    attempt.waits_in->queue.Remove(attempt.deadline, ticket);
    AfterDequeue(attempt.waits_in);
    return;
  }
  attempt.replica->state.OnAbandon(elapsed, m_scheduler->Now());
  AfterEnd(attempt.replica);
}

}  // namespace chicoryvale
