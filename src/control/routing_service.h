#ifndef CHICORYVALE_SRC_CONTROL_ROUTING_SERVICE_H_
#define CHICORYVALE_SRC_CONTROL_ROUTING_SERVICE_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include "base/codec.h"
#include "base/time.h"
#include "config/cluster_config_codec.h"
#include "ports/control_group.h"
#include "ports/event_log.h"
#include "ports/peer_transport.h"
#include "ports/scheduler.h"

namespace chicoryvale {

/// Accepts and reads the configuration of routes at any control VM: one that
/// does not lead asks the leader, and waits out a short election. Not thread
/// safe.
class RoutingService {
 public:
  using AcceptCallback = std::function<void(Result<void>)>;
  using ReadCallback = std::function<void(Result<RoutingDocument>)>;

  /// What the service works with; all outlive it.
  struct Ports {
    Scheduler* scheduler = nullptr;
    ControlGroup* group = nullptr;
    PeerTransport* peers = nullptr;
    EventLog* log = nullptr;
  };

  RoutingService(const Ports& ports, Address self);

  /// Accepts `document`; a version that is not higher than the one in force is
  /// accepted without effect. Calls `callback` once: after a quorum has synced
  /// it, or with kNoQuorum (it may still come into force) or kInvalidChange.
  /// Precondition: the document can take force.
  void Accept(const RoutingDocument& document, AcceptCallback callback);

  /// Reads the newest accepted document, confirmed by a quorum after this
  /// call; version 0 if there is none. kNoQuorum if it cannot be confirmed.
  void Read(ReadCallback callback);

 private:
  /// A question to the leader.
  struct Request {
    bool accept = false;
    RoutingDocument document;

    template <class Archive>
    void serialize(Archive& archive) {  // NOLINT(readability-identifier-naming)
      archive(accept, document);
    }
  };

  /// The leader's answer.
  struct Reply {
    bool done = false;
    std::uint8_t error = 0;
    std::string message;
    RoutingDocument document;

    template <class Archive>
    void serialize(Archive& archive) {  // NOLINT(readability-identifier-naming)
      archive(done, error, message, document);
    }
  };
  using ReplyCallback = std::function<void(Reply)>;

  static Reply ErrorReply(const Error& error);
  static Error ErrorOf(const Reply& reply);
  void Ask(const Request& request, TimePoint give_up, ReplyCallback callback);
  void AskHere(const Request& request, ReplyCallback callback);
  void AskLeader(const Request& request, TimePoint give_up,
                 ReplyCallback callback);
  void Settle(const Request& request, TimePoint give_up, Reply reply,
              ReplyCallback callback);
  void OnPeerRequest(const std::string& bytes,
                     const PeerTransport::Responder& respond);

  Ports m_ports;
  Address m_self;
};

}  // namespace chicoryvale

#endif  // CHICORYVALE_SRC_CONTROL_ROUTING_SERVICE_H_
