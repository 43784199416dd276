#include "upstream/latency_estimate.h"

#include <algorithm>

namespace chicoryvale {
namespace {

/// Time in which a sample loses about two thirds of its weight.
constexpr double kTimeConstantMicros = 1e6;
/// Least weight of a sample, however soon it follows the last one.
constexpr double kMinWeight = 0.1;
/// Weight of a sample above the estimate.
constexpr double kRiseWeight = 0.3;
/// Largest sample, as a multiple of the estimate.
constexpr double kMaxRise = 4.0;

}  // namespace

void LatencyEstimate::Add(Duration latency, TimePoint now) {
  const auto sample = static_cast<double>(latency.count());
  if (m_micros == 0.0) {
    m_micros = std::max(sample, 1.0);
    m_last = now;
    return;
  }
  const double passed =
      static_cast<double>((now - m_last).count()) / kTimeConstantMicros;
  double weight = std::clamp(passed / (1.0 + passed), kMinWeight, 1.0);
  if (sample > m_micros) weight = std::max(weight, kRiseWeight);
  const double bounded = std::min(sample, kMaxRise * m_micros);
  m_micros += weight * (bounded - m_micros);
  m_micros = std::max(m_micros, 1.0);
  m_last = now;
}

void LatencyEstimate::AddLowerBound(Duration age, TimePoint now) {
  if (static_cast<double>(age.count()) > m_micros) Add(age, now);
}

}  // namespace chicoryvale
