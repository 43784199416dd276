#ifndef CHICORYVALE_SRC_PORTS_PLATFORM_DIRECTORY_H_
#define CHICORYVALE_SRC_PORTS_PLATFORM_DIRECTORY_H_

#include <cstdint>
#include <functional>
#include <string>
#include <utility>
#include <vector>

#include "base/ids.h"

namespace chicoryvale {

/// State of a VM in the platform's list.
enum class PlatformVmState : std::uint8_t { kLive, kLeaving };

/// One entry of the platform's list.
struct PlatformVm {
  Address address;
  std::string availability_zone;
  PlatformVmState state = PlatformVmState::kLive;
  bool operator==(const PlatformVm&) const = default;
};

/// Interface to the platform's list of live and leaving VMs. The list shows
/// both new and leaving VMs late, so it is a hint and never overrides a more
/// recent signal. Not thread safe.
class PlatformDirectory {
 public:
  using Listener = std::function<void(const std::vector<PlatformVm>& vms)>;
  virtual ~PlatformDirectory() = default;

  /// Sets the function called with each list that differs from the previous
  /// one.
  void SetListener(Listener listener) { OnSetListener(std::move(listener)); }

  /// Returns the last list that was read completely; empty before the first.
  [[nodiscard]] const std::vector<PlatformVm>& Vms() const { return OnVms(); }

 protected:
  virtual void OnSetListener(Listener listener) = 0;
  [[nodiscard]] virtual const std::vector<PlatformVm>& OnVms() const = 0;
};

}  // namespace chicoryvale

#endif  // CHICORYVALE_SRC_PORTS_PLATFORM_DIRECTORY_H_
