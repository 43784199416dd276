#ifndef CHICORYVALE_SRC_PORTS_CONFIG_FRESHNESS_H_
#define CHICORYVALE_SRC_PORTS_CONFIG_FRESHNESS_H_

#include <functional>
#include <utility>

namespace chicoryvale {

/// Interface that tells whether the configuration in force is current. A
/// process asks before it refuses a request for good because of something that
/// its configuration lacks: a change that was accepted meanwhile may have added
/// it. Not thread safe.
class ConfigFreshness {
 public:
  using Callback = std::function<void(bool is_current)>;
  virtual ~ConfigFreshness() = default;

  /// Calls `callback` once, possibly from within this call: with true if the
  /// configuration in force then has every change that was accepted until
  /// shortly before; with false if that cannot be confirmed soon.
  void Confirm(Callback callback) { OnConfirm(std::move(callback)); }

 protected:
  virtual void OnConfirm(Callback callback) = 0;
};

}  // namespace chicoryvale

#endif  // CHICORYVALE_SRC_PORTS_CONFIG_FRESHNESS_H_
