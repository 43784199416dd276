#ifndef CHICORYVALE_SRC_ROUTING_REQUEST_ADMISSION_H_
#define CHICORYVALE_SRC_ROUTING_REQUEST_ADMISSION_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <list>
#include <random>
#include <unordered_map>

#include "admission/outcome_limit.h"
#include "ports/scheduler.h"
#include "ports/zone_admission.h"

namespace chicoryvale {

/// Admits the scattered requests of this entry to one set of shards while the
/// shards are saturated. At most OutcomeLimit::Limit() requests are in flight.
/// Others wait for a short time, the most urgent ones first, because requests
/// arrive in bursts; a request that is not admitted by then is refused, so that
/// its caller returns when the shards have room, instead of waiting for a late
/// answer. Not thread safe.
class RequestAdmission {
 public:
  /// A request that asks for admission.
  struct Request {
    /// 0 is the most urgent.
    std::uint32_t priority = 0;
    /// Time within which an answer has its full value for the caller.
    Duration target_latency{};
    /// Called when the request is admitted, possibly from within Submit.
    std::function<void()> admit;
    /// Called when the request is refused, never from within Submit.
    /// `retry_after` is the time after which the caller should retry.
    std::function<void(Duration retry_after)> refuse;
  };

  /// `scheduler` outlives the admission.
  RequestAdmission(Scheduler* scheduler, std::uint64_t seed)
      : m_scheduler(scheduler), m_random(seed) {}
  ~RequestAdmission();
  RequestAdmission(const RequestAdmission&) = delete;
  RequestAdmission& operator=(const RequestAdmission&) = delete;

  /// Asks for the admission of a request. Calls one of its functions once,
  /// unless it is cancelled first. `id` is unique among the requests that have
  /// not ended.
  void Submit(AdmissionId id, Request request);

  /// Ends an admitted request.
  void Finish(AdmissionId id, AdmittedOutcome outcome);

  /// Removes a waiting request, or ends an admitted one with kUnknown. Does
  /// nothing if the request has ended.
  void Cancel(AdmissionId id);

  [[nodiscard]] std::size_t WaitingCount() const { return m_waiting.size(); }
  [[nodiscard]] std::size_t InFlightCount() const {
    return m_started_at.size();
  }
  [[nodiscard]] bool IsIdle() const {
    return m_waiting.empty() && m_started_at.empty();
  }

  /// Returns how long a request with this target latency waits at most.
  static Duration MaxWait(Duration target_latency);

 private:
  struct WaitingRequest {
    AdmissionId id = 0;
    Request request;
    TimerId timer = 0;
  };

  [[nodiscard]] bool HasRoom() const;
  void SchedulePause(TimePoint started_at);
  void Admit(AdmissionId id, const Request& request);
  void AdmitWaiting();
  void Refuse(AdmissionId id);

  Scheduler* m_scheduler;
  std::mt19937_64 m_random;
  OutcomeLimit m_limit;
  /// The requests that wait, in the order in which they are admitted.
  std::list<WaitingRequest> m_waiting;
  /// Runs while the limit is below 1 and no request may be in flight.
  TimerId m_pause_timer = 0;
  /// Times at which the requests in flight were admitted.
  std::unordered_map<AdmissionId, TimePoint> m_started_at;
};

}  // namespace chicoryvale

#endif  // CHICORYVALE_SRC_ROUTING_REQUEST_ADMISSION_H_
