#ifndef CHICORYVALE_PROGRAMS_CHICORY_LOAD_LOAD_REPORT_H_
#define CHICORYVALE_PROGRAMS_CHICORY_LOAD_LOAD_REPORT_H_

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "base/time.h"
#include "chicory-load/call_statistics.h"
#include "chicory-load/load_plan.h"

namespace chicoryvale {

/// Results of one run of a plan.
struct LoadReport {
  LoadPlan plan;
  std::vector<CallStatistics> streams;
  Duration elapsed{};
  /// Increases of the counters of the entries and of the stand-ins during the
  /// run.
  std::map<std::string, std::uint64_t> entry_counters;
  std::map<std::string, std::uint64_t> standin_counters;
  /// Number of failed reads of counters, before and after the run.
  std::uint32_t unreachable = 0;
};

/// Returns the report as a table for operators.
std::string FormatTable(const LoadReport& report);

/// Returns the report as one JSON object.
std::string FormatJson(const LoadReport& report);

}  // namespace chicoryvale

#endif  // CHICORYVALE_PROGRAMS_CHICORY_LOAD_LOAD_REPORT_H_
