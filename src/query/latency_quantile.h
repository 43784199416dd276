#ifndef CHICORYVALE_SRC_QUERY_LATENCY_QUANTILE_H_
#define CHICORYVALE_SRC_QUERY_LATENCY_QUANTILE_H_

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>

#include "base/time.h"

namespace chicoryvale {

/// Estimates a quantile over the most recent latencies with a relative error
/// under 1/16, from two histograms of logarithmic buckets of which the older
/// is dropped when the newer is full. Constant time and memory. Not thread
/// safe.
class LatencyQuantile {
 public:
  /// `quantile` is between 0 and 1, exclusive.
  explicit LatencyQuantile(double quantile) : m_quantile(quantile) {}

  /// Adds one latency.
  void Record(Duration latency);

  /// Returns the estimate; absent before kMinSamples latencies.
  [[nodiscard]] std::optional<Duration> Value() const;

  static constexpr std::uint32_t kMinSamples = 100;
  /// Latencies in each of the two histograms.
  static constexpr std::uint32_t kWindowSamples = 4096;

 private:
  static constexpr std::size_t kSubBuckets = 16;
  static constexpr std::size_t kOctaves = 32;
  static constexpr std::size_t kBuckets = kSubBuckets * kOctaves;
  /// Latencies between two evaluations of the quantile.
  static constexpr std::uint32_t kRefreshSamples = 64;

  static std::size_t BucketOf(std::uint64_t micros);
  static Duration UpperBound(std::size_t bucket);
  void Refresh();

  double m_quantile;
  std::array<std::uint32_t, kBuckets> m_current{};
  std::array<std::uint32_t, kBuckets> m_previous{};
  std::uint32_t m_current_count = 0;
  std::uint32_t m_previous_count = 0;
  std::uint32_t m_until_refresh = kMinSamples;
  std::optional<Duration> m_value;
};

}  // namespace chicoryvale

#endif  // CHICORYVALE_SRC_QUERY_LATENCY_QUANTILE_H_
