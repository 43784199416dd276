#ifndef CHICORYVALE_SRC_CONTROL_CLAIM_SERVICE_H_
#define CHICORYVALE_SRC_CONTROL_CLAIM_SERVICE_H_

#include <string>

#include "ports/peer_transport.h"
#include "ports/wall_clock.h"

namespace chicoryvale {

class ReplicatedControlGroup;

/// Runs on a control VM and answers the claim commands of entry VMs by
/// proposing them to the replicated log. Not thread safe.
class ClaimService {
 public:
  /// The pointees must outlive the service.
  ClaimService(ReplicatedControlGroup* group, const WallClock* clock,
               PeerTransport* transport);

 private:
  void OnRequest(const std::string& request,
                 const PeerTransport::Responder& respond);

  ReplicatedControlGroup* m_group;
  const WallClock* m_clock;
};

}  // namespace chicoryvale

#endif  // CHICORYVALE_SRC_CONTROL_CLAIM_SERVICE_H_
