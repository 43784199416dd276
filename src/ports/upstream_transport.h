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

/// One attempt of a query's sub-request to one shard, addressed to one replica.
struct SubRequest {
  SubRequestId id = 0;
  Address replica;
  /// Full name of the service, for example "macchie.EyepieceDesk".
  std::string service;
  std::string method;
  ShardId shard = 0;
  SnapshotId snapshot;
  /// Serialized Protobuf request message, shared by all attempts of a query.
  SharedString body;
  /// Time limit of the attempt. It is sent to the upstream and enforced here.
  Duration timeout{};
  bool idempotent = true;
  /// Whether to open a new connection instead of reusing an idle one.
  bool fresh_connection = false;
  /// The caller's request id, forwarded with non-idempotent requests; otherwise
  /// empty.
  std::string request_id;
};

/// How an attempt ended.
enum class SubOutcomeKind : std::uint8_t {
  /// An answer with a body arrived.
  kAnswered,
  /// The upstream reported that it did not start the request, because it sheds
  /// load or is draining.
  kNotStarted,
  /// The upstream cannot serve the requested snapshot; the request did not run.
  kSnapshotUnavailable,
  /// The upstream answered with an error after it may have run the request.
  kFailed,
  /// No connection could be made, so no byte reached the upstream.
  kNotConnected,
  /// The connection ended after bytes of the request may have been sent.
  kConnectionLost,
  /// The timeout passed without a complete answer.
  kTimedOut,
  /// The answer's framing, size or headers were invalid.
  kMalformed,
};

/// State that an upstream reports about itself together with an answer.
struct UpstreamReport {
  bool draining = false;
  /// Number of running and queued requests; absent if not reported.
  std::optional<std::uint32_t> load;
  /// Range of index versions that the upstream claims to serve; absent if not
  /// reported.
  std::optional<std::uint64_t> oldest_version;
  std::optional<std::uint64_t> newest_version;
};

/// The result of an attempt. The echoed fields contain what the upstream sent
/// and have not been compared with the request.
struct SubOutcome {
  SubOutcomeKind kind = SubOutcomeKind::kFailed;
  SubRequestId echoed_id = 0;
  ShardId echoed_shard = 0;
  SnapshotId echoed_snapshot;
  std::string body;
  UpstreamReport report;
  /// Time from the send until the headers of the answer are received; zero if
  /// they were not received.
  Duration first_byte{};
};

/// Interface that sends sub-requests to replicas. Only the caller retries: an
/// implementation never resends a request by itself. Not thread safe.
class UpstreamTransport {
 public:
  using Callback = std::function<void(SubOutcome)>;
  virtual ~UpstreamTransport() = default;

  /// Sends `request`; calls `callback` exactly once, never from within this
  /// call, unless Cancel(request.id) is called first. `request.id` must be
  /// unused.
  void Send(SubRequest request, Callback callback) {
    OnSend(std::move(request), std::move(callback));
  }

  /// Cancels an attempt: its callback is not called, and its connection is
  /// closed and never reused. Does nothing if the attempt has ended.
  void Cancel(SubRequestId id) { OnCancel(id); }

 protected:
  virtual void OnSend(SubRequest request, Callback callback) = 0;
  virtual void OnCancel(SubRequestId id) = 0;
};

}  // namespace chicoryvale

#endif  // CHICORYVALE_SRC_PORTS_UPSTREAM_TRANSPORT_H_
