#ifndef CHICORYVALE_SRC_ROUTING_REPORTED_LOAD_H_
#define CHICORYVALE_SRC_ROUTING_REPORTED_LOAD_H_

#include <cstddef>
#include <cstdint>
#include <optional>

#include "base/time.h"
#include "ports/replica_transport.h"

namespace chicoryvale {

/// The load that a replica reports in its answers, as it counts some time
/// later. Not thread safe.
class ReportedLoad {
 public:
  /// Records a report. `own_requests` is the number of requests of this process
  /// that are still open at the replica.
  void Record(const ReplicaLoad& report, std::size_t own_requests,
              TimePoint now);

  /// Records a report in the means and the slots below.
  void RecordMeans(const ReplicaLoad& report, TimePoint now);

  /// Returns the requests of other processes that ran or waited at the replica
  /// at the last report, weighted by its age.
  [[nodiscard]] double QueueOfOthers(TimePoint now) const;

  /// Returns the slowness that the replica reported, relative to what is usual,
  /// weighted by its age; 1 if it reported none.
  [[nodiscard]] double Slowness(TimePoint now) const;

  /// Returns whether the means contain a report of `time` or later.
  [[nodiscard]] bool HasMeansSince(TimePoint time) const {
    return m_means_reported_at && *m_means_reported_at >= time;
  }

  /// Returns the recency-weighted mean of the requests that run or wait at the
  /// replica.
  [[nodiscard]] double MeanBusy() const { return m_mean_busy; }

  /// Returns the recency-weighted mean of the used slots.
  [[nodiscard]] double MeanUsed() const { return m_mean_used; }

  /// Returns the slots of the last report in the means; 0 without any.
  [[nodiscard]] std::uint32_t Slots() const { return m_slots; }

 private:
  double m_queue_of_others = 0;
  double m_slowness = 1;
  TimePoint m_reported_at{};
  double m_mean_busy = 0;
  double m_mean_used = 0;
  std::uint32_t m_slots = 0;
  std::optional<TimePoint> m_means_reported_at;
};

}  // namespace chicoryvale

#endif  // CHICORYVALE_SRC_ROUTING_REPORTED_LOAD_H_
