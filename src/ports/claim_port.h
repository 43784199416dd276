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

/// Identifies one arrival of a request that may run at most once.
struct ClaimTicket {
  RequestId request_id;
  /// Hash of the request's workspace, method and body.
  std::uint64_t fingerprint = 0;
  /// Unique among the requests that arrive during one run of the process.
  std::uint64_t arrival_id = 0;
};

/// Interface to the replicated claims of requests that may run at most once.
/// Not thread safe.
class ClaimPort {
 public:
  using Callback = std::function<void(Result<ClaimResult>)>;
  virtual ~ClaimPort() = default;

  /// Claims the right to dispatch the request of `ticket`. Calls `callback`
  /// exactly once, never from within this call: with the result that a quorum
  /// committed, or with an error such as kNoQuorum. After an error the claim
  /// may still have been committed.
  void Claim(const ClaimTicket& ticket, Duration timeout, Callback callback) {
    OnClaim(ticket, timeout, std::move(callback));
  }

  /// Releases the claim of `ticket`. Precondition: the request was not run and
  /// will not be run under this claim. Retried until the release is committed,
  /// but only for a limited time. It may be dropped if too many commands are
  /// pending. Does nothing if `ticket` does not own the claim. If the
  /// claim has not arrived yet, it is refused when it does.
  void Release(const ClaimTicket& ticket) { OnRelease(ticket); }

  /// Records the outcome with which resends of the request are answered.
  /// Retried, and possibly dropped, like Release.
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
