#include "query/at_most_once_guard.h"

#include <cassert>
#include <utility>

#include "query/recorded_answer_codec.h"

namespace chicoryvale {
namespace {

// Share of the request timeout that the claim may use.
constexpr int kMaxClaimTimeoutPercent = 80;

// Makes the error of a request that was not dispatched. Its `ran` is kNo, even
// if errors of this `kind` have kMaybe elsewhere.
Error MakeNotRunError(ErrorKind kind, std::string message) {
  return Error{kind, std::move(message), Ran::kNo};
}

}  // namespace

AtMostOnceGuard::AtMostOnceGuard(Scheduler* scheduler, QueryEngine* engine,
                                 ClaimPort* claims)
    : m_scheduler(scheduler),
      m_engine(engine),
      m_claims(claims),
      m_self(std::make_shared<AtMostOnceGuard*>(this)) {
  assert(scheduler != nullptr && engine != nullptr && claims != nullptr);
}

AtMostOnceGuard::~AtMostOnceGuard() {
  for (auto& [handle, request] : m_requests) {
    m_scheduler->Cancel(request.timer);
    if (request.phase == Phase::kQuerying) m_engine->Cancel(request.query_id);
  }
}

AtMostOnceGuard::RequestHandle AtMostOnceGuard::Start(
    QuerySpec spec, AnswerMergerFactory* mergers, QueryCallback callback) {
  assert(mergers != nullptr && callback != nullptr);
  const RequestHandle handle = ++m_last_handle;
  Request& request = m_requests[handle];
  request.spec = std::move(spec);
  request.merger = mergers->Make();
  request.callback = std::move(callback);
  request.deadline = m_scheduler->Now() + request.spec.timeout;
  if (request.spec.idempotent) {
    Dispatch(handle, &request);
  } else {
    RequestClaim(handle, &request);
  }
  return handle;
}

bool AtMostOnceGuard::Cancel(RequestHandle handle) {
  const auto found = m_requests.find(handle);
  if (found == m_requests.end()) return false;
  Request& request = found->second;
  if (request.phase == Phase::kQuerying) {
    if (!m_engine->Cancel(request.query_id)) return false;
    if (!request.spec.idempotent) ReleaseClaim(request.ticket);
  }
  m_scheduler->Cancel(request.timer);
  m_counters.Add(AtMostOnceCounter::kCancelled);
  m_requests.erase(found);
  return true;
}

void AtMostOnceGuard::RequestClaim(RequestHandle handle, Request* request) {
  const auto id = ParseRequestId(request->spec.request_id);
  if (!id) {
    const bool missing = request->spec.request_id.empty();
    m_counters.Add(missing ? AtMostOnceCounter::kRefusedIdMissing
                           : AtMostOnceCounter::kRefusedIdMalformed);
    ScheduleRefusal(
        handle, request,
        MakeNotRunError(missing ? ErrorKind::kRequestIdMissing
                                : ErrorKind::kMalformedRequest,
                        "the request id is not 32 hexadecimal digits"));
    return;
  }
  if (request->spec.timeout <= Duration::zero()) {
    ScheduleRefusal(handle, request,
                    MakeNotRunError(ErrorKind::kInvalidDeadline,
                                    "the deadline has passed"));
    return;
  }
  request->ticket = {*id, request->spec.fingerprint, handle};
  request->timer = m_scheduler->Schedule(
      request->spec.timeout, [this, handle] { OnClaimTimeout(handle); });
  // A part of the timeout is reserved, for two reasons: an error of the claim
  // group is more specific than an exceeded deadline, and a claim that is
  // granted just before the deadline leaves no time to run the request.
  const Duration claim_timeout =
      request->spec.timeout * kMaxClaimTimeoutPercent / 100;
  m_claims->Claim(
      request->ticket, claim_timeout,
      [weak = std::weak_ptr<AtMostOnceGuard*>(m_self), claims = m_claims,
       handle, ticket = request->ticket](Result<ClaimResult> result) {
        const auto self = weak.lock();
        if (self) {
          (*self)->OnClaim(handle, ticket, std::move(result));
        } else {
          claims->Release(ticket);
        }
      });
}

void AtMostOnceGuard::ScheduleRefusal(RequestHandle handle, Request* request,
                                      Error error) {
  request->phase = Phase::kRefused;
  request->timer = m_scheduler->Schedule(
      Duration::zero(), [this, handle, error = std::move(error)] {
        EndRequest(handle, MakeFailedAnswer(error));
      });
}

void AtMostOnceGuard::OnClaim(RequestHandle handle, const ClaimTicket& ticket,
                              Result<ClaimResult> result) {
  const bool granted = result && result->status == ClaimStatus::kGranted;
  const auto found = m_requests.find(handle);
  if (found == m_requests.end()) {
    // The caller disconnected or the deadline passed. A claim is released after
    // an error too, because it may have been committed nevertheless.
    if (granted || !result) ReleaseClaim(ticket);
    return;
  }
  Request& request = found->second;
  m_scheduler->Cancel(std::exchange(request.timer, 0));
  if (!result) {
    m_counters.Add(AtMostOnceCounter::kClaimFailed);
    ReleaseClaim(ticket);
    EndRequest(handle,
               MakeFailedAnswer(MakeNotRunError(
                   result.error().kind, std::move(result.error().message))));
    return;
  }
  if (granted) {
    m_counters.Add(AtMostOnceCounter::kClaimed);
    Dispatch(handle, &request);
    return;
  }
  if (result->status == ClaimStatus::kRecorded) {
    auto recorded = DecodeRecordedAnswer(result->outcome);
    m_counters.Add(AtMostOnceCounter::kReplayed);
    EndRequest(handle, recorded ? *std::move(recorded)
                                : MakeFailedAnswer(ClaimError(
                                      ClaimStatus::kRecordedWithoutOutcome)));
    return;
  }
  m_counters.Add(AtMostOnceCounter::kClaimRefused);
  EndRequest(handle, MakeFailedAnswer(ClaimError(result->status)));
}

void AtMostOnceGuard::OnClaimTimeout(RequestHandle handle) {
  m_counters.Add(AtMostOnceCounter::kClaimTimedOut);
  m_requests.at(handle).timer = 0;
  EndRequest(handle, MakeFailedAnswer(MakeNotRunError(
                         ErrorKind::kDeadlineExceeded,
                         "the claim was not answered in time")));
}

void AtMostOnceGuard::Dispatch(RequestHandle handle, Request* request) {
  request->phase = Phase::kQuerying;
  QuerySpec spec = request->spec;
  if (!spec.idempotent) spec.timeout = request->deadline - m_scheduler->Now();
  request->query_id =
      m_engine->Start(std::move(spec), std::move(request->merger),
                      [this, handle](QueryAnswer answer) {
                        OnAnswer(handle, std::move(answer));
                      });
}

void AtMostOnceGuard::OnAnswer(RequestHandle handle, QueryAnswer answer) {
  const Request& request = m_requests.at(handle);
  if (!request.spec.idempotent) SettleClaim(request.ticket, answer);
  EndRequest(handle, std::move(answer));
}

void AtMostOnceGuard::SettleClaim(const ClaimTicket& ticket,
                                  const QueryAnswer& answer) {
  if (answer.ran == Ran::kNo) {
    ReleaseClaim(ticket);
  } else if (answer.body) {
    m_counters.Add(AtMostOnceCounter::kRecorded);
    m_claims->RecordOutcome(ticket, EncodeRecordedAnswer(answer));
  } else {
    // The claim is kept, so that resends are refused because the request may
    // have run.
    m_counters.Add(AtMostOnceCounter::kLeftClaimed);
  }
}

void AtMostOnceGuard::ReleaseClaim(const ClaimTicket& ticket) {
  m_counters.Add(AtMostOnceCounter::kGivenBack);
  m_claims->Release(ticket);
}

void AtMostOnceGuard::EndRequest(RequestHandle handle, QueryAnswer answer) {
  auto node = m_requests.extract(handle);
  assert(!node.empty());
  node.mapped().callback(std::move(answer));
}

}  // namespace chicoryvale
