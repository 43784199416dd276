#include "upstream/outcome_recorder.h"

#include <cassert>

namespace chicoryvale {
namespace {

/// Answers that a replica sent before it died arrive within this time.
constexpr Duration kAnswersInTransit = milliseconds(20);

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

RunEnd RunEndOf(SubOutcomeKind kind) {
  switch (kind) {
    case SubOutcomeKind::kAnswered:
    case SubOutcomeKind::kFailed:
    case SubOutcomeKind::kMalformed:
      return RunEnd::kSurvived;
    case SubOutcomeKind::kConnectionLost:
      return RunEnd::kDied;
    case SubOutcomeKind::kNotConnected:
      return RunEnd::kNotConnected;
    default:
      return RunEnd::kUnknown;
  }
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
      NoteSurvival(replica, sent_at, now);
      break;
    case SubOutcomeKind::kNotStarted:
      if (report.draining) {
        state.OnNeutral();
      } else {
        state.OnShed(now);
      }
      m_availability->OnAnswer(availability, report.draining, sent_at, now);
      break;
    case SubOutcomeKind::kSnapshotUnavailable:
      state.OnNeutral();
      m_availability->OnAnswer(availability, report.draining, sent_at, now);
      break;
    case SubOutcomeKind::kNotConnected:
      state.OnFailure(elapsed, now);
      m_availability->OnConnectFailure(availability, now);
      break;
    case SubOutcomeKind::kConnectionLost:
      replica->lost_connection_at = now;
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

void OutcomeRecorder::NoteSurvival(Replica* replica, TimePoint sent_at,
                                   TimePoint now) {
  if (!replica->lost_connection_at) return;
  const TimePoint lost_at = *replica->lost_connection_at;
  if (sent_at >= lost_at) {
    replica->lost_connection_at.reset();
    return;
  }
  // An answer to a request that was under way when the connection died shows
  // that the connection died alone, unless it was sent before.
  if (now - lost_at < kAnswersInTransit) return;
  m_quarantine->OnReplicaSurvived(replica->state.GetAddress(), sent_at);
}

}  // namespace chicoryvale
