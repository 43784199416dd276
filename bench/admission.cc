// Prints goodput and latency with and without admission, on virtual time: first
// of a service of 20 shards with two replicas each at 0.5 to 5 times its
// capacity, then of workspaces that use half of their shares while another one
// sends once or ten times its share.
#include <cstdint>
#include <cstdio>
#include <vector>

#include "fakes/load_run.h"

namespace {

using chicoryvale::LoadPlan;
using chicoryvale::LoadResult;
using chicoryvale::LoadRun;
using chicoryvale::ToSeconds;

// Four slots per shard with a mean service time of 5.16 ms.
constexpr double kCapacityRequestsPerSecond = 775;
constexpr double kMillisPerSecond = 1e3;

void PrintOverload(double factor, bool admission) {
  LoadPlan plan;
  plan.admission = admission;
  plan.duration = chicoryvale::seconds(10);
  plan.workspaces = {{"makers", kCapacityRequestsPerSecond * factor, 1}};
  LoadRun run(plan);
  const LoadResult result = run.Run();
  std::printf(
      "%6.1f %-5s %10.1f %9.1f %9.1f\n", factor, admission ? "yes" : "no",
      static_cast<double>(result.complete_answers) / ToSeconds(plan.duration),
      ToSeconds(result.Quantile(0.5)) * kMillisPerSecond,
      ToSeconds(result.Quantile(0.99)) * kMillisPerSecond);
}

void PrintShares(double factor, bool admission) {
  constexpr double kShareRequestsPerSecond = kCapacityRequestsPerSecond / 4;
  LoadPlan plan;
  plan.admission = admission;
  plan.duration = chicoryvale::seconds(10);
  plan.workspaces = {{"makers", kShareRequestsPerSecond / 2, 1},
                     {"traders", kShareRequestsPerSecond / 2, 1},
                     {"villages", kShareRequestsPerSecond / 2, 1},
                     {"organisers", kShareRequestsPerSecond * factor, 1}};
  LoadRun run(plan);
  run.Run();
  for (const auto& [name, result] : run.ByWorkspace()) {
    std::printf(
        "%6.1f %-5s %-12s %10.1f %9.1f %9.1f\n", factor,
        admission ? "yes" : "no", name.c_str(),
        static_cast<double>(result.complete_answers) / ToSeconds(plan.duration),
        ToSeconds(result.Quantile(0.5)) * kMillisPerSecond,
        ToSeconds(result.Quantile(0.99)) * kMillisPerSecond);
  }
}

}  // namespace

int main() {
  std::printf("%6s %-5s %10s %9s %9s\n", "load", "adm.", "goodput/s", "p50 ms",
              "p99 ms");
  for (const bool admission : {false, true}) {
    for (const double factor : {0.5, 1.0, 2.0, 5.0}) {
      PrintOverload(factor, admission);
    }
  }
  std::printf("\n%6s %-5s %-12s %10s %9s %9s\n", "share", "adm.", "workspace",
              "goodput/s", "p50 ms", "p99 ms");
  for (const bool admission : {false, true}) {
    for (const double factor : {1.0, 10.0}) PrintShares(factor, admission);
  }
  return 0;
}
