#ifndef CHICORYVALE_SRC_PORTS_PLATFORM_DIRECTORY_H_
#define CHICORYVALE_SRC_PORTS_PLATFORM_DIRECTORY_H_

#include <cstdint>
#include <functional>
#include <string>
#include <utility>
#include <vector>

#include "base/ids.h"

namespace chicoryvale {

/// What the platform says of a VM.
enum class PlatformVmState : std::uint8_t { kLive, kLeaving };

/// One line of the platform's list.
struct PlatformVm {
  Address address;
  std::string availability_zone;
  PlatformVmState state = PlatformVmState::kLive;
  bool operator==(const PlatformVm&) const = default;
};

/// Port: the platform's list of live and leaving VMs. The list lags both ways:
/// it is a hint and never overrules a fresher signal. Not thread safe.
class PlatformDirectory {
 public:
  using Listener = std::function<void(const std::vector<PlatformVm>& vms)>;
  virtual ~PlatformDirectory() = default;

  /// Sets the function called with each list that differs from the one before.
  void SetListener(Listener listener) { OnSetListener(std::move(listener)); }

  /// Returns the last list that was read whole; empty before the first.
  [[nodiscard]] const std::vector<PlatformVm>& Vms() const { return OnVms(); }

 protected:
  virtual void OnSetListener(Listener listener) = 0;
  [[nodiscard]] virtual const std::vector<PlatformVm>& OnVms() const = 0;
};

}  // namespace chicoryvale

#endif  // CHICORYVALE_SRC_PORTS_PLATFORM_DIRECTORY_H_
