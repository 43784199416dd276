#include "membership/failure_detector.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace chicoryvale {
namespace {

/// Indirect probes in flight on behalf of other members; requests beyond this
/// number are dropped.
constexpr std::size_t kMaxIndirectProbes = 256;

/// Increase of the health multiplier after this process was paused.
constexpr std::uint32_t kHealthStepsAfterPause = 3;

/// Groups smaller than this get the suspicion timeouts of this size.
constexpr std::size_t kMinGroupSize = 10;

/// Ratio of the probe timeout after which a helper sends a nack.
constexpr double kNackTimeoutRatio = 0.8;

Duration Scale(Duration duration, double factor) {
  return Duration(static_cast<Duration::rep>(
      static_cast<double>(duration.count()) * factor));
}

}  // namespace

FailureDetector::FailureDetector(FailureDetectorOptions options,
                                 Scheduler* scheduler,
                                 FailureDetectorHost* host)
    : m_options(options), m_scheduler(scheduler), m_host(host) {}

FailureDetector::~FailureDetector() {
  m_scheduler->Cancel(m_period_timer);
  m_scheduler->Cancel(m_probe_timeout_timer);
  for (auto& [key, probe] : m_indirect_probes) m_scheduler->Cancel(probe.timer);
  for (auto& [id, suspicion] : m_suspicions) {
    m_scheduler->Cancel(suspicion.timer);
  }
}

void FailureDetector::Start(Duration delay) {
  m_period_end = m_scheduler->Now() + delay;
  m_period_timer = m_scheduler->Schedule(delay, [this] { StartProbePeriod(); });
}

void FailureDetector::StartProbePeriod() {
  if (m_scheduler->Now() > m_period_end + m_options.probe_period) {
    OnResumeAfterPause();
  } else {
    FinishProbe();
  }
  const Duration period = m_options.probe_period * m_health_multiplier;
  m_period_end = m_scheduler->Now() + period;
  m_period_timer =
      m_scheduler->Schedule(period, [this] { StartProbePeriod(); });
  const std::optional<Member> target = m_host->NextProbeTarget();
  if (!target) return;
  m_probe = Probe{.target = *target, .sequence = ++m_last_sequence};
  m_probe_timeout_timer =
      m_scheduler->Schedule(m_options.probe_timeout * m_health_multiplier,
                            [this] { OnProbeTimeout(); });
  Packet ping;
  ping.type = PacketType::kPing;
  ping.sequence = m_probe->sequence;
  m_host->SendTo(*target, std::move(ping));
}

void FailureDetector::FinishProbe() {
  m_scheduler->Cancel(std::exchange(m_probe_timeout_timer, 0));
  if (!m_probe) return;
  const Probe probe = *std::exchange(m_probe, std::nullopt);
  if (probe.acked) {
    m_health_multiplier = std::max(1U, m_health_multiplier - 1);
    return;
  }
  // If no helper sent an ack or a nack, this process probably fails to receive
  // responses in time.
  const std::size_t silent = probe.helper_count - probe.nack_count;
  if (silent > 0 && silent == probe.helper_count) RaiseHealthMultiplier(1);
  m_host->OnProbeFailed(probe.target);
}

void FailureDetector::OnResumeAfterPause() {
  m_scheduler->Cancel(std::exchange(m_probe_timeout_timer, 0));
  m_probe.reset();
  RaiseHealthMultiplier(kHealthStepsAfterPause);
}

void FailureDetector::RaiseHealthMultiplier(std::uint32_t steps) {
  m_health_multiplier =
      std::min(m_options.max_health_multiplier, m_health_multiplier + steps);
}

void FailureDetector::OnProbeTimeout() {
  m_probe_timeout_timer = 0;
  if (!m_probe || m_probe->acked) return;
  const std::vector<Member> helpers = m_host->ChooseHelpers(
      m_options.indirect_probe_count, m_probe->target.info.id);
  m_probe->helper_count = helpers.size();
  for (const Member& helper : helpers) {
    Packet request;
    request.type = PacketType::kPingRequest;
    request.sequence = m_probe->sequence;
    request.target = m_probe->target.info.address;
    m_host->SendTo(helper, std::move(request));
  }
}

