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

/// Stands before a QueryEngine and lets each request that may run at most once
/// run at most once, through whatever entries it arrives: takes its claim,
/// dispatches it once, and records the outcome, or gives the claim back if it
/// did not run. Idempotent requests pass straight on. Not thread safe: used
/// only on the event loop.
class AtMostOnceGuard {
 public:
  /// Identifies a request within this guard; 0 is never used.
  using RequestHandle = std::uint64_t;

  /// The arguments outlive the guard.
  AtMostOnceGuard(Scheduler* scheduler, QueryEngine* engine, ClaimPort* claims);
  ~AtMostOnceGuard();
  AtMostOnceGuard(const AtMostOnceGuard&) = delete;
  AtMostOnceGuard& operator=(const AtMostOnceGuard&) = delete;

  /// Starts a request. Calls `callback` exactly once, never from within this
  /// call, unless Cancel comes first. `mergers` is used within this call only.
  RequestHandle Start(QuerySpec spec, AnswerMergerFactory* mergers,
                      QueryCallback callback);

  /// Abandons a request whose caller went away. Returns whether its callback
  /// will not be called: false if it has ended, or if it was sent and may run
  /// only once, so that its outcome still has to be recorded.
  bool Cancel(RequestHandle handle);

  /// Returns the number of requests whose callback is still owed.
  [[nodiscard]] std::size_t InFlight() const { return m_requests.size(); }

  [[nodiscard]] const CounterSet<AtMostOnceCounter>& Counters() const {
    return m_counters;
  }

 private:
  enum class Phase : std::uint8_t { kRefused, kClaiming, kQuerying };

  struct Request {
    Phase phase = Phase::kClaiming;
    QuerySpec spec;
    std::unique_ptr<AnswerMerger> merger;
    QueryCallback callback;
    ClaimTicket ticket;
    TimePoint deadline{};
    TimerId timer = 0;
    QueryId query = 0;
  };

  void BeginClaim(RequestHandle handle, Request* request);
  void Refuse(RequestHandle handle, Request* request, Error error);
  void OnClaim(RequestHandle handle, const ClaimTicket& ticket,
               Result<ClaimResult> result);
  void OnClaimTimeout(RequestHandle handle);
  void Dispatch(RequestHandle handle, Request* request);
  void OnAnswer(RequestHandle handle, QueryAnswer answer);
  void Settle(const ClaimTicket& ticket, const QueryAnswer& answer);
  void GiveBack(const ClaimTicket& ticket);
  void End(RequestHandle handle, QueryAnswer answer);

  Scheduler* m_scheduler;
  QueryEngine* m_engine;
  ClaimPort* m_claims;
  CounterSet<AtMostOnceCounter> m_counters;
  std::unordered_map<RequestHandle, Request> m_requests;
  RequestHandle m_last_handle = 0;
  /// Expires with the guard, for claims that are answered after it.
  std::shared_ptr<AtMostOnceGuard*> m_self;
};

}  // namespace chicoryvale

#endif  // CHICORYVALE_SRC_QUERY_AT_MOST_ONCE_GUARD_H_
