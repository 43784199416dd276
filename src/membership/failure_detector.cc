#include "membership/failure_detector.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace chicoryvale {
namespace {

/// Ping requests relayed at once; more are dropped.
constexpr std::size_t kMaxRelays = 256;

/// Rise of the health factor after this process did not run for a while.
constexpr std::uint32_t kWakeSteps = 3;

/// Smaller groups are given the suspicion times of this size.
constexpr std::size_t kSmallestGroup = 10;

/// Part of the probe timeout after which a helper answers negatively.
constexpr double kNackPart = 0.8;

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
  m_scheduler->Cancel(m_tick_timer);
  m_scheduler->Cancel(m_timeout_timer);
  for (auto& [sequence, relay] : m_relays) m_scheduler->Cancel(relay.timer);
  for (auto& [id, suspicion] : m_suspicions) {
    m_scheduler->Cancel(suspicion.timer);
  }
}

void FailureDetector::Start(Duration delay) {
  m_tick_due = m_scheduler->Now() + delay;
  m_tick_timer = m_scheduler->Schedule(delay, [this] { Tick(); });
}

void FailureDetector::Tick() {
  if (m_scheduler->Now() > m_tick_due + m_options.probe_period) {
    OnWake();
  } else {
    FinishProbe();
  }
  const Duration period = m_options.probe_period * m_health;
  m_tick_due = m_scheduler->Now() + period;
  m_tick_timer = m_scheduler->Schedule(period, [this] { Tick(); });
  const std::optional<Member> target = m_host->NextProbeTarget();
  if (!target) return;
  m_probe = Probe{.target = *target, .sequence = ++m_last_sequence};
  m_timeout_timer = m_scheduler->Schedule(m_options.probe_timeout * m_health,
                                          [this] { OnProbeTimeout(); });
  Packet ping;
  ping.type = PacketType::kPing;
  ping.sequence = m_probe->sequence;
  m_host->SendTo(*target, std::move(ping));
}

void FailureDetector::FinishProbe() {
  m_scheduler->Cancel(std::exchange(m_timeout_timer, 0));
  if (!m_probe) return;
  const Probe probe = *std::exchange(m_probe, std::nullopt);
  if (probe.acked) {
    m_health = std::max(1U, m_health - 1);
    return;
  }
  // Helpers that answered neither way say that this process hears badly.
  const std::size_t missing = probe.helpers - probe.nacks;
  if (missing > 0 && missing == probe.helpers) Worsen(1);
  m_host->OnProbeFailed(probe.target);
}

void FailureDetector::OnWake() {
  m_scheduler->Cancel(std::exchange(m_timeout_timer, 0));
  m_probe.reset();
  Worsen(kWakeSteps);
}

void FailureDetector::Worsen(std::uint32_t steps) {
  m_health = std::min(m_options.max_health_factor, m_health + steps);
}

void FailureDetector::OnProbeTimeout() {
  m_timeout_timer = 0;
  if (!m_probe || m_probe->acked) return;
  const std::vector<Member> helpers =
      m_host->Helpers(m_options.indirect_probes, m_probe->target.info.id);
  m_probe->helpers = helpers.size();
  for (const Member& helper : helpers) {
    Packet request;
    request.type = PacketType::kPingRequest;
    request.sequence = m_probe->sequence;
    request.target = m_probe->target.info.address;
    m_host->SendTo(helper, std::move(request));
  }
}

void FailureDetector::OnPingRequest(const Address& from, const Packet& packet) {
  if (m_relays.size() >= kMaxRelays) return;
  const std::uint64_t sequence = ++m_last_sequence;
  const TimerId timer =
      m_scheduler->Schedule(Scale(m_options.probe_timeout, kNackPart),
                            [this, sequence] { OnRelayTimeout(sequence); });
  m_relays.emplace(sequence, Relay{from, packet.sequence, timer});
  Packet ping;
  ping.type = PacketType::kPing;
  ping.sequence = sequence;
  m_host->SendToAddress(packet.target, std::move(ping));
}

void FailureDetector::OnRelayTimeout(std::uint64_t sequence) {
  const auto found = m_relays.find(sequence);
  Packet nack;
  nack.type = PacketType::kNack;
  nack.sequence = found->second.asker_sequence;
  m_host->SendToAddress(found->second.asker, std::move(nack));
  m_relays.erase(found);
}

void FailureDetector::OnAck(const Packet& packet) {
  if (m_probe && m_probe->sequence == packet.sequence) {
    m_probe->acked = true;
    return;
  }
  const auto found = m_relays.find(packet.sequence);
  if (found == m_relays.end()) return;
  Packet ack;
  ack.type = PacketType::kAck;
  ack.sequence = found->second.asker_sequence;
  m_scheduler->Cancel(found->second.timer);
  m_host->SendToAddress(found->second.asker, std::move(ack));
  m_relays.erase(found);
}

void FailureDetector::OnNack(const Packet& packet) {
  if (m_probe && m_probe->sequence == packet.sequence) ++m_probe->nacks;
}

Duration FailureDetector::SuspicionTime(std::size_t accusers) const {
  const double size =
      static_cast<double>(std::max(kSmallestGroup, m_host->GroupSize()));
  const double shortest =
      m_options.suspicion_factor * std::log10(size) * m_health;
  const double longest = shortest * m_options.unconfirmed_factor;
  const std::size_t confirmed = std::min(accusers - 1, m_options.confirmations);
  const double part =
      std::log(static_cast<double>(confirmed) + 1) /
      std::log(static_cast<double>(m_options.confirmations) + 1);
  return Scale(m_options.probe_period, longest - (longest - shortest) * part);
}

bool FailureDetector::Suspect(const std::string& id,
                              const std::string& accuser) {
  Suspicion& suspicion = m_suspicions[id];
  if (suspicion.accusers.empty()) suspicion.start = m_scheduler->Now();
  if (suspicion.accusers.size() > m_options.confirmations) return false;
  if (!suspicion.accusers.insert(accuser).second) return false;
  ScheduleSuspicion(id, &suspicion);
  return true;
}

void FailureDetector::ScheduleSuspicion(const std::string& id,
                                        Suspicion* suspicion) {
  m_scheduler->Cancel(suspicion->timer);
  suspicion->due =
      std::max(m_scheduler->Now(),
               suspicion->start + SuspicionTime(suspicion->accusers.size()));
  suspicion->timer =
      m_scheduler->Schedule(suspicion->due - m_scheduler->Now(),
                            [this, id] { OnSuspicionTimer(id); });
}

void FailureDetector::OnSuspicionTimer(const std::string& id) {
  Suspicion& suspicion = m_suspicions.at(id);
  const TimePoint now = m_scheduler->Now();
  if (now > suspicion.due + m_options.probe_period) {
    // This process did not run, so that no refutation could reach it.
    suspicion.start = now;
    ScheduleSuspicion(id, &suspicion);
    return;
  }
  m_suspicions.erase(id);
  m_host->OnSuspicionEnded(id);
}

void FailureDetector::ClearSuspicion(const std::string& id) {
  const auto found = m_suspicions.find(id);
  if (found == m_suspicions.end()) return;
  m_scheduler->Cancel(found->second.timer);
  m_suspicions.erase(found);
}

}  // namespace chicoryvale
