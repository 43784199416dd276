#ifndef CHICORYVALE_SRC_QUERY_AT_MOST_ONCE_GUARD_H_
#define CHICORYVALE_SRC_QUERY_AT_MOST_ONCE_GUARD_H_

#include <cstddef>
#include <cstdint>
#include <memory>
#include <unordered_map>

#include "base/counters.h"
#include "ports/claim_port.h"
#include "ports/scheduler.h"
#include "query/answer_merger.h"
#include "query/at_most_once_counters.h"
#include "query/query_engine.h"
#include "query/query_types.h"

namespace chicoryvale {

/// Runs each request that is not idempotent at most once, even if it arrives at
/// several entries. Acquires the replicated claim of the request, dispatches
/// the request to the QueryEngine once, and then records the outcome, or
/// releases the claim if the request did not run. Idempotent requests are
/// passed to the engine without a claim. Not thread safe: used only on the
/// event loop.
class AtMostOnceGuard {
 public:
  /// Identifies a request within this guard. 0 is never used.
  using RequestHandle = std::uint64_t;

  /// The arguments must outlive the guard.
  AtMostOnceGuard(Scheduler* scheduler, QueryEngine* engine, ClaimPort* claims);
  ~AtMostOnceGuard();
  AtMostOnceGuard(const AtMostOnceGuard&) = delete;
  AtMostOnceGuard& operator=(const AtMostOnceGuard&) = delete;

  /// Starts a request. Calls `callback` exactly once, never from within this
  /// call, unless the request is cancelled first. `mergers` is used only during
  /// this call.
  RequestHandle Start(QuerySpec spec, AnswerMergerFactory* mergers,
                      QueryCallback callback);

  /// Cancels a request whose caller disconnected. Returns true if the callback
  /// will not be called. Returns false if the request has ended, or if it is
  /// not idempotent and was sent, so that its outcome has to be recorded.
  bool Cancel(RequestHandle handle);

  /// Returns the number of requests whose callback is pending.
  [[nodiscard]] std::size_t InFlight() const { return m_requests.size(); }

  [[nodiscard]] const CounterSet<AtMostOnceCounter>& Counters() const {
    return m_counters;
  }

 private:
  /// kRefused: the callback is scheduled with an error. kClaiming: the claim is
  /// pending. kQuerying: the engine runs the request.
  enum class Phase : std::uint8_t { kRefused, kClaiming, kQuerying };

  struct Request {
    Phase phase = Phase::kClaiming;
    QuerySpec spec;
    std::unique_ptr<AnswerMerger> merger;
    QueryCallback callback;
    ClaimTicket ticket;
    TimePoint deadline{};
    /// Delivers the refusal in kRefused, or the claim timeout in kClaiming.
    TimerId timer = 0;
    QueryId query_id = 0;
  };

  void RequestClaim(RequestHandle handle, Request* request);
  void ScheduleRefusal(RequestHandle handle, Request* request, Error error);
  void OnClaim(RequestHandle handle, const ClaimTicket& ticket,
               Result<ClaimResult> result);
  void OnClaimTimeout(RequestHandle handle);
  void Dispatch(RequestHandle handle, Request* request);
  void OnAnswer(RequestHandle handle, QueryAnswer answer);
  void SettleClaim(const ClaimTicket& ticket, const QueryAnswer& answer);
  void ReleaseClaim(const ClaimTicket& ticket);
  void EndRequest(RequestHandle handle, QueryAnswer answer);

  Scheduler* m_scheduler;
  QueryEngine* m_engine;
  ClaimPort* m_claims;
  CounterSet<AtMostOnceCounter> m_counters;
  std::unordered_map<RequestHandle, Request> m_requests;
  RequestHandle m_last_handle = 0;
  /// Claim callbacks hold weak references to this pointer, so that a callback
  /// which runs after the destructor does not use the guard.
  std::shared_ptr<AtMostOnceGuard*> m_self;
};

}  // namespace chicoryvale

#endif  // CHICORYVALE_SRC_QUERY_AT_MOST_ONCE_GUARD_H_
