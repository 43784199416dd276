#ifndef CHICORYVALE_SRC_ADAPTERS_PEER_STACK_H_
#define CHICORYVALE_SRC_ADAPTERS_PEER_STACK_H_

#include <memory>
#include <string>
#include <vector>

#include "adapters/tcp_peer_transport.h"
#include "adapters/udp_transport.h"
#include "config/config_distributor.h"
#include "config/freshness_check.h"
#include "membership/membership.h"

namespace chicoryvale {

class EventLog;
class MetricsPage;

/// Settings of a PeerStack.
struct PeerStackOptions {
  /// IP address and port for TCP and UDP. Port 0 selects a port that is free
  /// for both.
  std::string listen;
  /// Shared secret; must not be empty. The daemons' settings require at least
  /// kMinKeyBytes bytes.
  std::string key;
  std::string availability_zone;
  MemberRole role = MemberRole::kEntry;
  /// Peer addresses of the control VMs.
  std::vector<Address> controls;
  /// Peer addresses through which this process joins the membership.
  std::vector<Address> seeds;
  /// Whether this process asks for a lease. Set it to false if the process does
  /// not divide limits by leases.
  bool keeps_lease = true;
  /// Maximum number of accepted TCP connections that are not authenticated yet.
  std::size_t max_unauthenticated_connections =
      TcpPeerOptions().max_unauthenticated_connections;
  /// Peers with which all communication is refused, so that tests can simulate
  /// network partitions.
  std::set<Address> refused_peers;
  /// Must outlive the stack.
  Scheduler* scheduler = nullptr;
  /// Receives the lines of the configuration distribution. May be null; must
  /// outlive the stack.
  EventLog* log = nullptr;
};

/// The components with which each process of the system communicates with its
/// peers: transports, membership and configuration distribution. Not thread
/// safe.
class PeerStack {
 public:
  /// Binds the transports, with the errors of TcpPeerTransport::Make and
  /// UdpTransport::Make. Sends nothing before Start.
  static Result<std::unique_ptr<PeerStack>> Make(
      const PeerStackOptions& options);

  /// Joins the membership and starts to distribute the configuration.
  void Start();

  /// Replaces the seeds through which this process joins the membership, and
  /// the control VMs from which it requests the configuration after a start.
  void SetSeedsAndControls(const std::vector<Address>& seeds,
                           const std::vector<Address>& controls);

  /// Announces that this process leaves the membership.
  void Leave() { m_membership->Leave(); }

  [[nodiscard]] const Address& LocalAddress() const {
    return m_tcp->LocalAddress();
  }
  [[nodiscard]] TcpPeerTransport* TcpTransport() { return m_tcp.get(); }
  [[nodiscard]] Membership* membership() { return m_membership.get(); }
  [[nodiscard]] ConfigDistributor* Distributor() { return m_distributor.get(); }
  /// Confirms the configuration that the daemon has reported with OnApplied.
  [[nodiscard]] FreshnessCheck* Freshness() { return m_freshness.get(); }

  /// Adds the counters of all components to `page`.
  void AddMetrics(MetricsPage* page) const;

 private:
  PeerStack() = default;
  Result<void> Bind(const PeerStackOptions& options);
  Result<void> MakeMembership(const PeerStackOptions& options);
  Result<void> MakeDistributor(const PeerStackOptions& options);
  void MakeFreshnessCheck(const PeerStackOptions& options);

  std::unique_ptr<TcpPeerTransport> m_tcp;
  std::unique_ptr<UdpTransport> m_udp;
  std::unique_ptr<Membership> m_membership;
  std::unique_ptr<ConfigDistributor> m_distributor;
  std::unique_ptr<FreshnessCheck> m_freshness;
};

}  // namespace chicoryvale

#endif  // CHICORYVALE_SRC_ADAPTERS_PEER_STACK_H_
