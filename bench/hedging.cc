// Prints latency, coverage and extra load with and without hedging, for each
// objective and fault, on virtual time. The service has 20 shards with two
// replicas each.
#include <cstdio>
#include <string>
#include <vector>

#include "fakes/load_run.h"

namespace {

using chicoryvale::FakeOutage;
using chicoryvale::LoadPlan;
using chicoryvale::LoadResult;
using chicoryvale::LoadRun;
using chicoryvale::QueryObjective;
using chicoryvale::ToSeconds;

constexpr double kMillisecondsPerSecond = 1e3;
constexpr double kPercent = 100;

struct Row {
  std::string name;
  LoadPlan plan;
};

LoadPlan MakeStragglerPlan() {
  LoadPlan plan;
  plan.fleet.straggler_ratio = 0.01;
  return plan;
}

std::vector<Row> MakeRows() {
  std::vector<Row> rows = {{"no straggler", LoadPlan{}},
                           {"1% straggler_ratio", MakeStragglerPlan()}};
  LoadPlan lost_replicas = MakeStragglerPlan();
  lost_replicas.outage_every = 10;
  rows.push_back({"10% lost, refusing", lost_replicas});
  lost_replicas.outage = FakeOutage::kSilent;
  rows.push_back({"10% lost, silent", lost_replicas});
  LoadPlan shed = MakeStragglerPlan();
  shed.fleet.shed_ratio = 0.1;
  rows.push_back({"10% shed", shed});
  LoadPlan all = MakeStragglerPlan();
  all.outage_every = 1;
  rows.push_back({"all lost", all});
  return rows;
}

double ToMilliseconds(chicoryvale::Duration duration) {
  return ToSeconds(duration) * kMillisecondsPerSecond;
}

void PrintRow(const std::string& name, const LoadPlan& plan, const char* mode) {
  const LoadResult result = LoadRun(plan).Run();
  std::printf("%-20s %-18s %7.1f %7.1f %7.1f %9.4f %8.2f %8.2f %8.2f\n",
              name.c_str(), mode, ToMilliseconds(result.Quantile(0.5)),
              ToMilliseconds(result.Quantile(0.99)),
              ToMilliseconds(result.Quantile(0.999)),
              result.Coverage() * kPercent, result.ExtraLoadRatio() * kPercent,
              kPercent * static_cast<double>(result.hedges) /
                  static_cast<double>(result.shards_requested),
              kPercent * static_cast<double>(result.retries) /
                  static_cast<double>(result.shards_requested));
}

}  // namespace

int main() {
  std::printf("%-20s %-18s %7s %7s %7s %9s %8s %8s %8s\n", "fault", "objective",
              "p50 ms", "p99 ms", "p999 ms", "cover %", "extra %", "hedge %",
              "retry %");
  for (const Row& row : MakeRows()) {
    LoadPlan plan = row.plan;
    plan.hedging = false;
    PrintRow(row.name, plan, "coverage, no hedge");
    plan.hedging = true;
    PrintRow(row.name, plan, "coverage");
    plan.objective = QueryObjective::kTailLatency;
    PrintRow(row.name, plan, "tail latency");
  }
  return 0;
}
