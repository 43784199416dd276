#ifndef CHICORYVALE_SRC_REPLICATION_REPLICATION_TRANSPORT_H_
#define CHICORYVALE_SRC_REPLICATION_REPLICATION_TRANSPORT_H_

#include <functional>
#include <string>
#include <utility>

#include "base/ids.h"

namespace chicoryvale {

/// Interface to one-way messages between the replicas of a group. A message may
/// be lost, duplicated, delayed or reordered, but not changed. The layer below
/// this interface refuses messages of unauthenticated senders. Not thread safe.
class ReplicationTransport {
 public:
  using Receiver = std::function<void(std::string bytes)>;
  virtual ~ReplicationTransport() = default;

  /// Sends `bytes` to the replica that listens at `to`. Does not call the
  /// receiver before it returns.
  void Send(const Address& to, std::string bytes) {
    OnSend(to, std::move(bytes));
  }

  /// Sets the function that is called for each received message. An empty
  /// function discards the messages.
  void SetReceiver(Receiver receiver) { OnSetReceiver(std::move(receiver)); }

 protected:
  virtual void OnSend(const Address& to, std::string bytes) = 0;
  virtual void OnSetReceiver(Receiver receiver) = 0;
};

}  // namespace chicoryvale

#endif  // CHICORYVALE_SRC_REPLICATION_REPLICATION_TRANSPORT_H_
