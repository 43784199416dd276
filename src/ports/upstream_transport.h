#ifndef CHICORYVALE_SRC_PORTS_UPSTREAM_TRANSPORT_H_
#define CHICORYVALE_SRC_PORTS_UPSTREAM_TRANSPORT_H_

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <utility>

#include "base/ids.h"
#include "base/shared_string.h"
#include "base/time.h"

namespace chicoryvale {

/// One attempt at one shard of a query, addressed to one replica.
struct SubRequest {
  SubRequestId id = 0;
  Address replica;
  /// Full name of the service, for example "macchie.EyepieceDesk".
  std::string service;
  std::string method;
  ShardId shard = 0;
  SnapshotId snapshot;
  /// Serialized Protobuf request message, shared by a query's attempts.
  SharedString body;
  /// Time that the upstream may spend; told to it, and enforced here.
  Duration timeout{};
  bool idempotent = true;
  /// Opens a new connection instead of reusing a kept one.
  bool fresh_connection = false;
  /// Caller's request id, forwarded on non-idempotent requests; else empty.
  std::string request_id;
};

/// How an attempt ended.
enum class SubOutcomeKind : std::uint8_t {
  /// An answer with a body arrived.
  kAnswered,
  /// The upstream said that it did not start the request (shed or draining).
  kNotStarted,
  /// The upstream cannot serve the named snapshot; it did not run.
  kSnapshotUnavailable,
  /// The upstream answered with an error after it may have run the request.
  kFailed,
  /// No connection could be made: no byte could reach the upstream.
  kNotConnected,
  /// The connection ended after bytes of the request may have been sent.
  kConnectionLost,
  /// The timeout passed without a full answer.
  kTimedOut,
  /// The answer's framing, size or headers were invalid.
  kMalformed,
};

/// What the upstream reported about itself beside an answer.
struct UpstreamReport {
  bool draining = false;
  /// Requests in its slots and queue, as it claims; absent if not told.
  std::optional<std::uint32_t> load;
  /// Range of index versions that it claims to serve; absent if not told.
  std::optional<std::uint64_t> oldest_version;
  std::optional<std::uint64_t> newest_version;
};

/// The end of an attempt. Echoed fields are as the upstream sent them, not yet
/// compared with the request.
struct SubOutcome {
  SubOutcomeKind kind = SubOutcomeKind::kFailed;
  SubRequestId echoed_id = 0;
  ShardId echoed_shard = 0;
  SnapshotId echoed_snapshot;
  std::string body;
  UpstreamReport report;
  /// Time until the first byte of the answer; zero if none came.
  Duration first_byte{};
};

/// Port: sends sub-requests to replicas. One retry layer: an implementation
/// never sends a request again by itself. Not thread safe.
class UpstreamTransport {
 public:
  using Callback = std::function<void(SubOutcome)>;
  virtual ~UpstreamTransport() = default;

  /// Sends `request`; calls `callback` exactly once, never from within this
  /// call, unless Cancel(request.id) comes first. `request.id` must be unused.
  void Send(SubRequest request, Callback callback) {
    OnSend(std::move(request), std::move(callback));
  }

  /// Abandons an attempt: its callback is not called, and its connection is
  /// closed, never reused. Does nothing if the attempt has ended.
  void Cancel(SubRequestId id) { OnCancel(id); }

 protected:
  virtual void OnSend(SubRequest request, Callback callback) = 0;
  virtual void OnCancel(SubRequestId id) = 0;
};

}  // namespace chicoryvale

#endif  // CHICORYVALE_SRC_PORTS_UPSTREAM_TRANSPORT_H_
