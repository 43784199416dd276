#ifndef CHICORYVALE_SRC_UPSTREAM_DEFERRED_REQUESTS_H_
#define CHICORYVALE_SRC_UPSTREAM_DEFERRED_REQUESTS_H_

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

/// A request that may not run until more is known about its fingerprint.
struct DeferredRequest {
  AttemptSpec spec;
  GateTicket ticket = 0;
  ReplicaGate::Callback callback;
};

/// Deferred requests, grouped by fingerprint, with one timer for all groups.
/// Not thread safe.
class DeferredRequests {
 public:
  /// Called when a group is due. The callback has to remove the group with
  /// Extract.
  using DueCallback = std::function<void(std::uint64_t fingerprint)>;

  /// `scheduler` must outlive the object.
  DeferredRequests(Scheduler* scheduler, DueCallback on_due);
  ~DeferredRequests();
  DeferredRequests(const DeferredRequests&) = delete;
  DeferredRequests& operator=(const DeferredRequests&) = delete;

  /// Adds a request. Its group is due at the earliest deadline or `recheck_at`
  /// of its requests.
  void Add(DeferredRequest request, std::optional<TimePoint> recheck_at);

  /// Removes and returns the requests of a group; empty if there is none.
  std::vector<DeferredRequest> Extract(std::uint64_t fingerprint);

 private:
  struct Group {
    TimePoint due{};
    std::vector<DeferredRequest> requests;
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

#endif  // CHICORYVALE_SRC_UPSTREAM_DEFERRED_REQUESTS_H_
