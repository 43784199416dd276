#ifndef CHICORYVALE_PROGRAMS_CHICORY_LOAD_SYSTEM_COUNTERS_H_
#define CHICORYVALE_PROGRAMS_CHICORY_LOAD_SYSTEM_COUNTERS_H_

#include <cstdint>
#include <map>
#include <string>

#include "chicory-load/load_plan.h"

namespace chicoryvale {

/// Counters of the system under load, by name.
struct SystemCounters {
  /// Sums over the /metrics pages of the entries.
  std::map<std::string, std::uint64_t> entries;
  /// Sums over the totals of the stand-ins.
  std::map<std::string, std::uint64_t> standins;
  /// Number of addresses whose counters could not be read.
  std::uint32_t unreachable = 0;
};

/// Reads the counters from the addresses of `plan`; blocks until all have
/// answered or failed.
SystemCounters ReadSystemCounters(const LoadPlan& plan);

/// Returns the increases of the counters that rose. A counter that fell,
/// because its process restarted, counts with its later value.
std::map<std::string, std::uint64_t> ComputeIncreases(
    const std::map<std::string, std::uint64_t>& before,
    const std::map<std::string, std::uint64_t>& after);

}  // namespace chicoryvale

#endif  // CHICORYVALE_PROGRAMS_CHICORY_LOAD_SYSTEM_COUNTERS_H_
