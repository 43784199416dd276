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

/// Why an attempt is made.
enum class AttemptPurpose : std::uint8_t { kFirst, kRetry, kHedge };

/// What an attempt needs of a replica.
struct AttemptSpec {
  std::string service;
  ShardId shard = 0;
  SnapshotId snapshot;
  std::string workspace;
  AttemptPurpose purpose = AttemptPurpose::kFirst;
  /// Replicas that the query has used for this shard and avoids now.
  std::vector<Address> avoid;
  /// The attempt is worthless after this time.
  TimePoint deadline{};
  /// Hash of the caller's request (service, method, body), equal for resends
  /// through any entry; 0 if the attempt takes no part in crash quarantine.
  std::uint64_t fingerprint = 0;
};

/// The replica that an attempt goes to.
struct ReplicaChoice {
  Address replica;
  /// The attempt has to open a new connection.
  bool fresh_connection = false;
  /// Without a byte of the answer after this time, the connection may be
  /// silent: another attempt is worth its cost. Zero if nothing is known yet.
  Duration progress_bound{};
};

/// Identifies a request for a replica; 0 is never used.
using GateTicket = std::uint64_t;

/// Port: chooses replicas and bounds the work that each one gets from here.
/// Not thread safe.
class ReplicaGate {
 public:
  using Callback = std::function<void(Result<ReplicaChoice>)>;
  virtual ~ReplicaGate() = default;

  /// Asks for a replica. Calls `callback` exactly once, perhaps from within
  /// this call: with a choice once a place is free, or with kOverloaded,
  /// kUpstreamUnavailable or kQuarantined; refused attempts did not run. After
  /// a choice the caller owes one Finish or Abandon with the same ticket.
  void Request(const AttemptSpec& spec, GateTicket ticket, Callback callback) {
    OnRequest(spec, ticket, std::move(callback));
  }

  /// Returns a ticket that no request has used.
  [[nodiscard]] GateTicket NewTicket() { return ++m_last_ticket; }

  /// Reports how the attempt ended and frees its place. `elapsed` runs from
  /// the send to the end of the attempt.
  void Finish(GateTicket ticket, const SubOutcome& outcome, Duration elapsed) {
    OnFinish(ticket, outcome, elapsed);
  }

  /// Ends a request that waits, or an attempt that was cancelled after
  /// `elapsed`. Does nothing if the ticket has ended.
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
