#ifndef CHICORYVALE_SRC_UPSTREAM_DEFERRED_ATTEMPTS_H_
#define CHICORYVALE_SRC_UPSTREAM_DEFERRED_ATTEMPTS_H_

#include <cstdint>
#include <functional>
#include <optional>
#include <set>
#include <unordered_map>
#include <utility>
#include <vector>

#include "base/time.h"
#include "ports/replica_gate.h"
#include "ports/scheduler.h"

namespace chicoryvale {

/// An attempt that may not run until more is known about the fingerprint of its
/// request.
struct DeferredAttempt {
  AttemptSpec spec;
  GateTicket ticket = 0;
  ReplicaGate::Callback callback;
};

/// Deferred attempts, grouped by fingerprint, with one timer for all groups.
/// Not thread safe.
class DeferredAttempts {
 public:
  /// Called when a group is due. The callback has to remove the group with
  /// Extract.
  using DueCallback = std::function<void(std::uint64_t fingerprint)>;

  /// `scheduler` must outlive the object.
  DeferredAttempts(Scheduler* scheduler, DueCallback on_due);
  ~DeferredAttempts();
  DeferredAttempts(const DeferredAttempts&) = delete;
  DeferredAttempts& operator=(const DeferredAttempts&) = delete;

  /// Adds an attempt. Its group is due at the earliest deadline or `recheck_at`
  /// of its attempts.
  void Add(DeferredAttempt attempt, std::optional<TimePoint> recheck_at);

  /// Removes and returns the attempts of a group; empty if there is none.
  std::vector<DeferredAttempt> Extract(std::uint64_t fingerprint);

 private:
  struct Group {
    TimePoint due{};
    std::vector<DeferredAttempt> attempts;
  };

  void ScheduleTimer();
  void OnTimer();

  Scheduler* m_scheduler;
  DueCallback m_on_due;
  std::unordered_map<std::uint64_t, Group> m_groups;
  std::set<std::pair<TimePoint, std::uint64_t>> m_by_due;
  TimerId m_timer = 0;
  TimePoint m_timer_due{};
};

}  // namespace chicoryvale

#endif  // CHICORYVALE_SRC_UPSTREAM_DEFERRED_ATTEMPTS_H_
