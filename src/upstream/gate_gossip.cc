#include "upstream/gate_gossip.h"

#include <utility>

#include "upstream/gate_gossip_codec.h"
#include "upstream/upstream_gate.h"

namespace chicoryvale {
namespace {

constexpr std::uint32_t kAvailabilitySignalLifetimeSeconds = 600;
constexpr std::uint32_t kMarkLifetimeSeconds = 3600;

// Deaths that fit the payload of an item; more change no verdict.
constexpr std::size_t kMaxDeathsTold = 8;

std::string SignalKey(const AvailabilitySignal& signal) {
  return signal.replica.host_port + "/" +
         std::to_string(static_cast<int>(signal.source));
}

}  // namespace

GateGossip::GateGossip(UpstreamGate* gate, PeerGossip* gossip,
                       Scheduler* scheduler, std::string self)
    : m_gate(gate),
      m_gossip(gossip),
      m_scheduler(scheduler),
      m_self(std::move(self)) {}

GateGossip::~GateGossip() { m_gate->SetChangeListener({}); }

void GateGossip::Start() {
  m_gossip->AddItemListener([this](const GossipItem& item) { OnItem(item); });
  for (const GossipKind kind :
       {GossipKind::kUpstreamLeaving, GossipKind::kCrashMark}) {
    for (const GossipItem& item : m_gossip->Items(kind)) OnItem(item);
  }
  m_gate->SetChangeListener([this] { PublishOwnChanges(); });
  PublishOwnChanges();
}

void GateGossip::OnItem(const GossipItem& item) {
  // What this gate observed by itself is told first: a merge below would hide
  // it among what others have told.
  PublishOwnChanges();
  if (item.kind == GossipKind::kUpstreamLeaving) {
    AvailabilitySignal signal;
    if (!Decode(item.payload, &signal)) return;
    m_gate->Availability()->Merge(signal, m_scheduler->Now());
    m_gate->Availability()->TakeChanges();
  } else if (item.kind == GossipKind::kCrashMark) {
    CrashMark mark;
    if (!Decode(item.payload, &mark)) return;
    m_gate->MergeCrashMark(mark);
    m_gate->Quarantine()->TakeChanges();
  }
}

void GateGossip::PublishOwnChanges() {
  for (const AvailabilitySignal& signal :
       m_gate->Availability()->TakeChanges()) {
    // Signals are ordered by stamp, then by `unavailable`.
    const std::uint64_t stamp = signal.stamp * 2 + (signal.unavailable ? 1 : 0);
    m_gossip->Publish({GossipKind::kUpstreamLeaving, SignalKey(signal), stamp,
                       Encode(signal), kAvailabilitySignalLifetimeSeconds});
  }
  for (CrashMark& mark : m_gate->Quarantine()->TakeChanges()) {
    if (mark.deaths.size() > kMaxDeathsTold) mark.deaths.resize(kMaxDeathsTold);
    m_gossip->Publish({GossipKind::kCrashMark,
                       std::to_string(mark.key.fingerprint) + "/" + m_self,
                       ++m_last_stamp, Encode(mark), kMarkLifetimeSeconds});
  }
}

}  // namespace chicoryvale
