#include "upstream/latency_estimate.h"

#include <algorithm>

namespace chicoryvale {
namespace {

/// Time in which a sample loses about two thirds of its weight.
constexpr double kTimeConstantUs = 1e6;
/// Minimum weight of a sample, however soon it follows the last one.
constexpr double kMinSampleWeight = 0.1;
/// Minimum weight of a sample above the estimate.
constexpr double kMinRiseWeight = 0.3;
/// Samples are capped at this multiple of the estimate.
constexpr double kMaxSampleToEstimateRatio = 4.0;

}  // namespace

void LatencyEstimate::Add(Duration latency, TimePoint now) {
  const auto sample = static_cast<double>(latency.count());
  if (m_estimate_us == 0.0) {
    m_estimate_us = std::max(sample, 1.0);
    m_last_sample_at = now;
    return;
  }
  const double passed =
      static_cast<double>((now - m_last_sample_at).count()) / kTimeConstantUs;
  double weight = std::clamp(passed / (1.0 + passed), kMinSampleWeight, 1.0);
  if (sample > m_estimate_us) weight = std::max(weight, kMinRiseWeight);
  const double bounded =
      std::min(sample, kMaxSampleToEstimateRatio * m_estimate_us);
  m_estimate_us += weight * (bounded - m_estimate_us);
  m_estimate_us = std::max(m_estimate_us, 1.0);
  m_last_sample_at = now;
}

void LatencyEstimate::AddLowerBound(Duration age, TimePoint now) {
  if (static_cast<double>(age.count()) > m_estimate_us) Add(age, now);
}

}  // namespace chicoryvale
