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

/// What one run of a plan measured.
struct LoadReport {
  LoadPlan plan;
  std::vector<CallStatistics> streams;
  Duration elapsed{};
  /// What the counters of the entries and the stand-ins rose by.
  std::map<std::string, std::uint64_t> entry_counters;
  std::map<std::string, std::uint64_t> standin_counters;
  /// Addresses of counters that did not answer, before or after.
  std::uint32_t unreachable = 0;
};

/// Returns the report as a table for a person.
std::string FormatTable(const LoadReport& report);

/// Returns the report as one JSON object.
std::string FormatJson(const LoadReport& report);

}  // namespace chicoryvale

#endif  // CHICORYVALE_PROGRAMS_CHICORY_LOAD_LOAD_REPORT_H_
