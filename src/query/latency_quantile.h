#ifndef CHICORYVALE_SRC_QUERY_LATENCY_QUANTILE_H_
#define CHICORYVALE_SRC_QUERY_LATENCY_QUANTILE_H_

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>

#include "base/time.h"

namespace chicoryvale {

/// Estimates a quantile of the most recent latencies with a relative error of
/// less than 1/16. Keeps two histograms with logarithmic buckets and drops the
/// older histogram when the newer one is full. Uses constant time and memory.
/// Not thread safe.
class LatencyQuantile {
 public:
  /// `quantile` is between 0 and 1, both excluded.
  explicit LatencyQuantile(double quantile) : m_quantile(quantile) {}

  /// Records one latency. Negative latencies count as 0.
  void Record(Duration latency);

  /// Returns the estimate. Absent until kMinSamples latencies are recorded.
  [[nodiscard]] std::optional<Duration> Value() const;

  /// Number of latencies from which the first estimate is made.
  static constexpr std::uint32_t kMinSamples = 100;
  /// Capacity of each of the two histograms, in latencies.
  static constexpr std::uint32_t kSamplesPerHistogram = 4096;

 private:
  /// Each power of two of microseconds (octave) is divided into this many
  /// buckets, which bounds the relative error.
  static constexpr std::size_t kBucketsPerOctave = 16;
  static constexpr std::size_t kOctaves = 32;
  static constexpr std::size_t kBucketCount = kBucketsPerOctave * kOctaves;
  /// Number of latencies between two updates of the estimate.
  static constexpr std::uint32_t kSamplesPerRefresh = 64;

  static std::size_t BucketIndex(std::uint64_t value_us);
  static Duration BucketUpperBound(std::size_t bucket);
  void Refresh();

  double m_quantile;
  std::array<std::uint32_t, kBucketCount> m_current{};
  std::array<std::uint32_t, kBucketCount> m_previous{};
  std::uint32_t m_current_count = 0;
  std::uint32_t m_previous_count = 0;
  std::uint32_t m_samples_until_refresh = kMinSamples;
  std::optional<Duration> m_estimate;
};

}  // namespace chicoryvale

#endif  // CHICORYVALE_SRC_QUERY_LATENCY_QUANTILE_H_
