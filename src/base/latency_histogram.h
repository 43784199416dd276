#ifndef CHICORYVALE_SRC_BASE_LATENCY_HISTOGRAM_H_
#define CHICORYVALE_SRC_BASE_LATENCY_HISTOGRAM_H_

#include <algorithm>
#include <array>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <string>

#include "base/time.h"

namespace chicoryvale {

/// Counts latencies in fixed buckets. Not thread safe.
class LatencyHistogram {
 public:
  /// Inclusive upper bounds of all buckets except the last, which is unbounded.
  /// Each bound is about twice the previous one, and together they cover the
  /// range of callers' target latencies and deadlines.
  static constexpr std::array<std::int64_t, 12> kBoundsMs = {
      5, 10, 20, 50, 100, 200, 350, 500, 1000, 2000, 5000, 15000};

  /// Receives the name of a bucket, for example "le_50_ms" or "le_inf", and the
  /// number of latencies less than or equal to its upper bound.
  using Visitor =
      std::function<void(const std::string& name, std::uint64_t count)>;

  /// Counts one latency.
  void Record(Duration latency) {
    const auto* bound =
        std::ranges::find_if(kBoundsMs, [latency](std::int64_t bound_ms) {
          return latency <= milliseconds(bound_ms);
        });
    ++m_counts[static_cast<std::size_t>(bound - kBoundsMs.begin())];
  }

  /// Calls `visitor` for each bucket in ascending order of its upper bound. The
  /// counts are cumulative.
  void Visit(const Visitor& visitor) const {
    std::uint64_t cumulative_count = 0;
    for (std::size_t i = 0; i < m_counts.size(); ++i) {
      cumulative_count += m_counts[i];
      visitor(i < kBoundsMs.size()
                  ? "le_" + std::to_string(kBoundsMs[i]) + "_ms"
                  : "le_inf",
              cumulative_count);
    }
  }

 private:
  std::array<std::uint64_t, kBoundsMs.size() + 1> m_counts{};
};

}  // namespace chicoryvale

#endif  // CHICORYVALE_SRC_BASE_LATENCY_HISTOGRAM_H_
