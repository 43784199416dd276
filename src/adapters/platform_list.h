#ifndef CHICORYVALE_SRC_ADAPTERS_PLATFORM_LIST_H_
#define CHICORYVALE_SRC_ADAPTERS_PLATFORM_LIST_H_

#include <cstddef>
#include <string>
#include <vector>

#include "chicoryvale/error.h"
#include "ports/platform_directory.h"

namespace chicoryvale {

/// Largest accepted list, in bytes and in VMs.
inline constexpr std::size_t kMaxPlatformListBytes =
    std::size_t{4} * 1024 * 1024;
inline constexpr std::size_t kMaxPlatformVms = 50000;

/// Parses a list of the form
/// {"vms": [{"address": "10.0.0.1:80", "availability_zone": "a",
///           "state": "live"}]}; state is "live" or "leaving", other keys are
/// ignored. The result is ordered by address. kMalformedRequest names the first
/// fault: one bad VM refuses the list, since half a list would look like VMs
/// that are gone. Thread safe.
Result<std::vector<PlatformVm>> ParsePlatformList(const std::string& json);

}  // namespace chicoryvale

#endif  // CHICORYVALE_SRC_ADAPTERS_PLATFORM_LIST_H_
