// The queue of attempts of UpstreamGate.

#include <algorithm>
#include <utility>

#include "upstream/upstream_gate.h"

namespace chicoryvale {
namespace {

/// Maximum number of queued attempts checked when a replica becomes free. More
/// than one is checked because an attempt that avoids the free replica must not
/// block those behind it.
constexpr std::size_t kMaxQueueScan = 8;

}  // namespace

void UpstreamGate::Enqueue(const AttemptSpec& spec, const ReplicaSetPtr& set,
                           GateTicket ticket, Callback callback) {
  if (spec.purpose == AttemptPurpose::kHedge) {
    EndUnassigned(ticket);
    Refuse(UpstreamCounter::kRefusedHedgeBusy, ErrorKind::kOverloaded,
           "no replica is free for a hedge", callback);
    return;
  }
  if (set->queue.IsFull()) {
    EndUnassigned(ticket);
    Refuse(UpstreamCounter::kRefusedQueueFull, ErrorKind::kOverloaded,
           "the queue of the shard is full", callback);
    return;
  }
  const TimePoint now = m_scheduler->Now();
  if (now + ExpectedWait(*set, now) + TypicalLatency(*set) > spec.deadline) {
    EndUnassigned(ticket);
    Refuse(UpstreamCounter::kRefusedWaitTooLong, ErrorKind::kOverloaded,
           "the expected wait for a replica exceeds the deadline", callback);
    return;
  }
  m_counters.Add(UpstreamCounter::kQueued);
  if (set->queue.IsEmpty()) {
    for (Replica* replica : set->replicas) replica->waiting_sets.push_back(set);
  }
  Attempt& attempt = m_attempts[ticket];
  attempt.queued_in = set;
  attempt.deadline = spec.deadline;
  set->queue.Push({spec, ticket, now, std::move(callback)});
  ScheduleExpiry(set);
}

void UpstreamGate::StartQueued(const ReplicaSetPtr& set) {
  while (!set->queue.IsEmpty() && StartNextQueued(set)) {
  }
}

void UpstreamGate::StartQueuedAt(Replica* replica) {
  // If no attempt of a set can use the replica, the next set is tried.
  std::size_t remaining = replica->waiting_sets.size();
  while (remaining > 0 && !replica->waiting_sets.empty()) {
    --remaining;
    const ReplicaSetPtr set = replica->waiting_sets.front();
    std::rotate(replica->waiting_sets.begin(),
                replica->waiting_sets.begin() + 1, replica->waiting_sets.end());
    if (StartNextQueued(set)) return;
  }
}

bool UpstreamGate::StartNextQueued(const ReplicaSetPtr& set) {
  const TimePoint now = m_scheduler->Now();
  const TimePoint min_deadline = now + TypicalLatency(*set);
  std::size_t tried = 0;
  const QueuedAttempt* attempt = set->queue.First();
  while (attempt != nullptr && tried < kMaxQueueScan) {
    const bool late = attempt->spec.deadline < min_deadline;
    const PickResult pick =
        late ? PickResult{} : PickReplica(attempt->spec, *set, attempt->ticket);
    if (!late && pick.state == nullptr &&
        pick.failure == PickFailure::kAllBusy) {
      ++tried;
      attempt = set->queue.After(*attempt);
      continue;
    }
    QueuedAttempt dequeued =
        *set->queue.Remove(attempt->spec.deadline, attempt->ticket);
    OnDequeued(set);
    if (pick.state != nullptr) {
      Dispatch(pick, set, dequeued.ticket, dequeued.callback);
      return true;
    }
    EndUnassigned(dequeued.ticket);
    if (late) {
      Refuse(UpstreamCounter::kRefusedExpired, ErrorKind::kOverloaded,
             "no replica became free in time", dequeued.callback);
    } else {
      Refuse(UpstreamCounter::kRefusedNoReplica,
             ErrorKind::kUpstreamUnavailable,
             "no replica of the shard is available", dequeued.callback);
    }
    attempt = set->queue.First();
  }
  return false;
}

void UpstreamGate::OnDequeued(const ReplicaSetPtr& set) {
  if (!set->queue.IsEmpty()) return;
  m_scheduler->Cancel(std::exchange(set->expiry_timer, 0));
  for (Replica* replica : set->replicas) {
    std::erase(replica->waiting_sets, set);
  }
}

void UpstreamGate::ScheduleExpiry(const ReplicaSetPtr& set) {
  if (set->queue.IsEmpty()) return;
  const TimePoint due = set->queue.First()->spec.deadline;
  if (set->expiry_timer != 0 && set->expiry_due <= due) return;
  m_scheduler->Cancel(set->expiry_timer);
  set->expiry_due = due;
  set->expiry_timer = m_scheduler->Schedule(
      due - m_scheduler->Now(), [this, weak = std::weak_ptr(set)] {
        const ReplicaSetPtr alive = weak.lock();
        if (alive != nullptr) ExpireQueued(alive);
      });
}

void UpstreamGate::ExpireQueued(const ReplicaSetPtr& set) {
  set->expiry_timer = 0;
  const TimePoint now = m_scheduler->Now();
  while (!set->queue.IsEmpty() && set->queue.First()->spec.deadline <= now) {
    const QueuedAttempt attempt = set->queue.Pop();
    OnDequeued(set);
    EndUnassigned(attempt.ticket);
    Refuse(UpstreamCounter::kRefusedExpired, ErrorKind::kOverloaded,
           "no replica became free in time", attempt.callback);
  }
  ScheduleExpiry(set);
}

}  // namespace chicoryvale
