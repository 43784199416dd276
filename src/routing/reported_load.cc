#include "routing/reported_load.h"

#include <algorithm>

#include "base/decay.h"

namespace chicoryvale {
namespace {

/// Half-life of the weight of a reported queue: with few slots, a queue is
/// processed within the time of a few requests.
constexpr double kQueueHalfLifeSeconds = 0.1;

/// Half-life of the weight of a reported slowness: it changes many times a
/// second.
constexpr double kSlownessHalfLifeSeconds = 0.1;

/// Half-life of a report in the means: the load at a single moment is mostly
/// chance with few slots.
constexpr double kMeanHalfLifeSeconds = 0.5;

}  // namespace

void ReportedLoad::Record(const ReplicaLoad& report, std::size_t own_requests,
                          TimePoint now) {
  const double others = static_cast<double>(report.running + report.waiting) -
                        static_cast<double>(own_requests);
  m_queue_of_others = std::max(others, 0.0);
  m_slowness = report.slowness.value_or(1);
  m_reported_at = now;
}

void ReportedLoad::RecordMeans(const ReplicaLoad& report, TimePoint now) {
  const double busy = static_cast<double>(report.running + report.waiting);
  const double kept =
      m_means_reported_at
          ? DecayFactor(now - *m_means_reported_at, kMeanHalfLifeSeconds)
          : 0;
  m_mean_busy = busy + kept * (m_mean_busy - busy);
  const double used = std::min(busy, static_cast<double>(report.slots));
  m_mean_used = used + kept * (m_mean_used - used);
  m_slots = report.slots;
  m_means_reported_at = now;
}

double ReportedLoad::QueueOfOthers(TimePoint now) const {
  return m_queue_of_others *
         DecayFactor(now - m_reported_at, kQueueHalfLifeSeconds);
}

double ReportedLoad::Slowness(TimePoint now) const {
  // Replicas that report no slowness need no decay to be computed.
  if (m_slowness == 1) return 1;
  const Duration age = std::max(now - m_reported_at, Duration::zero());
  return 1 + (m_slowness - 1) * DecayFactor(age, kSlownessHalfLifeSeconds);
}

}  // namespace chicoryvale
