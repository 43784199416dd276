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

/// Identifies an open question to a relay; 0 is never used.
using RelayId = std::uint64_t;

/// Parts of a scattered request that an entry of another zone is asked for.
struct RelayRequest {
  std::shared_ptr<const OpaqueRequest> request;
  std::vector<std::string> services;
  std::uint32_t rank_limit = 0;
  /// Replicas that may run each part.
  std::uint32_t max_attempts = 1;
  /// Of the whole request.
  Duration target_latency{};
  /// Time within which the relay answers with the parts that are in.
  Duration answer_within{};
  /// Time that the replicas get.
  Duration time_left{};
  /// Questions with the same value go to the same few entries of a zone, so
  /// that these keep their connections to the replicas and see their queues.
  std::uint64_t affinity = 0;
};

/// A part that is in.
struct RelayedSubRequest {
  /// Place among the services that were asked for.
  std::uint32_t index = 0;
  std::string signature;
};

/// A part that is not in.
struct MissingSubRequest {
  /// Place among the services that were asked for.
  std::uint32_t index = 0;
  /// Replicas that may run it, or have.
  std::uint32_t attempts_possibly_run = 0;
};

/// What a relay has.
struct RelayAnswer {
  std::vector<RelayedSubRequest> answered;
  /// The greatest records of these parts.
  std::string body;
  std::vector<MissingSubRequest> missing;
};

/// Port: asks other entries. A relay may use every attempt that a part
/// has; the entry that asks uses what is left of them. Not thread safe.
class Relay {
 public:
  using Callback = std::function<void(Result<RelayAnswer>)>;
  virtual ~Relay() = default;

  /// Which zones Zones returns.
  enum class ZoneChoice : std::uint8_t {
    /// Those whose relays have mostly brought all parts of late.
    kMostlyComplete,
    kAny,
  };

  /// Returns the other zones that have an entry to ask, the order changing from
  /// call to call.
  [[nodiscard]] std::vector<std::string> Zones(ZoneChoice choice) {
    return OnZones(choice);
  }

  /// Returns whether the own zone has another entry to ask.
  [[nodiscard]] bool HasNeighbor() const { return OnHasNeighbor(); }

  /// Asks an entry of `zone`; calls `callback` once, never from within this
  /// call, unless it is cancelled: with its answer, or with
  /// kUpstreamUnavailable (nothing ran) or kDeadlineExceeded (each part may
  /// have run).
  RelayId Send(const std::string& zone, const RelayRequest& relay_request,
               Callback callback) {
    return OnSend(zone, relay_request, std::move(callback));
  }

  /// Ends a question whose caller has gone, and the work for it. Does nothing
  /// if it has ended.
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
