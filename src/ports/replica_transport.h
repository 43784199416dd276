#ifndef CHICORYVALE_SRC_PORTS_REPLICA_TRANSPORT_H_
#define CHICORYVALE_SRC_PORTS_REPLICA_TRANSPORT_H_

#include <cstdint>
#include <functional>
#include <limits>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "base/ids.h"
#include "base/time.h"
#include "ports/http.h"

namespace chicoryvale {

/// Identifies a send to a replica within its transport; 0 is never used.
using SendId = std::uint64_t;

/// A caller's request, to be forwarded with its method, target, headers and
/// body unchanged.
struct OpaqueRequest {
  /// The caller's id of this attempt.
  std::string id;
  std::string method;
  std::string target;
  std::vector<HttpHeader> headers;
  std::shared_ptr<const std::string> body;
  /// Name of the workspace that sent the request, which the replica is told;
  /// absent if the request has no workspace.
  std::optional<std::string> workspace = std::nullopt;
};

/// A send of a request to one replica.
struct ReplicaSend {
  Address to;
  /// Id of the intended replica. A different replica at the address does not
  /// run the request.
  std::string replica_id;
  std::shared_ptr<const OpaqueRequest> request;
  /// Time left until the caller's deadline, at which the replica stops.
  Duration time_left{};
};

/// Load that a replica reports about itself.
struct ReplicaLoad {
  std::uint32_t running = 0;
  std::uint32_t waiting = 0;
  std::uint32_t slots = 0;
  /// How long work takes on the machine at present, relative to what is usual
  /// there; positive. Absent if not reported.
  std::optional<double> slowness = std::nullopt;
};

/// What a replica says of itself in an answer, whatever the answer is.
struct ReplicaNotice {
  /// The replica drains: it is about to leave and wants no more requests.
  bool draining = false;
  /// The replica wants no requests from this process for this long.
  std::optional<Duration> back_off;
  /// The requests a second that the replica takes from all processes together,
  /// or kNoRateLimit. Absent if the answer doesn't tell; what the replica said
  /// before still holds then.
  std::optional<double> max_requests_per_s = std::nullopt;

  static constexpr double kNoRateLimit =
      std::numeric_limits<double>::infinity();
};

/// How a send ended.
enum class SendEnd : std::uint8_t {
  /// A complete answer arrived; its status may still be an error.
  kAnswered,
  /// The request did not run: the replica reported it, or no connection could
  /// be made.
  kNotRun,
  /// A different replica is at the address; the request did not run.
  kWrongReplica,
  /// No complete answer arrived; the request may have run.
  kBroken,
  /// The time limit passed without a complete answer; the request may have run.
  kTimedOut,
};

/// The answer of a replica, complete if `end` is kAnswered.
struct ReplicaAnswer {
  SendEnd end = SendEnd::kBroken;
  int status = 0;
  /// MAC by which a caller recognizes an answer of a replica; empty if the
  /// answer has none.
  std::string signature;
  /// Headers to forward to the caller, including the signature.
  std::vector<HttpHeader> headers;
  std::string body;
  std::optional<ReplicaLoad> load;
  /// Also set if the answer is not complete, but its head is.
  ReplicaNotice notice;
  /// If `end` is kBroken: whether the replica ended the connection, as in a
  /// crash. If not, it sent bytes that are no answer.
  bool ended_by_replica = true;
  /// Whether a caller may get the answer, success or not. False if the replica
  /// cannot have meant it as it is; it may have run the request then.
  bool is_deliverable = true;
  /// Whether the replica closes this connection after the answer, which may
  /// mean that it is about to leave.
  bool closes_connection = false;
  /// Description of the failure for a log line.
  std::string detail;

  [[nodiscard]] bool IsSuccess() const {
    constexpr int kFirst = 200;
    constexpr int kLast = 299;
    return end == SendEnd::kAnswered && is_deliverable && status >= kFirst &&
           status <= kLast && !signature.empty();
  }
};

/// Interface that sends opaque requests to replicas, each at most once. Not
/// thread safe.
class ReplicaTransport {
 public:
  using Callback = std::function<void(ReplicaAnswer answer)>;
  virtual ~ReplicaTransport() = default;

  /// Sends the request of `send`. Calls `callback` once, never from within this
  /// call, unless the send is cancelled.
  SendId Send(const ReplicaSend& send, Callback callback) {
    return OnSend(send, std::move(callback));
  }

  /// Cancels a send and informs the replica that the answer is no longer
  /// needed.
  void Cancel(SendId id) { OnCancel(id); }

 protected:
  virtual SendId OnSend(const ReplicaSend& send, Callback callback) = 0;
  virtual void OnCancel(SendId id) = 0;
};

}  // namespace chicoryvale

#endif  // CHICORYVALE_SRC_PORTS_REPLICA_TRANSPORT_H_
