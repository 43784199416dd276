// Compares ways to mark requests that crash upstreams, on the same seeded runs:
// by fingerprint, by origin (workspace and service), by canaries, and by
// combinations of these.

#include <algorithm>
#include <cstdint>
#include <cstdio>
#include <vector>

#include "upstream/crash_model.h"

namespace chicoryvale::upstream_test {
namespace {

struct Variant {
  const char* name;
  CrashSettings settings;
};

struct Scenario {
  const char* name;
  CallerKind caller;
  double other_crashes_per_second;
  std::size_t mass_crash;
  Duration gossip_delay;
};

constexpr std::uint64_t kSeeds = 20;
constexpr Duration kGossipDelay = milliseconds(2);
/// Exceeds CrashSettings::gossip_wait.
constexpr Duration kLateGossipDelay = milliseconds(500);

std::vector<Variant> MakeVariants() {
  CrashSettings none;
  none.canary = CanaryPolicy::kNever;
  none.origin = OriginPolicy::kIgnore;
  none.max_crashes = 1000000;
  CrashSettings fingerprint = none;
  fingerprint.max_crashes = 2;
  CrashSettings origin = none;
  origin.origin = OriginPolicy::kProbation;
  origin.suspicious_origin_threshold = 1;
  origin.max_crashes = 1;
  CrashSettings canary = fingerprint;
  canary.canary = CanaryPolicy::kUnproven;
  CrashSettings serialize = canary;
  serialize.origin = OriginPolicy::kSerialize;
  CrashSettings probation = canary;
  probation.origin = OriginPolicy::kProbation;
  CrashSettings after_mark = probation;
  after_mark.canary = CanaryPolicy::kMarkedOrigin;
  return {{"none", none},
          {"fingerprint", fingerprint},
          {"workspace+service", origin},
          {"fingerprint, canary", canary},
          {"all three, serialized", serialize},
          {"all three, probation", probation},
          {"all three, canary after mark", after_mark}};
}

Duration Quantile(std::vector<Duration>* values, double quantile) {
  if (values->empty()) return {};
  std::ranges::sort(*values);
  const auto last = static_cast<double>(values->size() - 1);
  return (*values)[static_cast<std::size_t>(quantile * last)];
}

void MeasureVariant(const Scenario& scenario, const Variant& variant) {
  CrashModelResult sum;
  std::uint64_t max_lost = 0;
  for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
    CrashModelOptions options;
    options.crash = variant.settings;
    options.caller = scenario.caller;
    options.other_crashes_per_second = scenario.other_crashes_per_second;
    options.mass_crash = scenario.mass_crash;
    options.gossip_delay = scenario.gossip_delay;
    options.seed = seed;
    const CrashModelResult result = CrashModel(options).Run();
    sum.lost += result.lost;
    max_lost = std::max(max_lost, result.max_lost_per_request);
    sum.healthy += result.healthy;
    sum.healthy_quarantined += result.healthy_quarantined;
    sum.healthy_refused_temporarily += result.healthy_refused_temporarily;
    sum.healthy_incomplete += result.healthy_incomplete;
    std::ranges::copy(result.healthy_latencies,
                      std::back_inserter(sum.healthy_latencies));
  }
  const double p50 = ToSeconds(Quantile(&sum.healthy_latencies, 0.5)) * 1e3;
  const double p99 = ToSeconds(Quantile(&sum.healthy_latencies, 0.99)) * 1e3;
  std::printf(
      "%-10s %-29s %8.1f %6llu %9llu %6llu %6llu %7llu %7.1f %7.1f\n",
      scenario.name, variant.name, static_cast<double>(sum.lost) / kSeeds,
      static_cast<unsigned long long>(max_lost),
      static_cast<unsigned long long>(sum.healthy),
      static_cast<unsigned long long>(sum.healthy_quarantined),
      static_cast<unsigned long long>(sum.healthy_refused_temporarily),
      static_cast<unsigned long long>(sum.healthy_incomplete), p50, p99);
}

void MeasureAll() {
  const std::vector<Scenario> scenarios = {
      {"resends", CallerKind::kResends, 0.0, 0, kGossipDelay},
      {"races", CallerKind::kRaces, 0.0, 0, kGossipDelay},
      {"races late", CallerKind::kRaces, 0.0, 0, kLateGossipDelay},
      {"varies", CallerKind::kVaries, 0.0, 0, kGossipDelay},
      {"others", CallerKind::kNone, 1.0, 0, kGossipDelay},
      {"mass", CallerKind::kNone, 0.0, 20, kGossipDelay},
      {"all", CallerKind::kResends, 1.0, 0, kGossipDelay},
  };
  std::printf("seeds 1-%llu; per run 20 s, 16 entries, 20 shards of 2\n",
              static_cast<unsigned long long>(kSeeds));
  std::printf("%-10s %-29s %8s %6s %9s %6s %6s %7s %7s %7s\n", "scenario",
              "marks", "lost/run", "most/f", "healthy", "quar.", "defer",
              "incompl", "p50 ms", "p99 ms");
  const std::vector<Variant> variants = MakeVariants();
  for (const Scenario& scenario : scenarios) {
    for (const Variant& variant : variants) MeasureVariant(scenario, variant);
  }
}

}  // namespace
}  // namespace chicoryvale::upstream_test

int main() {
  chicoryvale::upstream_test::MeasureAll();
  return 0;
}
