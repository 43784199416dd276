#include "routing/request_admission.h"

#include <algorithm>
#include <utility>

namespace chicoryvale {
namespace {

/// Maximum wait as a percentage of the target latency.
constexpr int kMaxWaitPercent = 25;
constexpr int kPercent = 100;

/// Maximum time for which no request is admitted, so that the end of the
/// saturation is noticed.
constexpr Duration kMaxPause = milliseconds(500);

/// Range of the time after which refused callers should retry, relative to the
/// target latency. It is wide, so that they do not all return at once.
constexpr double kMinRetryAfterRatio = 0.3;
constexpr double kMaxRetryAfterRatio = 1.0;

}  // namespace

RequestAdmission::~RequestAdmission() {
  m_scheduler->Cancel(m_pause_timer);
  for (const WaitingRequest& waiting : m_waiting) {
    m_scheduler->Cancel(waiting.timer);
  }
}

Duration RequestAdmission::MaxWait(Duration target_latency) {
  return target_latency * kMaxWaitPercent / kPercent;
}

bool RequestAdmission::HasRoom() const {
  if (m_pause_timer != 0) return false;
  const double limit = std::max(m_limit.Limit(), 1.0);
  return static_cast<double>(m_started_at.size() + 1) <= limit;
}

// Admits no request for a time after one that was started at `started_at` has
// ended, so that on average the number of requests in flight is the limit.
void RequestAdmission::SchedulePause(TimePoint started_at) {
  if (m_limit.Limit() >= 1 || m_pause_timer != 0) return;
  const auto busy =
      static_cast<double>((m_scheduler->Now() - started_at).count());
  const auto pause = static_cast<Duration::rep>(busy / m_limit.Limit() - busy);
  m_pause_timer =
      m_scheduler->Schedule(std::min(Duration(pause), kMaxPause), [this] {
        m_pause_timer = 0;
        AdmitWaiting();
      });
}

void RequestAdmission::Submit(AdmissionId id, Request request) {
  if (HasRoom() && m_waiting.empty()) return Admit(id, request);
  const auto less_urgent = std::ranges::find_if(
      m_waiting, [&request](const WaitingRequest& waiting) {
        return waiting.request.priority > request.priority;
      });
  const Duration max_wait = MaxWait(request.target_latency);
  const auto waiting =
      m_waiting.insert(less_urgent, WaitingRequest{id, std::move(request), 0});
  waiting->timer = m_scheduler->Schedule(max_wait, [this, id] { Refuse(id); });
}

void RequestAdmission::Admit(AdmissionId id, const Request& request) {
  m_started_at[id] = m_scheduler->Now();
  request.admit();
}

void RequestAdmission::AdmitWaiting() {
  while (HasRoom() && !m_waiting.empty()) {
    const WaitingRequest next = std::move(m_waiting.front());
    m_waiting.pop_front();
    m_scheduler->Cancel(next.timer);
    Admit(next.id, next.request);
  }
}

void RequestAdmission::Refuse(AdmissionId id) {
  const auto found = std::ranges::find(m_waiting, id, &WaitingRequest::id);
  const WaitingRequest refused = std::move(*found);
  m_waiting.erase(found);
  std::uniform_real_distribution<double> ratio(kMinRetryAfterRatio,
                                               kMaxRetryAfterRatio);
  const auto target =
      static_cast<double>(refused.request.target_latency.count());
  refused.request.refuse(
      Duration(static_cast<Duration::rep>(ratio(m_random) * target)));
}

void RequestAdmission::Finish(AdmissionId id, AdmittedOutcome outcome) {
  const auto in_flight = static_cast<std::uint32_t>(m_started_at.size());
  const auto ended = m_started_at.extract(id);
  if (ended.empty()) return;
  if (outcome == AdmittedOutcome::kServedInTime) {
    m_limit.OnServedInTime(in_flight);
  } else if (outcome == AdmittedOutcome::kNotServedInTime) {
    m_limit.OnNotServedInTime(ended.mapped(), m_scheduler->Now());
  }
  SchedulePause(ended.mapped());
  AdmitWaiting();
}

void RequestAdmission::Cancel(AdmissionId id) {
  const auto found = std::ranges::find(m_waiting, id, &WaitingRequest::id);
  if (found == m_waiting.end()) return Finish(id, AdmittedOutcome::kUnknown);
  m_scheduler->Cancel(found->timer);
  m_waiting.erase(found);
}

}  // namespace chicoryvale
