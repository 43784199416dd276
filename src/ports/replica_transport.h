#ifndef CHICORYVALE_SRC_PORTS_REPLICA_TRANSPORT_H_
#define CHICORYVALE_SRC_PORTS_REPLICA_TRANSPORT_H_

#include <cstdint>
#include <functional>
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

/// A caller's request as it is passed on: method, target, headers and body are
/// the caller's own.
struct OpaqueRequest {
  /// The caller's id of this attempt.
  std::string id;
  std::string method;
  std::string target;
  std::vector<HttpHeader> headers;
  std::shared_ptr<const std::string> body;
};

/// Where and how long a replica works on a request.
struct ReplicaSend {
  Address to;
  /// The replica that is meant; another one at the address does not run it.
  std::string replica_id;
  std::shared_ptr<const OpaqueRequest> request;
  /// Time that the caller still has; the replica stops at its end.
  Duration time_left{};
};

/// What a replica tells of its queue.
struct ReplicaLoad {
  std::uint32_t running = 0;
  std::uint32_t waiting = 0;
  std::uint32_t slots = 0;
};

/// How a send ended.
enum class SendEnd : std::uint8_t {
  /// A complete answer; its status may still be a failure.
  kAnswered,
  /// The replica, or the lack of a connection, says that it did not run.
  kNotRun,
  /// Another replica is at the address; it did not run.
  kWrongReplica,
  /// No complete answer; it may have run.
  kBroken,
  kTimedOut,
};

/// The answer of a replica, complete if `end` is kAnswered.
struct ReplicaAnswer {
  SendEnd end = SendEnd::kBroken;
  int status = 0;
  /// MAC by which a caller tells a replica's answer; empty if there was none.
  std::string signature;
  /// Headers that a caller gets, the signature included.
  std::vector<HttpHeader> headers;
  std::string body;
  std::optional<ReplicaLoad> load;
  /// The replica closes its connections: it may be about to leave.
  bool closes_connections = false;
  /// What failed, for a log line.
  std::string detail;

  [[nodiscard]] bool IsSuccess() const {
    constexpr int kFirst = 200;
    constexpr int kLast = 299;
    return end == SendEnd::kAnswered && status >= kFirst && status <= kLast &&
           !signature.empty();
  }
};

/// Port: sends opaque requests to replicas, each at most once. Not thread safe.
class ReplicaTransport {
 public:
  using Callback = std::function<void(ReplicaAnswer answer)>;
  virtual ~ReplicaTransport() = default;

  /// Sends; calls `callback` once, never from within this call, unless the send
  /// is cancelled.
  SendId Send(const ReplicaSend& send, Callback callback) {
    return OnSend(send, std::move(callback));
  }

  /// Ends a send and tells the replica that nobody waits.
  void Cancel(SendId id) { OnCancel(id); }

 protected:
  virtual SendId OnSend(const ReplicaSend& send, Callback callback) = 0;
  virtual void OnCancel(SendId id) = 0;
};

}  // namespace chicoryvale

#endif  // CHICORYVALE_SRC_PORTS_REPLICA_TRANSPORT_H_
