#ifndef CHICORYVALE_SRC_PORTS_REPLICA_GATE_H_
#define CHICORYVALE_SRC_PORTS_REPLICA_GATE_H_

#include <cstdint>
#include <functional>
#include <string>
#include <utility>
#include <vector>

#include "base/ids.h"
#include "base/time.h"
#include "chicoryvale/error.h"
#include "ports/upstream_transport.h"

namespace chicoryvale {

/// Reason for an attempt.
enum class AttemptPurpose : std::uint8_t { kFirst, kRetry, kHedge };

/// Properties of an attempt, by which a replica is chosen for it.
struct AttemptSpec {
  std::string service;
  ShardId shard = 0;
  SnapshotId snapshot;
  std::string workspace;
  AttemptPurpose purpose = AttemptPurpose::kFirst;
  /// Replicas that the query has already used for this shard and now avoids.
  std::vector<Address> avoid;
  /// The result of the attempt is not used after this time.
  TimePoint deadline{};
  /// Hash of the caller's request (service, method, body), equal for resends
  /// through any entry; 0 if the attempt is exempt from crash quarantine.
  std::uint64_t fingerprint = 0;
};

/// The replica to which an attempt is sent.
struct ReplicaChoice {
  Address replica;
  /// Whether the attempt must open a new connection.
  bool fresh_connection = false;
  /// If no byte of the answer has arrived after this time, the connection may
  /// be unresponsive, which justifies the cost of another attempt. Zero if the
  /// usual time is not known yet.
  Duration progress_bound{};
};

/// Identifies a request for a replica; 0 is never used.
using GateTicket = std::uint64_t;

/// Interface that chooses replicas and limits the attempts in flight to each
/// replica from this process. Not thread safe.
class ReplicaGate {
 public:
  using Callback = std::function<void(Result<ReplicaChoice>)>;
  virtual ~ReplicaGate() = default;

  /// Requests a replica for an attempt. Calls `callback` exactly once, possibly
  /// from within this call: with a choice once a replica has a free slot, or
  /// with kOverloaded, kUpstreamUnavailable or kQuarantined, in which case the
  /// attempt did not run. After a choice the caller must call Finish or Abandon
  /// once with the same ticket.
  void Request(const AttemptSpec& spec, GateTicket ticket, Callback callback) {
    OnRequest(spec, ticket, std::move(callback));
  }

  /// Returns a ticket that has not been used by any request.
  [[nodiscard]] GateTicket NewTicket() { return ++m_last_ticket; }

  /// Records how the attempt ended and releases its slot. `elapsed` is the time
  /// from the send to the end of the attempt.
  void Finish(GateTicket ticket, const SubOutcome& outcome, Duration elapsed) {
    OnFinish(ticket, outcome, elapsed);
  }

  /// Ends a pending request, or an attempt that was cancelled `elapsed` after
  /// its send. Does nothing if the ticket was already finished or abandoned.
  void Abandon(GateTicket ticket, Duration elapsed) {
    OnAbandon(ticket, elapsed);
  }

 protected:
  virtual void OnRequest(const AttemptSpec& spec, GateTicket ticket,
                         Callback callback) = 0;
  virtual void OnFinish(GateTicket ticket, const SubOutcome& outcome,
                        Duration elapsed) = 0;
  virtual void OnAbandon(GateTicket ticket, Duration elapsed) = 0;

 private:
  GateTicket m_last_ticket = 0;
};

}  // namespace chicoryvale

#endif  // CHICORYVALE_SRC_PORTS_REPLICA_GATE_H_
