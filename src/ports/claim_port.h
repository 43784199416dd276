#ifndef CHICORYVALE_SRC_PORTS_CLAIM_PORT_H_
#define CHICORYVALE_SRC_PORTS_CLAIM_PORT_H_

#include <cstdint>
#include <functional>
#include <string>
#include <utility>

#include "base/time.h"
#include "chicoryvale/error.h"
#include "claims/claim_command.h"
#include "claims/request_id.h"

namespace chicoryvale {

/// Names one arrival of a request that may run at most once.
struct ClaimTicket {
  RequestId request_id;
  /// Hash of the request's workspace, method and body.
  std::uint64_t fingerprint = 0;
  /// Differs for each arrival of a request at this run of the process.
  std::uint64_t arrival_id = 0;
};

/// Port: the replicated claims of requests that may run at most once. Not
/// thread safe.
class ClaimPort {
 public:
  using Callback = std::function<void(Result<ClaimResult>)>;
  virtual ~ClaimPort() = default;

  /// Takes the right to dispatch. Calls `callback` exactly once, never from
  /// within this call: with the answer that a quorum committed, or with an
  /// error such as kNoQuorum, after which the claim may stand nevertheless.
  void Claim(const ClaimTicket& ticket, Duration timeout, Callback callback) {
    OnClaim(ticket, timeout, std::move(callback));
  }

  /// Gives the right back: the request of `ticket` did not run and will not
  /// run through it. Tried again until it is committed or out of retention;
  /// does nothing if the claim does not stand.
  void Release(const ClaimTicket& ticket) { OnRelease(ticket); }

  /// Records what resends are answered with. Tried again as Release is.
  void RecordOutcome(const ClaimTicket& ticket, std::string outcome) {
    OnRecordOutcome(ticket, std::move(outcome));
  }

 protected:
  virtual void OnClaim(const ClaimTicket& ticket, Duration timeout,
                       Callback callback) = 0;
  virtual void OnRelease(const ClaimTicket& ticket) = 0;
  virtual void OnRecordOutcome(const ClaimTicket& ticket,
                               std::string outcome) = 0;
};

}  // namespace chicoryvale

#endif  // CHICORYVALE_SRC_PORTS_CLAIM_PORT_H_
