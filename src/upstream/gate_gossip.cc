#include "upstream/gate_gossip.h"

#include <utility>

#include "upstream/gate_gossip_codec.h"
#include "upstream/upstream_gate.h"

namespace chicoryvale {
namespace {

/// Time for which a published signal is kept.
constexpr std::uint32_t kAvailabilitySignalLifetimeSeconds = 600;

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
      m_crash_marks(gate->Quarantine(), gossip, std::move(self_id)) {}

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
    const auto mark = CrashMarkPublisher::DecodeItem(item);
    if (!mark) return;
    m_gate->MergeCrashMark(*mark);
    m_gate->Quarantine()->PopChanges();
    if (m_gate->Quarantine()->AddOwnEvidence(mark->key.fingerprint)) {
      PublishOwnChanges();
    }
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
  m_crash_marks.PublishChanges();
}

}  // namespace chicoryvale
