#ifndef CHICORYVALE_SRC_CONTROL_ROUTING_SERVICE_H_
#define CHICORYVALE_SRC_CONTROL_ROUTING_SERVICE_H_

#include <cstdint>
#include <deque>
#include <functional>
#include <limits>
#include <memory>
#include <optional>
#include <string>
#include <utility>

#include "base/codec.h"
#include "base/time.h"
#include "config/change.h"
#include "config/cluster_config_codec.h"
#include "ports/control_group.h"
#include "ports/event_log.h"
#include "ports/peer_transport.h"
#include "ports/scheduler.h"

namespace chicoryvale {

/// Accepts and reads the routing document, and accepts evacuations, at any
/// control VM. A control VM that is not the leader forwards the request to the
/// leader, and retries while a short election is held. Not thread safe.
class RoutingService {
 public:
  using AcceptCallback = std::function<void(Result<void>)>;
  using ReadCallback = std::function<void(Result<RoutingDocument>)>;
  /// Returns whether the caller of an order still waits for its result.
  using CallerCheck = std::function<bool()>;

  /// Collaborators of a RoutingService. All pointees outlive it.
  struct Dependencies {
    Scheduler* scheduler = nullptr;
    ControlGroup* group = nullptr;
    PeerTransport* transport = nullptr;
    EventLog* log = nullptr;
  };

  /// `self` is the peer address of this control VM. `run_id` is a random number
  /// that identifies this run of the process.
  RoutingService(const Dependencies& dependencies, Address self,
                 std::uint64_t run_id);

  /// Accepts `document`. A version that is not higher than the one in force is
  /// accepted without effect. Calls `callback` once: with success after a
  /// quorum has synced the document, with kNoQuorum (the document may still
  /// come into force) or with kInvalidChange. Precondition: the document is
  /// valid.
  void Accept(const RoutingDocument& document, AcceptCallback callback);

  /// Evacuates an availability zone, or ends its evacuation. Each call is a
  /// change of its own; one that changes nothing is accepted without effect.
  /// Orders have no version that says which one is newer. An order is
  /// therefore carried out only if its caller still waits after a quorum has
  /// confirmed the version of the configuration, and only on that version: one
  /// that was held up on the way cannot undo what was ordered meanwhile. Calls
  /// `callback` like Accept.
  void SetEvacuation(const std::string& availability_zone, bool evacuated,
                     CallerCheck caller_waits, AcceptCallback callback);

  /// Calls `callback` once with the newest accepted document, confirmed by a
  /// quorum after this call, or with kNoQuorum if it cannot be confirmed. The
  /// version is 0 if no document was accepted yet.
  void Read(ReadCallback callback);

 private:
  /// An evacuation that an operator ordered.
  struct EvacuationOrder {
    /// Unique for each order. Retries keep it.
    std::string operation_id;
    std::string availability_zone;
    bool evacuated = true;

    template <class Archive>
    void serialize(Archive& archive) {  // NOLINT(readability-identifier-naming)
      archive(operation_id, availability_zone, evacuated);
    }
  };

  /// A request to the leader: accepts `document` or `evacuation`, or reads the
  /// current document.
  struct Request {
    bool is_accept = false;
    RoutingDocument document;
    /// Encoded only if present, as earlier builds don't know it.
    std::optional<EvacuationOrder> evacuation = std::nullopt;
    /// The version of the configuration on which `evacuation` is carried out;
    /// absent in the orders of earlier builds, which have no condition.
    std::optional<std::uint64_t> expected_version = std::nullopt;

    // NOLINTBEGIN(readability-identifier-naming)
    template <class Archive>
    void save(Archive& archive) const {
      archive(is_accept, document);
      if (evacuation) archive(*evacuation);
      if (evacuation && expected_version) archive(*expected_version);
    }
    template <class Archive>
    void load(Archive& archive) {
      archive(is_accept, document);
      if (archive.Remaining() == 0) return;
      EvacuationOrder order;
      archive(order);
      evacuation = std::move(order);
      if (archive.Remaining() == 0) return;
      archive(expected_version.emplace());
    }
    // NOLINTEND(readability-identifier-naming)
  };

  /// The leader's reply. `error` is an ErrorKind, valid unless `succeeded`.
  struct Reply {
    bool succeeded = false;
    std::uint8_t error = 0;
    std::string message;
    RoutingDocument document;
    /// The version in force, with kVersionConflict. Encoded only if present, as
    /// earlier builds don't know it.
    std::optional<std::uint64_t> current_version = std::nullopt;

    // NOLINTBEGIN(readability-identifier-naming)
    template <class Archive>
    void save(Archive& archive) const {
      archive(succeeded, error, message, document);
      if (current_version) archive(*current_version);
    }
    template <class Archive>
    void load(Archive& archive) {
      archive(succeeded, error, message, document);
      if (archive.Remaining() > 0) archive(current_version.emplace());
    }
    // NOLINTEND(readability-identifier-naming)
  };
  using ReplyCallback = std::function<void(Reply)>;

  /// No configuration has this version, so an order that expects it asks for
  /// the current one.
  static constexpr std::uint64_t kUnknownVersion =
      std::numeric_limits<std::uint64_t>::max();

  /// An order whose caller has had no answer.
  struct OpenOrder {
    Request request;
    TimePoint received_at{};
    TimePoint deadline{};
    CallerCheck caller_waits;
    AcceptCallback callback;
  };

  /// An order that this leader carries out after those before it.
  struct QueuedOrder {
    Request request;
    ReplyCallback callback;
  };

  static Change ToChange(const Request& request);
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
  /// Runs `order` at the leader until it is carried out or has failed.
  void RunOrder(const std::shared_ptr<OpenOrder>& order);
  void OnOrderReply(const std::shared_ptr<OpenOrder>& order,
                    const Reply& reply);
  /// Runs `order` again on the version that the leader has named, unless its
  /// caller has gone.
  void RunConfirmedOrder(const std::shared_ptr<OpenOrder>& order);
  void FinishOrder(const OpenOrder& order, const Reply& reply);
  /// Carries out the first queued order if the configuration has the version
  /// that it expects. The next one begins after it has ended, so that no two
  /// compare the same version.
  void RunQueuedOrder();
  void FinishQueuedOrder(Reply reply);
  void ProposeChange(const Request& request, ReplyCallback callback);
  void OnPeerRequest(const std::string& bytes,
                     const PeerTransport::Responder& respond);

  Dependencies m_dependencies;
  Address m_self;
  std::uint64_t m_run_id;
  std::uint64_t m_last_order = 0;
  std::deque<QueuedOrder> m_queued_orders;
};

}  // namespace chicoryvale

#endif  // CHICORYVALE_SRC_CONTROL_ROUTING_SERVICE_H_
