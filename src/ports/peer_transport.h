#ifndef CHICORYVALE_SRC_PORTS_PEER_TRANSPORT_H_
#define CHICORYVALE_SRC_PORTS_PEER_TRANSPORT_H_

#include <cstdint>
#include <functional>
#include <string>
#include <string_view>
#include <utility>

#include "base/ids.h"
#include "base/time.h"
#include "chicoryvale/error.h"

namespace chicoryvale {

/// Interface to unreliable datagrams between the system's own processes. The
/// adapter authenticates payloads and bounds their size. Not thread safe.
class DatagramTransport {
 public:
  using Receiver =
      std::function<void(const Address& from, std::string payload)>;
  virtual ~DatagramTransport() = default;

  /// Sends one datagram, which may be lost, duplicated, delayed or reordered.
  void Send(const Address& to, std::string payload) {
    OnSend(to, std::move(payload));
  }

  /// Sets the function that is called for each datagram received.
  void SetReceiver(Receiver receiver) { OnSetReceiver(std::move(receiver)); }

 protected:
  virtual void OnSend(const Address& to, std::string payload) = 0;
  virtual void OnSetReceiver(Receiver receiver) = 0;
};

/// Service that a peer call addresses; encoded at the start of a frame.
enum class PeerChannel : std::uint8_t {
  kReplication,
  kConfig,
  kClaims,
  kRouting,
  kRelay,
  kReplicaList,
  kQuota,
  kAdmission,
};

/// Interface to requests and answers between the system's own processes over a
/// reliable stream. The adapter authenticates payloads and bounds their size.
/// Not thread safe.
class PeerTransport {
 public:
  using Callback = std::function<void(Result<std::string> answer)>;
  using Responder = std::function<void(std::string answer)>;
  using Handler = std::function<void(const Address& from, std::string request,
                                     Responder respond)>;
  virtual ~PeerTransport() = default;

  /// Sends `request` to `to`. Calls `callback` exactly once, never from within
  /// this call: with the answer, with kUpstreamUnavailable if the request did
  /// not run because it was not sent or the peer rejected it, or with
  /// kDeadlineExceeded if it may have run.
  void Call(const Address& to, PeerChannel channel, std::string request,
            Duration timeout, Callback callback) {
    OnCall(to, channel, std::move(request), timeout, std::move(callback));
  }

  /// Sets the handler of calls on `channel`. It responds to each call at most
  /// once, immediately or later.
  void SetHandler(PeerChannel channel, Handler handler) {
    OnSetHandler(channel, std::move(handler));
  }

 protected:
  virtual void OnCall(const Address& to, PeerChannel channel,
                      std::string request, Duration timeout,
                      Callback callback) = 0;
  virtual void OnSetHandler(PeerChannel channel, Handler handler) = 0;
};

}  // namespace chicoryvale

#endif  // CHICORYVALE_SRC_PORTS_PEER_TRANSPORT_H_
