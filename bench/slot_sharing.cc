// Compares policies by which many entries share replicas with two slots each,
// on virtual time and with the same seeded arrivals.

#include <algorithm>
#include <cstdint>
#include <cstdio>
#include <vector>

#include "upstream/slot_sharing_model.h"

namespace chicoryvale::upstream_test {
namespace {

double Quantile(std::vector<double>* values, double quantile) {
  std::ranges::sort(*values);
  const auto last = static_cast<double>(values->size() - 1);
  return (*values)[static_cast<std::size_t>(quantile * last)];
}

void MeasurePolicy(const char* name, SharingPolicy sharing,
                   double utilisation) {
  constexpr std::uint64_t kSeeds = 5;
  SlotSharingResult total;
  for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
    SlotSharingResult result =
        SlotSharingModel(sharing, utilisation, seed).Run();
    std::ranges::copy(result.latencies_ms,
                      std::back_inserter(total.latencies_ms));
    total.late += result.late;
    total.sent += result.sent;
    total.queue_sum += result.queue_sum;
    total.queue_samples += result.queue_samples;
    total.queue_max = std::max(total.queue_max, result.queue_max);
    total.idle_slot_ratio_sum += result.idle_slot_ratio_sum;
    total.samples += result.samples;
  }
  std::printf(
      "%4.1f %-22s %8zu %8.1f %8.1f %8.1f %8llu %8.2f %6zu %8.2f %7.2f\n",
      utilisation, name, total.latencies_ms.size(),
      Quantile(&total.latencies_ms, 0.5), Quantile(&total.latencies_ms, 0.99),
      Quantile(&total.latencies_ms, 0.999),
      static_cast<unsigned long long>(total.late),
      total.queue_sum / static_cast<double>(total.queue_samples),
      total.queue_max,
      100.0 * total.idle_slot_ratio_sum / static_cast<double>(total.samples),
      total.sent == 0 ? 0.0
                      : 100.0 * static_cast<double>(total.sent) /
                                static_cast<double>(total.latencies_ms.size()) -
                            100.0);
}

}  // namespace
}  // namespace chicoryvale::upstream_test

int main() {
  using chicoryvale::upstream_test::MeasurePolicy;
  using chicoryvale::upstream_test::SharingPolicy;
  std::printf(
      "seeds 1-5, 120 s each; 2 replicas of 2 slots, 16 entries in 4 "
      "zones, 5 ms median, 1%% at 20 times\n");
  std::printf("%4s %-22s %8s %8s %8s %8s %8s %8s %6s %8s %7s\n", "util",
              "sharing", "requests", "p50 ms", "p99 ms", "p99.9", "late",
              "queue", "most", "lost %", "extra %");
  for (const double utilisation : {0.3, 0.6, 0.9}) {
    MeasurePolicy("adaptive per entry", SharingPolicy::kAdaptive, utilisation);
    MeasurePolicy("adaptive, no reports", SharingPolicy::kAdaptiveNoReports,
                  utilisation);
    MeasurePolicy("adaptive, hedged", SharingPolicy::kAdaptiveHedged,
                  utilisation);
    MeasurePolicy("no limit", SharingPolicy::kUnlimited, utilisation);
    MeasurePolicy("owner per replica", SharingPolicy::kOwner, utilisation);
    MeasurePolicy("owner per shard", SharingPolicy::kSetOwner, utilisation);
    MeasurePolicy("leased by demand", SharingPolicy::kLeased, utilisation);
  }
  return 0;
}
