#ifndef CHICORYVALE_SRC_UPSTREAM_OUTCOME_RECORDER_H_
#define CHICORYVALE_SRC_UPSTREAM_OUTCOME_RECORDER_H_

#include "base/counters.h"
#include "base/time.h"
#include "ports/upstream_transport.h"
#include "upstream/availability_tracker.h"
#include "upstream/crash_quarantine.h"
#include "upstream/replica_set.h"
#include "upstream/upstream_counters.h"

namespace chicoryvale {

/// Returns the outcome of a quarantine run for the outcome of its attempt.
RunOutcome RunOutcomeOf(SubOutcomeKind kind);

/// Updates the state of replicas from the outcomes of attempts: latency and
/// load, availability, and evidence that a replica has not crashed. Not thread
/// safe.
class OutcomeRecorder {
 public:
  /// The arguments must outlive the object.
  OutcomeRecorder(AvailabilityTracker* availability,
                  CrashQuarantine* quarantine,
                  CounterSet<UpstreamCounter>* counters);

  /// Records the end, at `now`, of an attempt that was sent to `replica`.
  void Record(const SubOutcome& outcome, Replica* replica, TimePoint sent_at,
              Duration elapsed, TimePoint now);

 private:
  void RecordSurvival(Replica* replica, TimePoint sent_at, TimePoint now);

  AvailabilityTracker* m_availability;
  CrashQuarantine* m_quarantine;
  CounterSet<UpstreamCounter>* m_counters;
};

}  // namespace chicoryvale

#endif  // CHICORYVALE_SRC_UPSTREAM_OUTCOME_RECORDER_H_
