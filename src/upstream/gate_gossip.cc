#include "upstream/gate_gossip.h"

#include <utility>

#include "upstream/gate_gossip_codec.h"
#include "upstream/upstream_gate.h"

namespace chicoryvale {
namespace {

/// Times for which published items of each kind are kept.
constexpr std::uint32_t kAvailabilitySignalLifetimeSeconds = 600;
constexpr std::uint32_t kCrashMarkLifetimeSeconds = 3600;

/// Maximum number of crashes in the payload of a published mark. Further ones
/// change no verdict.
constexpr std::size_t kMaxInPayload = 8;

std::string SignalKey(const AvailabilitySignal& signal) {
  return signal.replica.host_port + "/" +
         std::to_string(static_cast<int>(signal.source));
}

}  // namespace

GateGossip::GateGossip(UpstreamGate* gate, PeerGossip* gossip,
                       Scheduler* scheduler, std::string self_id)
    : m_gate(gate),
      m_gossip(gossip),
      m_scheduler(scheduler),
      m_self_id(std::move(self_id)) {}

GateGossip::~GateGossip() { m_gate->SetChangeListener({}); }

void GateGossip::Start() {
  m_gossip->AddItemListener([this](const GossipItem& item) { OnItem(item); });
  for (const GossipKind kind :
       {GossipKind::kAvailabilitySignal, GossipKind::kCrashMark}) {
    for (const GossipItem& item : m_gossip->Items(kind)) OnItem(item);
  }
  m_gate->SetChangeListener([this] { PublishOwnChanges(); });
  PublishOwnChanges();
}

void GateGossip::OnItem(const GossipItem& item) {
  // Publishes this gate's own observations first, because after the merge below
  // they could not be distinguished from those of other entries.
  PublishOwnChanges();
  if (item.kind == GossipKind::kAvailabilitySignal) {
    AvailabilitySignal signal;
    if (!Decode(item.payload, &signal)) return;
    m_gate->Availability()->Merge(signal, m_scheduler->Now());
    m_gate->Availability()->PopChanges();
  } else if (item.kind == GossipKind::kCrashMark) {
    CrashMark mark;
    if (!Decode(item.payload, &mark)) return;
    m_gate->MergeCrashMark(mark);
    m_gate->Quarantine()->PopChanges();
  }
}

void GateGossip::PublishOwnChanges() {
  for (const AvailabilitySignal& signal :
       m_gate->Availability()->PopChanges()) {
    // Encodes the order of signals, which is by stamp, then by `unavailable`.
    const std::uint64_t stamp = signal.stamp * 2 + (signal.unavailable ? 1 : 0);
    m_gossip->Publish({GossipKind::kAvailabilitySignal, SignalKey(signal),
                       stamp, Encode(signal),
                       kAvailabilitySignalLifetimeSeconds});
  }
  for (CrashMark& mark : m_gate->Quarantine()->PopChanges()) {
    if (mark.crashes.size() > kMaxInPayload) mark.crashes.resize(kMaxInPayload);
    m_gossip->Publish({GossipKind::kCrashMark,
                       std::to_string(mark.key.fingerprint) + "/" + m_self_id,
                       ++m_last_stamp, Encode(mark),
                       kCrashMarkLifetimeSeconds});
  }
}

}  // namespace chicoryvale
