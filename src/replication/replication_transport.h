#ifndef CHICORYVALE_SRC_REPLICATION_REPLICATION_TRANSPORT_H_
#define CHICORYVALE_SRC_REPLICATION_REPLICATION_TRANSPORT_H_

#include <functional>
#include <string>
#include <utility>

#include "base/ids.h"

namespace chicoryvale {

/// Port: one-way messages between the replicas of a group. A message may be
/// lost, doubled, delayed or reordered, but not changed; messages of strangers
/// are refused below this port. Not thread safe.
class ReplicationTransport {
 public:
  using Receiver = std::function<void(std::string bytes)>;
  virtual ~ReplicationTransport() = default;

  /// Sends `bytes` to the replica that listens at `to`. Never calls the
  /// receiver from within this call.
  void Send(const Address& to, std::string bytes) {
    OnSend(to, std::move(bytes));
  }

  /// Sets the function that is called for each message; empty for none.
  void SetReceiver(Receiver receiver) { OnSetReceiver(std::move(receiver)); }

 protected:
  virtual void OnSend(const Address& to, std::string bytes) = 0;
  virtual void OnSetReceiver(Receiver receiver) = 0;
};

}  // namespace chicoryvale

#endif  // CHICORYVALE_SRC_REPLICATION_REPLICATION_TRANSPORT_H_
