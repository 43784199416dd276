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

/// A request that may not run until more is known of its fingerprint.
struct DeferredRequest {
  AttemptSpec spec;
  GateTicket ticket = 0;
  ReplicaGate::Callback callback;
};

/// Requests grouped by fingerprint, with one timer for all groups. Not thread
/// safe.
class DeferredRequests {
 public:
  /// Called when a group is due. The fingerprint is to be taken with Take.
  using DueFunction = std::function<void(std::uint64_t fingerprint)>;

  /// `scheduler` must outlive the object.
  DeferredRequests(Scheduler* scheduler, DueFunction due);
  ~DeferredRequests();
  DeferredRequests(const DeferredRequests&) = delete;
  DeferredRequests& operator=(const DeferredRequests&) = delete;

  /// Adds a request; its group is due at its deadline or at `ask_again`, if
  /// that is earlier.
  void Add(DeferredRequest request, std::optional<TimePoint> ask_again);

  /// Removes and returns a group, empty if there is none.
  std::vector<DeferredRequest> Take(std::uint64_t fingerprint);

 private:
  struct Group {
    TimePoint due{};
    std::vector<DeferredRequest> requests;
  };

  void Arm();
  void Fire();

  Scheduler* m_scheduler;
  DueFunction m_due;
  std::unordered_map<std::uint64_t, Group> m_groups;
  std::set<std::pair<TimePoint, std::uint64_t>> m_by_due;
  TimerId m_timer = 0;
  TimePoint m_timer_due{};
};

}  // namespace chicoryvale

#endif  // CHICORYVALE_SRC_UPSTREAM_DEFERRED_REQUESTS_H_