void FailureDetector::OnPingRequest(const Address& from, const Packet& packet) {
  if (m_indirect_probes.size() >= kMaxIndirectProbes) return;
  const std::uint64_t sequence = ++m_last_sequence;
  const TimerId timer = m_scheduler->Schedule(
      Scale(m_options.probe_timeout, kNackTimeoutRatio),
      [this, sequence] { OnIndirectProbeTimeout(sequence); });
  m_indirect_probes.emplace(sequence,
                            IndirectProbe{from, packet.sequence, timer});
  Packet ping;
  ping.type = PacketType::kPing;
  ping.sequence = sequence;
  m_host->SendToAddress(packet.target, std::move(ping));
}

void FailureDetector::OnIndirectProbeTimeout(std::uint64_t sequence) {
  const auto found = m_indirect_probes.find(sequence);
  Packet nack;
  nack.type = PacketType::kNack;
  nack.sequence = found->second.requester_sequence;
  m_host->SendToAddress(found->second.requester, std::move(nack));
  m_indirect_probes.erase(found);
}

void FailureDetector::OnAck(const Packet& packet) {
  if (m_probe && m_probe->sequence == packet.sequence) {
    m_probe->acked = true;
    return;
  }
  const auto found = m_indirect_probes.find(packet.sequence);
  if (found == m_indirect_probes.end()) return;
  Packet ack;
  ack.type = PacketType::kAck;
  ack.sequence = found->second.requester_sequence;
  m_scheduler->Cancel(found->second.timer);
  m_host->SendToAddress(found->second.requester, std::move(ack));
  m_indirect_probes.erase(found);
}

void FailureDetector::OnNack(const Packet& packet) {
  if (m_probe && m_probe->sequence == packet.sequence) ++m_probe->nack_count;
}

Duration FailureDetector::SuspicionTimeout(std::size_t accuser_count) const {
  const double size =
      static_cast<double>(std::max(kMinGroupSize, m_host->GroupSize()));
  const double min_periods =
      m_options.min_suspicion_factor * std::log10(size) * m_health_multiplier;
  const double max_periods =
      min_periods * m_options.unconfirmed_suspicion_factor;
  const std::size_t confirmations =
      std::min(accuser_count - 1, m_options.max_confirmations);
  const double confirmed_ratio =
      std::log(static_cast<double>(confirmations) + 1) /
      std::log(static_cast<double>(m_options.max_confirmations) + 1);
  return Scale(m_options.probe_period,
               max_periods - (max_periods - min_periods) * confirmed_ratio);
}

bool FailureDetector::Suspect(const std::string& id,
                              const std::string& accuser) {
  Suspicion& suspicion = m_suspicions[id];
  if (suspicion.accusers.empty()) suspicion.started_at = m_scheduler->Now();
  if (suspicion.accusers.size() > m_options.max_confirmations) return false;
  if (!suspicion.accusers.insert(accuser).second) return false;
  ScheduleSuspicionTimer(id, &suspicion);
  return true;
}

void FailureDetector::ScheduleSuspicionTimer(const std::string& id,
                                             Suspicion* suspicion) {
  m_scheduler->Cancel(suspicion->timer);
  suspicion->timeout_at = std::max(
      m_scheduler->Now(),
      suspicion->started_at + SuspicionTimeout(suspicion->accusers.size()));
  suspicion->timer =
      m_scheduler->Schedule(suspicion->timeout_at - m_scheduler->Now(),
                            [this, id] { OnSuspicionTimer(id); });
}

void FailureDetector::OnSuspicionTimer(const std::string& id) {
  Suspicion& suspicion = m_suspicions.at(id);
  const TimePoint now = m_scheduler->Now();
  if (now > suspicion.timeout_at + m_options.probe_period) {
    // This process was paused and could not receive a refutation in the
    // meantime, so the suspicion starts again.
    suspicion.started_at = now;
    ScheduleSuspicionTimer(id, &suspicion);
    return;
  }
  m_suspicions.erase(id);
  m_host->OnSuspicionTimeout(id);
}

void FailureDetector::ClearSuspicion(const std::string& id) {
  const auto found = m_suspicions.find(id);
  if (found == m_suspicions.end()) return;
  m_scheduler->Cancel(found->second.timer);
  m_suspicions.erase(found);
}

}  // namespace chicoryvale
