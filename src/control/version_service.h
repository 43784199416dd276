#ifndef CHICORYVALE_SRC_CONTROL_VERSION_SERVICE_H_
#define CHICORYVALE_SRC_CONTROL_VERSION_SERVICE_H_

#include <cstdint>
#include <functional>
#include <optional>

#include "base/ids.h"
#include "ports/control_group.h"
#include "ports/peer_transport.h"

namespace chicoryvale {

/// Tells the newest committed version of the configuration on behalf of any
/// control VM: the leader confirms its leadership with a quorum, and the others
/// ask the leader. Not thread safe: used only on the event loop.
class VersionService {
 public:
  /// Receives the version, or nothing if no leader could confirm it.
  using Callback = std::function<void(std::optional<std::uint64_t> version)>;

  /// The pointees must outlive the service. `self` is the peer address of this
  /// process.
  VersionService(ControlGroup* group, PeerTransport* transport, Address self);

  /// Calls `callback` once. With `may_forward`, a VM that is not the leader
  /// asks the leader.
  void Confirm(bool may_forward, Callback callback);

 private:
  ControlGroup* m_group;
  PeerTransport* m_transport;
  Address m_self;
};

}  // namespace chicoryvale

#endif  // CHICORYVALE_SRC_CONTROL_VERSION_SERVICE_H_
