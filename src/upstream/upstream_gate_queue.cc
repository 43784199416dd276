// The part of UpstreamGate that lets requests wait for a place.

#include <algorithm>
#include <utility>

#include "upstream/upstream_gate.h"

namespace chicoryvale {
namespace {

/// Waiting requests that are tried when a place comes free: one that avoids
/// the free replica does not hold up those behind it.
constexpr std::size_t kMaxTried = 8;

}  // namespace

void UpstreamGate::Enqueue(const AttemptSpec& spec, const SetPointer& set,
                           GateTicket ticket, Callback callback) {
  if (spec.purpose == AttemptPurpose::kHedge) {
    EndUnplaced(ticket);
    Refuse(UpstreamCounter::kRefusedHedgeBusy, ErrorKind::kOverloaded,
           "no replica has a free place for a hedge", callback);
    return;
  }
  if (set->queue.IsFull()) {
    EndUnplaced(ticket);
    Refuse(UpstreamCounter::kRefusedQueueFull, ErrorKind::kOverloaded,
           "the queue of the shard is full", callback);
    return;
  }
  const TimePoint now = m_scheduler->Now();
  if (now + ExpectedWait(*set, now) + TypicalLatency(*set) > spec.deadline) {
    EndUnplaced(ticket);
    Refuse(UpstreamCounter::kRefusedWaitTooLong, ErrorKind::kOverloaded,
           "the wait for a replica would outlast the deadline", callback);
    return;
  }
  m_counters.Add(UpstreamCounter::kQueued);
  if (set->queue.IsEmpty()) {
    for (Replica* replica : set->replicas) replica->waiting.push_back(set);
  }
  Attempt& attempt = m_attempts[ticket];
  attempt.waits_in = set;
  attempt.deadline = spec.deadline;
  set->queue.Push({spec, ticket, now, std::move(callback)});
  ArmExpiry(set);
}

void UpstreamGate::Wake(const SetPointer& set) {
  while (!set->queue.IsEmpty() && StartOne(set)) {
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
        late ? PickResult{} : PickFor(request->spec, *set, request->ticket);
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
    EndUnplaced(taken.ticket);
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
    EndUnplaced(request.ticket);
    Refuse(UpstreamCounter::kRefusedExpired, ErrorKind::kOverloaded,
           "no replica was free in time", request.callback);
  }
  ArmExpiry(set);
}

}  // namespace chicoryvale
