#ifndef CHICORYVALE_SRC_UPSTREAM_GATE_GOSSIP_H_
#define CHICORYVALE_SRC_UPSTREAM_GATE_GOSSIP_H_

#include <cstdint>
#include <string>

#include "ports/peer_gossip.h"
#include "ports/scheduler.h"
#include "upstream/crash_mark_publisher.h"

namespace chicoryvale {

class UpstreamGate;

/// Publishes a gate's availability signals and crash marks to the gates of
/// other entries, and merges theirs. Changes are published immediately, before
/// the caller of the attempt receives its answer and can resend the request.
/// Not thread safe.
class GateGossip {
 public:
  /// The pointers must outlive the object. `self_id` identifies this entry.
  GateGossip(UpstreamGate* gate, PeerGossip* gossip, Scheduler* scheduler,
             std::string self_id);
  ~GateGossip();
  GateGossip(const GateGossip&) = delete;
  GateGossip& operator=(const GateGossip&) = delete;

  /// Starts publishing, and merges the items that arrived before.
  void Start();

 private:
  void OnItem(const GossipItem& item);
  void PublishOwnChanges();

  UpstreamGate* m_gate;
  PeerGossip* m_gossip;
  Scheduler* m_scheduler;
  CrashMarkPublisher m_crash_marks;
};

}  // namespace chicoryvale

#endif  // CHICORYVALE_SRC_UPSTREAM_GATE_GOSSIP_H_
