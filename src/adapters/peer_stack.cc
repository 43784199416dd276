#include "adapters/peer_stack.h"

#include <random>
#include <utility>

#include "adapters/system_wall_clock.h"
#include "endpoint/metrics_page.h"

namespace chicoryvale {
namespace {

// A free TCP port may be in use for UDP. Binding both to port 0 may therefore
// take several attempts.
constexpr int kMaxBindAttempts = 16;

std::uint64_t RandomSeed() {
  std::random_device device;
  constexpr int kHalfBits = 32;
  return (std::uint64_t{device()} << kHalfBits) | device();
}

}  // namespace

Result<std::unique_ptr<PeerStack>> PeerStack::Make(
    const PeerStackOptions& options) {
  std::unique_ptr<PeerStack> stack(new PeerStack());
  Result<void> bound;
  for (int attempt = 0; attempt < kMaxBindAttempts; ++attempt) {
    bound = stack->Bind(options);
    if (bound) break;
  }
  if (!bound) return tl::unexpected(bound.error());
  if (auto ok = stack->MakeMembership(options); !ok) {
    return tl::unexpected(ok.error());
  }
  if (auto ok = stack->MakeDistributor(options); !ok) {
    return tl::unexpected(ok.error());
  }
  stack->MakeFreshnessCheck(options);
  return stack;
}

Result<void> PeerStack::Bind(const PeerStackOptions& options) {
  TcpPeerOptions tcp;
  tcp.bind = {options.listen};
  tcp.key = options.key;
  tcp.scheduler = options.scheduler;
  tcp.refused_peers = options.refused_peers;
  tcp.max_unauthenticated_connections = options.max_unauthenticated_connections;
  auto tcp_transport = TcpPeerTransport::Make(std::move(tcp));
  if (!tcp_transport) return tl::unexpected(tcp_transport.error());
  UdpOptions udp;
  udp.bind = (*tcp_transport)->LocalAddress();
  udp.key = options.key;
  udp.refused_peers = options.refused_peers;
  auto udp_transport = UdpTransport::Make(std::move(udp));
  if (!udp_transport) return tl::unexpected(udp_transport.error());
  m_tcp = std::move(*tcp_transport);
  m_udp = std::move(*udp_transport);
  return {};
}

Result<void> PeerStack::MakeMembership(const PeerStackOptions& options) {
  MembershipOptions membership;
  membership.self = {LocalAddress().host_port, LocalAddress(),
                     options.availability_zone, options.role};
  membership.incarnation = SystemWallClock().UnixMs();
  membership.seeds = options.seeds;
  membership.random_seed = RandomSeed();
  membership.scheduler = options.scheduler;
  membership.transport = m_udp.get();
  membership.keeps_lease = options.keeps_lease;
  auto result = Membership::Make(std::move(membership));
  if (!result) return tl::unexpected(result.error());
  m_membership = std::move(*result);
  return {};
}

Result<void> PeerStack::MakeDistributor(const PeerStackOptions& options) {
  DistributorOptions distributor;
  distributor.role = options.role;
  distributor.recovery.control_addresses = options.controls;
  distributor.recovery.scheduler = options.scheduler;
  distributor.recovery.transport = m_tcp.get();
  distributor.recovery.gossip = m_membership.get();
  distributor.availability_zone = options.availability_zone;
  distributor.random_seed = RandomSeed();
  distributor.log = options.log;
  auto result = ConfigDistributor::Make(std::move(distributor));
  if (!result) return tl::unexpected(result.error());
  m_distributor = std::move(*result);
  return {};
}

void PeerStack::MakeFreshnessCheck(const PeerStackOptions& options) {
  FreshnessOptions freshness;
  freshness.scheduler = options.scheduler;
  freshness.transport = m_tcp.get();
  freshness.members = m_membership.get();
  freshness.control_addresses = options.controls;
  freshness.random_seed = RandomSeed();
  m_freshness = std::make_unique<FreshnessCheck>(
      std::move(freshness),
      [this](const Address& from, const ConfigDigest& digest) {
        m_distributor->OnDigest(from, digest);
      });
}

void PeerStack::Start() {
  m_membership->Start();
  m_distributor->Start();
}

void PeerStack::SetSeedsAndControls(const std::vector<Address>& seeds,
                                    const std::vector<Address>& controls) {
  m_membership->SetSeeds(seeds);
  m_distributor->SetControlAddresses(controls);
  m_freshness->SetControlAddresses(controls);
}

void PeerStack::AddMetrics(MetricsPage* page) const {
  page->Add("peer", m_tcp->counters())
      .Add("datagram", m_udp->counters())
      .Add("peers", m_membership->counters())
      .Add("peers", m_distributor->counters())
      .Add("peers", m_freshness->Counters())
      .AddValue("peers", "members", m_membership->Members().size())
      .AddValue("peers", "config_highest_known_version",
                m_distributor->Lag().HighestVersion())
      .AddValue(
          "peers", "config_behind_ms",
          static_cast<std::uint64_t>(std::chrono::duration_cast<milliseconds>(
                                         m_distributor->BehindFor())
                                         .count()));
}

}  // namespace chicoryvale
