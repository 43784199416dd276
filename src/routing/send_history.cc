#include "routing/send_history.h"

#include <algorithm>
#include <utility>

#include "base/decay.h"

namespace chicoryvale {
namespace {

/// Half-life of the failure ratio of a replica without further outcomes, so
/// that a recovered replica is tried again.
constexpr double kFailureHalfLifeSeconds = 3.0;

/// A replica counts as paused if a send has been open without an answer for
/// more than this factor of its mean latency, and for more than the minimum.
constexpr double kPauseLatencyFactor = 3.0;
constexpr double kMinPauseSilenceUs = 25'000;

/// Time for which a replica is assumed to stay paused after a send to it timed
/// out.
constexpr Duration kPauseAfterTimeout = milliseconds(100);

/// Weight in the failure ratio of an outcome that directly follows a timeout.
constexpr double kWeightAfterTimeout = 0.5;

/// Upper bound of a latency sample, as a factor of the mean so far: a single
/// pause does not make a replica count as slow, while a slow replica shows in
/// further answers.
constexpr double kMaxSampleLatencyFactor = 3.0;

/// Half-life of the amount by which the mean latency of a replica exceeds that
/// of its service, without further answers, so that a replica that is not
/// chosen is tried again.
constexpr double kExcessLatencyHalfLifeSeconds = 2.0;

/// Time for which a replica that closes its connections is avoided: about the
/// time after which the list of the platform must show that it is draining.
constexpr Duration kClosingAvoidTime = seconds(2);

/// Time for which a replica gets no sends after another one answered at its
/// address. The platform lists it for a few more seconds; if it returns at that
/// address, the list shows it for longer than this.
constexpr Duration kWrongReplicaAvoidTime = seconds(15);

}  // namespace

std::optional<Duration> SendHistory::End(std::uint64_t send,
                                         const ReplicaAnswer& answer,
                                         TimePoint now) {
  const auto open = m_open_sends.find(send);
  if (open == m_open_sends.end()) return std::nullopt;
  const Duration latency = now - open->second;
  m_open_sends.erase(open);
  // A single timeout is attributed to a pause, which continues for a while.
  // After a second one in a row, the replica may be unavailable.
  const bool timed_out = answer.end == SendEnd::kTimedOut;
  const bool previous_timed_out =
      std::exchange(m_last_send_timed_out, timed_out);
  if (timed_out) m_paused_until = now + kPauseAfterTimeout;
  // A replica that backs off is left out until it wants requests again, so the
  // refusal doesn't count against it after that.
  const bool backs_off = answer.notice.back_off.has_value();
  if (!backs_off && (!timed_out || previous_timed_out)) {
    RecordOutcome(!answer.IsSuccess(),
                  previous_timed_out ? kWeightAfterTimeout : kSampleWeight,
                  now);
  }
  if (answer.closes_connection) m_closing_until = now + kClosingAvoidTime;
  if (answer.end == SendEnd::kWrongReplica) {
    m_wrong_replica_until = now + kWrongReplicaAvoidTime;
  }
  if (answer.end == SendEnd::kAnswered) m_last_answer_at = now;
  return latency;
}

void SendHistory::RecordLatency(double latency_us) {
  if (!m_has_latency) {
    m_mean_latency_us = latency_us;
    m_has_latency = true;
    return;
  }
  const double bounded_latency_us =
      std::min(latency_us, kMaxSampleLatencyFactor * m_mean_latency_us);
  m_mean_latency_us += kSampleWeight * (bounded_latency_us - m_mean_latency_us);
}

double SendHistory::LatencyUs(std::optional<double> service_latency_us,
                              TimePoint now) const {
  if (!service_latency_us) return m_mean_latency_us;
  const double excess = std::max(m_mean_latency_us - *service_latency_us, 0.0);
  const double decayed =
      excess *
      (1 - DecayFactor(now - *m_last_answer_at, kExcessLatencyHalfLifeSeconds));
  return m_mean_latency_us - decayed;
}

double SendHistory::FailureRatio(TimePoint now) const {
  return m_failure_ratio *
         DecayFactor(now - m_failure_updated_at, kFailureHalfLifeSeconds);
}

void SendHistory::RecordOutcome(bool failed, double weight, TimePoint now) {
  const double decayed = FailureRatio(now);
  m_failure_ratio = decayed + weight * ((failed ? 1.0 : 0.0) - decayed);
  m_failure_updated_at = now;
}

bool SendHistory::IsLikelyPaused(const ReportedLoad& load,
                                 TimePoint now) const {
  if (m_last_send_timed_out && now < m_paused_until) return true;
  if (m_open_sends.empty()) return false;
  const auto oldest =
      std::ranges::min_element(m_open_sends, {}, [](const auto& send) {
        return send.second;
      })->second;
  if (m_last_answer_at && *m_last_answer_at > oldest) return false;
  const auto silence_us = static_cast<double>((now - oldest).count());
  const double latency_us = m_mean_latency_us * load.Slowness(oldest);
  return silence_us >
         std::max(kMinPauseSilenceUs, kPauseLatencyFactor * latency_us);
}

}  // namespace chicoryvale
