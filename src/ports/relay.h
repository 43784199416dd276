#ifndef CHICORYVALE_SRC_PORTS_RELAY_H_
#define CHICORYVALE_SRC_PORTS_RELAY_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "base/time.h"
#include "chicoryvale/error.h"
#include "ports/replica_transport.h"

namespace chicoryvale {

/// Identifies an open request to a relay; 0 is never used.
using RelayId = std::uint64_t;

/// A group of sub-requests of a scattered request, to be answered by another
/// entry.
struct RelayRequest {
  std::shared_ptr<const OpaqueRequest> request;
  /// One sub-request for each service.
  std::vector<std::string> services;
  /// Maximum number of records in the body of the answer.
  std::uint32_t rank_limit = 0;
  /// Maximum number of replicas that may run each sub-request.
  std::uint32_t max_attempts = 1;
  /// Target latency of the whole scattered request.
  Duration target_latency{};
  /// Time after which the relay replies with the answers that it has received.
  Duration answer_within{};
  /// Time limit of the whole query at the relay, and so of its replicas.
  Duration time_left{};
  /// Requests with the same value are sent to the same few entries of a zone,
  /// so that these entries keep their connections to the replicas and have
  /// recent reports of the replicas' load.
  std::uint64_t affinity = 0;
};

/// A sub-request that the relay has an answer to.
struct RelayedSubRequest {
  /// Position in RelayRequest::services.
  std::uint32_t index = 0;
  std::string signature;
};

/// A sub-request that the relay has no answer to.
struct MissingSubRequest {
  /// Position in RelayRequest::services.
  std::uint32_t index = 0;
  /// Number of attempts that may have run or may still run. Attempts that
  /// certainly did not run are not counted.
  std::uint32_t attempts_possibly_run = 0;
};

/// The answers that a relay has received when it replies, which is after
/// RelayRequest::answer_within at the latest.
struct RelayAnswer {
  std::vector<RelayedSubRequest> answered;
  /// The greatest records of the answered sub-requests.
  std::string body;
  std::vector<MissingSubRequest> missing;
  /// Ids of replicas that said in their answers that they drain.
  std::vector<std::string> draining_replicas;
  /// A replica to which the connection was lost while it ran a sub-request, if
  /// there is one.
  std::optional<Address> lost_replica;
};

/// Interface that sends sub-requests through other entries. A relay may use all
/// attempts of a sub-request; the entry that sent the request to the relay uses
/// only the attempts that remain. Not thread safe.
class Relay {
 public:
  using Callback = std::function<void(Result<RelayAnswer>)>;
  virtual ~Relay() = default;

  /// Which zones are returned by Zones().
  enum class ZoneChoice : std::uint8_t {
    /// Zones whose relays have lately answered most sub-requests.
    kMostlyComplete,
    kAny,
  };

  /// Returns the other zones that have an entry to relay to, in an order that
  /// changes from call to call.
  [[nodiscard]] std::vector<std::string> Zones(ZoneChoice choice) {
    return OnZones(choice);
  }

  /// Returns whether the zone of this entry has another entry to relay to.
  [[nodiscard]] bool HasNeighbor() const { return OnHasNeighbor(); }

  /// Sends `relay_request` to an entry of `zone`. Calls `callback` once, never
  /// from within this call, unless the request is cancelled: with the answer of
  /// the relay, with kUpstreamUnavailable if nothing ran, or with
  /// kDeadlineExceeded if each sub-request may have run.
  RelayId Send(const std::string& zone, const RelayRequest& relay_request,
               Callback callback) {
    return OnSend(zone, relay_request, std::move(callback));
  }

  /// Cancels a request whose caller has disconnected, and the work of the relay
  /// for it. Does nothing if the request has ended.
  void Cancel(RelayId id) { OnCancel(id); }

 protected:
  [[nodiscard]] virtual std::vector<std::string> OnZones(ZoneChoice choice) = 0;
  [[nodiscard]] virtual bool OnHasNeighbor() const = 0;
  virtual RelayId OnSend(const std::string& zone,
                         const RelayRequest& relay_request,
                         Callback callback) = 0;
  virtual void OnCancel(RelayId id) = 0;
};

}  // namespace chicoryvale

#endif  // CHICORYVALE_SRC_PORTS_RELAY_H_
