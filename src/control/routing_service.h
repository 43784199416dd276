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

/// Accepts and reads the routing document at any control VM. A control VM that
/// is not the leader forwards the request to the leader, and retries while a
/// short election is held. Not thread safe.
class RoutingService {
 public:
  using AcceptCallback = std::function<void(Result<void>)>;
  using ReadCallback = std::function<void(Result<RoutingDocument>)>;

  /// Collaborators of a RoutingService. All pointees outlive it.
  struct Dependencies {
    Scheduler* scheduler = nullptr;
    ControlGroup* group = nullptr;
    PeerTransport* transport = nullptr;
    EventLog* log = nullptr;
  };

  /// `self` is the peer address of this control VM.
  RoutingService(const Dependencies& dependencies, Address self);

  /// Accepts `document`. A version that is not higher than the one in force is
  /// accepted without effect. Calls `callback` once: with success after a
  /// quorum has synced the document, with kNoQuorum (the document may still
  /// come into force) or with kInvalidChange. Precondition: the document is
  /// valid.
  void Accept(const RoutingDocument& document, AcceptCallback callback);

  /// Calls `callback` once with the newest accepted document, confirmed by a
  /// quorum after this call, or with kNoQuorum if it cannot be confirmed. The
  /// version is 0 if no document was accepted yet.
  void Read(ReadCallback callback);

 private:
  /// A request to the leader: accepts `document` or reads the current one.
  struct Request {
    bool is_accept = false;
    RoutingDocument document;

    template <class Archive>
    void serialize(Archive& archive) {  // NOLINT(readability-identifier-naming)
      archive(is_accept, document);
    }
  };

  /// The leader's reply. `error` is an ErrorKind, valid unless `succeeded`.
  struct Reply {
    bool succeeded = false;
    std::uint8_t error = 0;
    std::string message;
    RoutingDocument document;

    template <class Archive>
    void serialize(Archive& archive) {  // NOLINT(readability-identifier-naming)
      archive(succeeded, error, message, document);
    }
  };
  using ReplyCallback = std::function<void(Reply)>;

  static Reply ErrorReply(const Error& error);
  static Error ToError(const Reply& reply);
  /// Runs `request` at the leader, which may be this VM, with retries until
  /// `deadline`.
  void Execute(const Request& request, TimePoint deadline,
               ReplyCallback callback);
  void ExecuteLocally(const Request& request, ReplyCallback callback);
  void ForwardToLeader(const Request& request, TimePoint deadline,
                       ReplyCallback callback);
  /// Calls `callback` if `reply` is final or no time is left, else retries.
  void CompleteOrRetry(const Request& request, TimePoint deadline, Reply reply,
                       ReplyCallback callback);
  void OnPeerRequest(const std::string& bytes,
                     const PeerTransport::Responder& respond);

  Dependencies m_dependencies;
  Address m_self;
};

}  // namespace chicoryvale

#endif  // CHICORYVALE_SRC_CONTROL_ROUTING_SERVICE_H_
