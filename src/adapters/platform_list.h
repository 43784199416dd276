#ifndef CHICORYVALE_SRC_ADAPTERS_PLATFORM_LIST_H_
#define CHICORYVALE_SRC_ADAPTERS_PLATFORM_LIST_H_

#include <cstddef>
#include <string>
#include <vector>

#include "chicoryvale/error.h"
#include "ports/platform_directory.h"

namespace chicoryvale {

/// Maximum size of an accepted list, in bytes and in VMs.
inline constexpr std::size_t kMaxPlatformListBytes =
    std::size_t{4} * 1024 * 1024;
inline constexpr std::size_t kMaxPlatformVms = 50000;

/// Parses a list of the form
/// {"vms": [{"address": "10.0.0.1:80", "availability_zone": "a",
///           "state": "live"}]}
/// where state is "live" or "leaving". Other keys are ignored. The result is
/// sorted by address. If the list is invalid, returns kMalformedRequest with
/// a message that describes the first error. One invalid VM invalidates the
/// whole list, because a partial list would look as if the missing VMs had been
/// removed. Thread safe.
Result<std::vector<PlatformVm>> ParsePlatformList(const std::string& text);

}  // namespace chicoryvale

#endif  // CHICORYVALE_SRC_ADAPTERS_PLATFORM_LIST_H_
