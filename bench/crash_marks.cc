// Compares ways to mark requests that crash upstreams, on the same seeded runs:
// by fingerprint, by workspace and service, and by all of them together.

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
constexpr Duration kGossip = milliseconds(2);
/// Longer than CrashSettings::gossip_wait.
constexpr Duration kLateGossip = milliseconds(500);

std::vector<Variant> Variants() {
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

Duration Quantile(std::vector<Duration>* sorted, double quantile) {
  if (sorted->empty()) return {};
  std::ranges::sort(*sorted);
  const auto last = static_cast<double>(sorted->size() - 1);
  return (*sorted)[static_cast<std::size_t>(quantile * last)];
}

void Measure(const Scenario& scenario, const Variant& variant) {
  CrashModelResult sum;
  std::uint64_t most = 0;
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
    most = std::max(most, result.max_lost_per_request);
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
      static_cast<unsigned long long>(most),
      static_cast<unsigned long long>(sum.healthy),
      static_cast<unsigned long long>(sum.healthy_quarantined),
      static_cast<unsigned long long>(sum.healthy_refused_temporarily),
      static_cast<unsigned long long>(sum.healthy_incomplete), p50, p99);
}

void MeasureAll() {
  const std::vector<Scenario> scenarios = {
      {"resends", CallerKind::kResends, 0.0, 0, kGossip},
      {"races", CallerKind::kRaces, 0.0, 0, kGossip},
      {"races late", CallerKind::kRaces, 0.0, 0, kLateGossip},
      {"varies", CallerKind::kVaries, 0.0, 0, kGossip},
      {"others", CallerKind::kNone, 1.0, 0, kGossip},
      {"mass", CallerKind::kNone, 0.0, 20, kGossip},
      {"all", CallerKind::kResends, 1.0, 0, kGossip},
  };
  std::printf("seeds 1-%llu; per run 20 s, 16 entries, 20 shards of 2\n",
              static_cast<unsigned long long>(kSeeds));
  std::printf("%-10s %-29s %8s %6s %9s %6s %6s %7s %7s %7s\n", "scenario",
              "marks", "lost/run", "most/f", "healthy", "quar.", "defer",
              "incompl", "p50 ms", "p99 ms");
  const std::vector<Variant> variants = Variants();
  for (const Scenario& scenario : scenarios) {
    for (const Variant& variant : variants) Measure(scenario, variant);
  }
}

}  // namespace
}  // namespace chicoryvale::upstream_test

int main() {
  chicoryvale::upstream_test::MeasureAll();
  return 0;
}
