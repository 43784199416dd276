#include "query/latency_quantile.h"

#include <algorithm>
#include <bit>
#include <cmath>

namespace chicoryvale {

void LatencyQuantile::Record(Duration latency) {
  const auto value_us = std::max<Duration::rep>(latency.count(), 0);
  ++m_current[BucketIndex(static_cast<std::uint64_t>(value_us))];
  if (++m_current_count == kSamplesPerHistogram) {
    m_previous = m_current;
    m_previous_count = m_current_count;
    m_current.fill(0);
    m_current_count = 0;
  }
  if (--m_samples_until_refresh == 0) Refresh();
}

std::optional<Duration> LatencyQuantile::Value() const { return m_estimate; }

// Each value below kBucketsPerOctave has its own bucket. Above that, each power
// of two is divided into kBucketsPerOctave buckets of equal width.
std::size_t LatencyQuantile::BucketIndex(std::uint64_t value_us) {
  if (value_us < kBucketsPerOctave) return static_cast<std::size_t>(value_us);
  const auto shift =
      static_cast<std::size_t>(std::bit_width(value_us / kBucketsPerOctave)) -
      1;
  const std::size_t sub = (value_us >> shift) - kBucketsPerOctave;
  return std::min((shift + 1) * kBucketsPerOctave + sub, kBucketCount - 1);
}

Duration LatencyQuantile::BucketUpperBound(std::size_t bucket) {
  if (bucket < kBucketsPerOctave) {
    return Duration(static_cast<Duration::rep>(bucket));
  }
  const std::size_t shift = bucket / kBucketsPerOctave - 1;
  const std::uint64_t sub = bucket % kBucketsPerOctave + kBucketsPerOctave;
  return Duration(static_cast<Duration::rep>(((sub + 1) << shift) - 1));
}

void LatencyQuantile::Refresh() {
  m_samples_until_refresh = kSamplesPerRefresh;
  const double total = m_current_count + m_previous_count;
  const auto rank = static_cast<std::uint64_t>(std::ceil(total * m_quantile));
  std::uint64_t seen = 0;
  std::size_t bucket = 0;
  for (; bucket < kBucketCount - 1; ++bucket) {
    seen += m_current[bucket] + m_previous[bucket];
    if (seen >= rank) break;
  }
  m_estimate = BucketUpperBound(bucket);
}

}  // namespace chicoryvale
