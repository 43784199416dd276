#ifndef CHICORYVALE_SRC_UPSTREAM_GATE_GOSSIP_H_
#define CHICORYVALE_SRC_UPSTREAM_GATE_GOSSIP_H_

#include <cstdint>
#include <string>

#include "ports/peer_gossip.h"
#include "ports/scheduler.h"

namespace chicoryvale {

class UpstreamGate;

/// Carries a gate's signs of leaving replicas and its marks of crashing
/// requests to the gates of other entries, and theirs to it. Each entry's
/// observations go out under its own key, since two entries may have lost
/// different upstreams to one request. They go out as they are made, before the
/// caller of the attempt has its answer and can send again. Not thread safe.
class GateGossip {
 public:
  /// The pointees must outlive the link. `self` names this entry.
  GateGossip(UpstreamGate* gate, PeerGossip* gossip, Scheduler* scheduler,
             std::string self);
  ~GateGossip();
  GateGossip(const GateGossip&) = delete;
  GateGossip& operator=(const GateGossip&) = delete;

  /// Begins to publish; items that arrived before are merged.
  void Start();

 private:
  void OnItem(const GossipItem& item);
  void PublishOwnChanges();

  UpstreamGate* m_gate;
  PeerGossip* m_gossip;
  Scheduler* m_scheduler;
  std::string m_self;
  std::uint64_t m_last_stamp = 0;
};

}  // namespace chicoryvale

#endif  // CHICORYVALE_SRC_UPSTREAM_GATE_GOSSIP_H_
