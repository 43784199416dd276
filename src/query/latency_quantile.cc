#include "query/latency_quantile.h"

#include <algorithm>
#include <bit>
#include <cmath>

namespace chicoryvale {

void LatencyQuantile::Record(Duration latency) {
  const auto micros = std::max<Duration::rep>(latency.count(), 0);
  ++m_current[BucketOf(static_cast<std::uint64_t>(micros))];
  if (++m_current_count == kWindowSamples) {
    m_previous = m_current;
    m_previous_count = m_current_count;
    m_current.fill(0);
    m_current_count = 0;
  }
  if (--m_until_refresh == 0) Refresh();
}

std::optional<Duration> LatencyQuantile::Value() const { return m_value; }

// Values below kSubBuckets have a bucket each; above, each power of two is
// divided into kSubBuckets buckets of equal width.
std::size_t LatencyQuantile::BucketOf(std::uint64_t micros) {
  if (micros < kSubBuckets) return static_cast<std::size_t>(micros);
  const auto shift =
      static_cast<std::size_t>(std::bit_width(micros / kSubBuckets)) - 1;
  const std::size_t sub = (micros >> shift) - kSubBuckets;
  return std::min((shift + 1) * kSubBuckets + sub, kBuckets - 1);
}

Duration LatencyQuantile::UpperBound(std::size_t bucket) {
  if (bucket < kSubBuckets) {
    return Duration(static_cast<Duration::rep>(bucket));
  }
  const std::size_t shift = bucket / kSubBuckets - 1;
  const std::uint64_t sub = bucket % kSubBuckets + kSubBuckets;
  return Duration(static_cast<Duration::rep>(((sub + 1) << shift) - 1));
}

void LatencyQuantile::Refresh() {
  m_until_refresh = kRefreshSamples;
  const double total = m_current_count + m_previous_count;
  const auto rank = static_cast<std::uint64_t>(std::ceil(total * m_quantile));
  std::uint64_t seen = 0;
  std::size_t bucket = 0;
  for (; bucket < kBuckets - 1; ++bucket) {
    seen += m_current[bucket] + m_previous[bucket];
    if (seen >= rank) break;
  }
  m_value = UpperBound(bucket);
}

}  // namespace chicoryvale
