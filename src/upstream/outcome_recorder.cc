#include "upstream/outcome_recorder.h"

#include <cassert>

namespace chicoryvale {
namespace {

/// Answers that a replica sent before it crashed arrive within this time.
constexpr Duration kMaxAnswerTransit = milliseconds(20);

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

RunOutcome RunOutcomeOf(SubOutcomeKind kind) {
  switch (kind) {
    case SubOutcomeKind::kAnswered:
    case SubOutcomeKind::kFailed:
    case SubOutcomeKind::kMalformed:
      return RunOutcome::kSurvived;
    case SubOutcomeKind::kConnectionLost:
      return RunOutcome::kCrashed;
    case SubOutcomeKind::kNotConnected:
      return RunOutcome::kNotConnected;
    case SubOutcomeKind::kNotStarted:
    case SubOutcomeKind::kSnapshotUnavailable:
      return RunOutcome::kNotRun;
    case SubOutcomeKind::kTimedOut:
      return RunOutcome::kUnknown;
  }
  return RunOutcome::kUnknown;
}

OutcomeRecorder::OutcomeRecorder(AvailabilityTracker* availability,
                                 CrashQuarantine* quarantine,
                                 CounterSet<UpstreamCounter>* counters)
    : m_availability(availability),
      m_quarantine(quarantine),
      m_counters(counters) {
  assert(availability != nullptr && quarantine != nullptr &&
         counters != nullptr);
}

void OutcomeRecorder::Record(const SubOutcome& outcome, Replica* replica,
                             TimePoint sent_at, Duration elapsed,
                             TimePoint now) {
  m_counters->Add(CounterOf(outcome.kind));
  ReplicaState& state = replica->state;
  AvailabilityTracker::Record* availability = state.Availability();
  const UpstreamReport& report = outcome.report;
  switch (outcome.kind) {
    case SubOutcomeKind::kAnswered:
      state.OnAnswer(elapsed, now);
      m_availability->OnAnswer(availability, report.draining, sent_at, now);
      RecordSurvival(replica, sent_at, now);
      break;
    case SubOutcomeKind::kNotStarted:
      if (report.draining) {
        state.OnInconclusive();
      } else {
        state.OnShed(now);
      }
      m_availability->OnAnswer(availability, report.draining, sent_at, now);
      break;
    case SubOutcomeKind::kSnapshotUnavailable:
      state.OnInconclusive();
      m_availability->OnAnswer(availability, report.draining, sent_at, now);
      break;
    case SubOutcomeKind::kNotConnected:
      state.OnFailure(elapsed, now);
      m_availability->OnConnectFailure(availability, now);
      break;
    case SubOutcomeKind::kConnectionLost:
      replica->connection_lost_at = now;
      [[fallthrough]];
    case SubOutcomeKind::kFailed:
    case SubOutcomeKind::kMalformed:
      state.OnFailure(elapsed, now);
      break;
    case SubOutcomeKind::kTimedOut:
      state.OnTimeout(elapsed, now);
      break;
  }
  if (report.load) {
    state.OnLoadReport(*report.load, replica->limits.slots, now);
  }
}

void OutcomeRecorder::RecordSurvival(Replica* replica, TimePoint sent_at,
                                     TimePoint now) {
  if (!replica->connection_lost_at) return;
  const TimePoint lost_at = *replica->connection_lost_at;
  if (sent_at >= lost_at) {
    replica->connection_lost_at.reset();
    return;
  }
  // The answered attempt was in flight when the connection was lost. Unless the
  // answer was already in transit then, it shows that only the connection was
  // lost and the replica did not crash.
  if (now - lost_at < kMaxAnswerTransit) return;
  m_quarantine->OnReplicaSurvived(replica->state.GetAddress(), sent_at);
}

}  // namespace chicoryvale
