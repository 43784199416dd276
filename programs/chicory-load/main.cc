// Load generator: open-loop arrivals from a plan, measured at the callers.

#include <iostream>
#include <utility>

#include "adapters/command_line.h"
#include "chicory-load/load_plan.h"
#include "chicory-load/load_report.h"
#include "chicory-load/load_runner.h"
#include "chicory-load/system_counters.h"

namespace chicoryvale {
namespace {

LoadReport RunPlan(LoadPlan plan) {
  LoadReport report;
  const SystemCounters before = ReadSystemCounters(plan);
  LoadRunner runner(plan);
  runner.Run();
  const SystemCounters after = ReadSystemCounters(plan);
  report.plan = std::move(plan);
  report.streams = runner.Results();
  report.elapsed = runner.Elapsed();
  report.entry_counters = Increase(before.entries, after.entries);
  report.standin_counters = Increase(before.standins, after.standins);
  report.unreachable = before.unreachable + after.unreachable;
  return report;
}

ExitCode RunLoad(int argc, const char* const* argv) {
  LoadPlan plan;
  bool json = false;
  DaemonProgram commands;
  commands.name = "chicory-load";
  commands.summary = "Sends the calls of a plan and measures their answers.";
  commands.json = &json;
  commands.read_settings = [&plan](SettingsReader& reader) {
    plan = ReadLoadPlan(reader);
  };
  commands.run = [&plan, &json] {
    const LoadReport report = RunPlan(std::move(plan));
    std::cout << (json ? FormatJson(report) : FormatTable(report));
    return ExitCode::kOk;
  };
  return RunDaemon(argc, argv, commands);
}

}  // namespace
}  // namespace chicoryvale

int main(int argc, char** argv) {
  return static_cast<int>(chicoryvale::RunLoad(argc, argv));
}
