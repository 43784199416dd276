#include "chicory-controld/control_daemon.h"

#include <algorithm>
#include <random>
#include <utility>

#include "adapters/log.h"
#include "config/change_rules.h"
#include "endpoint/metrics_page.h"

namespace chicoryvale {
namespace {

std::uint64_t RandomSeed() {
  std::random_device device;
  constexpr int kHalfBits = 32;
  return (std::uint64_t{device()} << kHalfBits) | device();
}

constexpr Duration kMaxRolloutVersionAge = milliseconds(50);

ReplicaOptions MakeReplicaOptions(const ControlSettings& settings,
                                  const Address& self) {
  ReplicaOptions options;
  options.address = self;
  options.initial_members = settings.peers.controls;
  if (options.initial_members.empty()) options.initial_members = {self};
  options.may_form_group = settings.may_form_group;
  options.seed = RandomSeed();
  return options;
}

// Returns whether the replica counts towards the quorum. Only a committed
// membership is considered.
bool IsCommittedVoter(const ReplicaStatus& status) {
  return status.membership_committed &&
         std::ranges::any_of(
             status.membership.members, [&status](const GroupMember& member) {
               return member.voter && member.node_id == status.identity.node_id;
             });
}

// Logs the state that was found in the data folder at startup.
void LogStorageState(const ReplicaStatus& status) {
  const ReplicaIdentity& identity = status.identity;
  if (identity.replaces_damaged_state) {
    Log(LogLevel::kWarning, "damaged_state_set_aside");
  } else if (identity.group_id == 0) {
    Log(LogLevel::kWarning, "data_folder_without_state");
  } else {
    Log(LogLevel::kInfo, "state_opened",
        {{"term", std::to_string(status.term)},
         {"last_index", std::to_string(status.last_index)}});
  }
}

}  // namespace

ControlDaemon::ControlDaemon(ControlSettings settings)
    : m_settings(std::move(settings)),
      m_limits(DivideResources(m_settings.resources)),
      m_account(m_limits.caller_bytes) {}

ControlDaemon::~ControlDaemon() = default;

ExitCode ControlDaemon::Run() {
  InitLog("chicory-controld", m_settings.log_level, m_settings.log_target);
  ReturnFreedBuffers();
  if (auto started = Start(); !started) {
    Log(LogLevel::kError, "start_failed",
        {{"reason", started.error().message}});
    return ExitCode::kRunFailed;
  }
  std::vector<ReadyAddress> addresses = {
      {"peers", m_peers->LocalAddress().host_port},
      {"metrics", m_metrics_server->LocalAddress().host_port}};
  if (m_operator_server) {
    addresses.push_back(
        {"operators", m_operator_server->LocalAddress().host_port});
  }
  if (m_routing_server) {
    addresses.push_back(
        {"routing", m_routing_server->LocalAddress().host_port});
  }
  return m_loop.Run(addresses, Shutdown());
}

Result<void> ControlDaemon::Start() {
  if (auto ok = StartPeers(); !ok) return ok;
  if (auto ok = StartReplica(); !ok) return ok;
  if (!m_settings.listen_operators.empty()) {
    if (auto ok = StartOperators(); !ok) return ok;
  }
  if (!m_settings.listen_routing.empty()) {
    if (auto ok = StartRouting(); !ok) return ok;
  }
  if (auto ok = StartMetrics(); !ok) return ok;
  m_peers->Start();
  if (m_settings.keep_members) StartReconciler();
  return {};
}

Result<void> ControlDaemon::StartPeers() {
  PeerStackOptions options = m_settings.peers;
  options.max_unauthenticated_connections =
      m_limits.unauthenticated_peer_connections;
  options.scheduler = &m_scheduler;
  options.log = &m_log;
  auto peers = PeerStack::Make(options);
  if (!peers) return tl::unexpected(peers.error());
  m_peers = std::move(*peers);
  m_rollout_tracker = std::make_unique<RolloutTracker>(
      RolloutOptions{.scheduler = &m_scheduler,
                     .members = m_peers->membership(),
                     .gossip = m_peers->membership(),
                     .transport = m_peers->TcpTransport(),
                     .max_version_age = kMaxRolloutVersionAge});
  return {};
}

Result<void> ControlDaemon::StartReplica() {
  auto storage = DiskStorage::Make(m_settings.data_folder);
  if (!storage) return tl::unexpected(storage.error());
  m_storage = std::move(*storage);
  auto group = ReplicatedControlGroup::Make(
      MakeReplicaOptions(m_settings, m_peers->LocalAddress()),
      {.scheduler = &m_scheduler,
       .storage = m_storage.get(),
       .peers = m_peers->TcpTransport(),
       .rules = &m_rules});
  if (!group) return tl::unexpected(group.error());
  m_group = std::move(*group);
  LogStorageState(m_group->Node().Status());
  m_group->SetFailureCallback(
      [this](const Error& error) { OnStorageFailed(error); });
  m_group->SetNodesProvider([this] { return Nodes(); });
  m_group->SetRefreshCallback([this](std::function<void()> done) {
    m_rollout_tracker->Refresh(std::move(done));
  });
  m_group->SetConfigCallback([this](const ClusterConfig& config) {
    m_peers->Distributor()->Offer(config);
  });
  m_peers->Distributor()->Offer(m_group->Config());
  m_peers->Distributor()->SetKnownVersionCallback(
      [this] { return m_group->HighestLoggedVersion(); });
  m_peers->Distributor()->SetGroupViewCallback(
      [this] { return m_group->GroupView(); });
  m_version_service = std::make_unique<VersionService>(
      m_group.get(), m_peers->TcpTransport(), m_peers->LocalAddress());
  m_peers->Distributor()->SetConfirmVersion(
      [this](bool may_forward, ConfigDistributor::VersionCallback callback) {
        m_version_service->Confirm(may_forward, std::move(callback));
      });
  m_claim_service = std::make_unique<ClaimService>(m_group.get(), &m_clock,
                                                   m_peers->TcpTransport());
  return {};
}

std::vector<NodeConfigStatus> ControlDaemon::Nodes() const {
  std::vector<NodeConfigStatus> nodes = m_rollout_tracker->Nodes();
  const auto self = std::ranges::find(nodes, m_peers->LocalAddress(),
                                      &NodeConfigStatus::address);
  if (self != nodes.end()) {
    self->version = m_group->Config().version;
    self->reachable = true;
    self->age = Duration::zero();
  }
  return nodes;
}

void ControlDaemon::OnStorageFailed(const Error& error) {
  Log(LogLevel::kError, "storage_failed", {{"reason", error.message}});
  m_loop.Fail();
}

Result<void> ControlDaemon::StartOperators() {
  SoupHttpServerOptions options;
  options.bind = {m_settings.listen_operators};
  options.account = &m_account;
  options.max_connections =
      static_cast<std::uint32_t>(m_limits.operator_connections);
  auto server = SoupHttpServer::Make(options);
  if (!server) return tl::unexpected(server.error());
  m_operator_server = std::move(*server);
  m_operator_endpoint = std::make_unique<OperatorEndpoint>(
      m_group.get(), m_settings.operator_token);
  m_operator_server->SetHandler(
      [this](const HttpRequest& request, HttpResponder respond) {
        m_operator_endpoint->Handle(request, std::move(respond));
      });
  return {};
}

Result<void> ControlDaemon::StartRouting() {
  m_routing_service = std::make_unique<RoutingService>(
      RoutingService::Dependencies{.scheduler = &m_scheduler,
                                   .group = m_group.get(),
                                   .transport = m_peers->TcpTransport(),
                                   .log = &m_log},
      m_peers->LocalAddress(), RandomSeed());
  m_routing_endpoint = std::make_unique<platform::RoutingEndpoint>(
      m_routing_service.get(), &m_log);
  BeastHttpServerOptions options;
  options.poller = &m_poller;
  options.scheduler = &m_scheduler;
  options.bind = {m_settings.listen_routing};
  options.max_connections =
      std::min(options.max_connections, m_limits.caller_connections);
  options.account = &m_account;
  options.limits.max_body_bytes = kMaxRoutingDocumentBytes;
  auto server = BeastHttpServer::Make(options);
  if (!server) return tl::unexpected(server.error());
  m_routing_server = std::move(*server);
  m_routing_server->SetHandler(
      [this](const HttpRequest& request, const HttpResponder& respond) {
        m_routing_endpoint->Handle(request, respond);
      });
  m_routing_server->SetDisconnectHandler([this](std::uint64_t connection) {
    m_routing_endpoint->OnDisconnected(connection);
  });
  return {};
}

void ControlDaemon::StartReconciler() {
  m_reconciler = std::make_unique<ControlGroupReconciler>(
      ControlGroupReconciler::Dependencies{.scheduler = &m_scheduler,
                                           .members = m_peers->membership(),
                                           .group = m_group.get(),
                                           .log = &m_log},
      [this] { return m_group->Node().Status(); });
  m_reconciler->Start();
}

Result<void> ControlDaemon::StartMetrics() {
  SoupHttpServerOptions options;
  options.bind = {m_settings.listen_metrics};
  options.account = &m_account;
  options.max_connections =
      static_cast<std::uint32_t>(m_limits.monitoring_connections);
  auto server = SoupHttpServer::Make(options);
  if (!server) return tl::unexpected(server.error());
  m_metrics_server = std::move(*server);
  m_metrics_server->SetHandler(
      [this](const HttpRequest&, const HttpResponder& respond) {
        respond(MetricsResponse());
      });
  return {};
}

HttpResponse ControlDaemon::MetricsResponse() const {
  MetricsPage page;
  page.AddValue("control", "config_version", m_group->Config().version)
      .AddValue("control", "voter",
                IsCommittedVoter(m_group->Node().Status()) ? 1 : 0)
      .AddValue("control", "evacuated_zones",
                m_group->Config().evacuated_zones.size())
      .Add("control", m_group->Node().Counters());
  if (m_operator_endpoint) page.Add("refused", m_operator_endpoint->Errors());
  if (m_routing_server) {
    page.AddValue("routing", "held_bytes", m_account.HeldBytes())
        .AddValue("routing", "held_bytes_peak", m_account.PeakBytes())
        .AddValue("routing", "held_bytes_limit", m_account.LimitBytes())
        .Add("routing", m_routing_server->Counters());
  }
  m_peers->AddMetrics(&page);
  return page.Response();
}

ShutdownSteps ControlDaemon::Shutdown() {
  ShutdownSteps steps;
  steps.withdraw_readiness = [] {};
  steps.linger = m_settings.linger;
  steps.stop_accepting = [this] {
    if (m_operator_server) {
      m_operator_endpoint->StopAccepting();
      m_operator_server->StopAccepting();
    }
    if (m_routing_server) m_routing_server->StopAccepting();
    if (m_settings.keep_members) m_peers->Leave();
  };
  steps.close_idle = [this] {
    if (m_routing_server) m_routing_server->CloseConnectionsWhenIdle();
  };
  steps.in_flight = [this] {
    return (m_operator_server ? m_operator_server->InFlight() : 0) +
           (m_routing_server ? m_routing_server->InFlight() : 0);
  };
  return steps;
}

}  // namespace chicoryvale
