#ifndef CHICORYVALE_SRC_ADAPTERS_PEER_STACK_H_
#define CHICORYVALE_SRC_ADAPTERS_PEER_STACK_H_

#include <memory>
#include <string>
#include <vector>

#include "adapters/tcp_peer_transport.h"
#include "adapters/udp_transport.h"
#include "config/config_distributor.h"
#include "membership/membership.h"

namespace chicoryvale {

class MetricsPage;

/// Settings of a PeerStack.
struct PeerStackOptions {
  /// IP number and port for TCP and UDP; port 0 takes one that is free for
  /// both.
  std::string listen;
  std::string key;
  std::string availability_zone;
  MemberRole role = MemberRole::kEntry;
  std::vector<Address> controls;
  std::vector<Address> seeds;
  /// Whether this process divides limits by a lease.
  bool keeps_lease = true;
  /// Peers that are neither talked nor listened to; cuts links in tests.
  std::set<Address> refused_peers;
  /// Outlives the stack.
  Scheduler* scheduler = nullptr;
};

/// What every process of the system needs to talk to the others: transports,
/// membership, and the spread of the configuration. Not thread safe.
class PeerStack {
 public:
  /// Binds the transports. Nothing is sent before Start.
  static Result<std::unique_ptr<PeerStack>> Make(
      const PeerStackOptions& options);

  /// Joins the membership and begins to spread the configuration.
  void Start();

  /// Replaces the members to join through and the control VMs that are asked
  /// for the configuration after a start.
  void SetSeedsAndControls(const std::vector<Address>& seeds,
                           const std::vector<Address>& controls);

  /// Announces that this process leaves.
  void Leave() { m_membership->Leave(); }

  [[nodiscard]] const Address& LocalAddress() const {
    return m_tcp->LocalAddress();
  }
  [[nodiscard]] TcpPeerTransport* TcpTransport() { return m_tcp.get(); }
  [[nodiscard]] Membership* membership() { return m_membership.get(); }
  [[nodiscard]] ConfigDistributor* Distributor() { return m_distributor.get(); }

  /// Adds the counters of all parts to `page`.
  void AddMetrics(MetricsPage* page) const;

 private:
  PeerStack() = default;
  Result<void> Bind(const PeerStackOptions& options);
  Result<void> MakeMembership(const PeerStackOptions& options);
  Result<void> MakeDistributor(const PeerStackOptions& options);

  std::unique_ptr<TcpPeerTransport> m_tcp;
  std::unique_ptr<UdpTransport> m_udp;
  std::unique_ptr<Membership> m_membership;
  std::unique_ptr<ConfigDistributor> m_distributor;
};

}  // namespace chicoryvale

#endif  // CHICORYVALE_SRC_ADAPTERS_PEER_STACK_H_
