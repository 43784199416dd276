#include "chicory-entryd/entry_daemon.h"

#include <algorithm>
#include <iterator>
#include <random>
#include <string>
#include <utility>
#include <vector>

#include "adapters/log.h"
#include "endpoint/error_response.h"
#include "endpoint/metrics_page.h"

namespace chicoryvale {
namespace {

constexpr char kReadyPath[] = "/ready";
constexpr char kMetricsPath[] = "/metrics";
constexpr Duration kClaimHandoverTimeout = seconds(5);

}  // namespace

EntryDaemon::EntryDaemon(EntrySettings settings)
    : m_settings(std::move(settings)),
      m_limits(DivideResources(m_settings.resources)),
      m_account(m_limits.caller_bytes) {}

EntryDaemon::~EntryDaemon() = default;

ExitCode EntryDaemon::Run() {
  InitLog("chicory-entryd", m_settings.log_level);
  ReturnFreedBuffers();
  if (auto started = Start(); !started) {
    Log(LogLevel::kError, "start_failed",
        {{"reason", started.error().message}});
    return ExitCode::kRunFailed;
  }
  return m_loop.Run({{"callers", m_caller_server->LocalAddress().host_port},
                     {"peers", m_peers->LocalAddress().host_port},
                     {"metrics", m_metrics_server->LocalAddress().host_port}},
                    Shutdown());
}

Result<void> EntryDaemon::Start() {
  if (auto ok = StartPeers(); !ok) return ok;
  StartQueryPath();
  if (auto ok = StartCallers(); !ok) return ok;
  if (auto ok = StartMetrics(); !ok) return ok;
  if (auto ok = StartPlatformPoller(); !ok) return ok;
  m_peers->Start();
  m_gate_gossip->Start();
  return {};
}

Result<void> EntryDaemon::StartPeers() {
  PeerStackOptions options = m_settings.peers;
  options.max_unauthenticated_connections =
      m_limits.unauthenticated_peer_connections;
  options.scheduler = &m_scheduler;
  options.log = &m_log;
  auto peers = PeerStack::Make(options);
  if (!peers) return tl::unexpected(peers.error());
  m_peers = std::move(*peers);
  m_peers->Distributor()->SetListener(
      [this](const ClusterConfig& config, ConfigStatus status) {
        ApplyConfig(config, status == ConfigStatus::kConfirmed
                                ? ConfigTrust::kConfirmed
                                : ConfigTrust::kUnconfirmed);
      });
  return {};
}

void EntryDaemon::StartQueryPath() {
  std::random_device device;
  UpstreamGateOptions gate;
  gate.scheduler = &m_scheduler;
  gate.seed = device();
  gate.availability_zone = m_settings.peers.availability_zone;
  gate.share.seats = m_settings.entry_seats;
  m_gate = UpstreamGate::Make(gate);
  m_gate->UpdateMembers(*m_peers->membership());
  m_peers->membership()->AddListener(
      [this] { m_gate->UpdateMembers(*m_peers->membership()); });
  m_gate_gossip = std::make_unique<GateGossip>(
      m_gate.get(), m_peers->membership(), &m_scheduler,
      m_peers->LocalAddress().host_port);
  m_transport = std::make_unique<SoupUpstreamTransport>(
      SoupUpstreamTransportOptions{.scheduler = &m_scheduler});
  m_gate->SetDeadConnectionListener([this](const Address& replica) {
    m_transport->RenewConnections(replica);
  });
  QueryEngine::Options engine;
  engine.scheduler = &m_scheduler;
  engine.transport = m_transport.get();
  engine.gate = m_gate.get();
  engine.random_seed = device();
  m_engine = std::make_unique<QueryEngine>(engine);
  StartClaims();
  m_at_most_once_runner =
      std::make_unique<AtMostOnceRunner>(m_at_most_once_guard.get());
  m_admission = std::make_unique<AdmissionRunner>(&m_scheduler,
                                                  m_at_most_once_runner.get());
  m_caller_endpoint = std::make_unique<CallerEndpoint>(m_admission.get());
  m_caller_endpoint->SetFreshness(m_peers->Freshness(), &m_scheduler);
}

Result<void> EntryDaemon::StartPlatformPoller() {
  if (m_settings.platform_list.empty()) return {};
  auto poller = PlatformPoller::Make(
      {.source = m_settings.platform_list, .scheduler = &m_scheduler});
  if (!poller) return tl::unexpected(poller.error());
  m_platform_poller = std::move(*poller);
  m_platform_poller->SetListener([this](const std::vector<PlatformVm>& vms) {
    std::vector<PlatformReplica> replicas;
    std::ranges::transform(
        vms, std::back_inserter(replicas), [](const PlatformVm& vm) {
          return PlatformReplica{vm.address,
                                 vm.state == PlatformVmState::kLeaving};
        });
    m_gate->Availability()->OnPlatformList(replicas, m_scheduler.Now());
  });
  return {};
}

void EntryDaemon::StartClaims() {
  ClaimClientOptions claims;
  claims.scheduler = &m_scheduler;
  claims.transport = m_peers->TcpTransport();
  claims.control_addresses = m_settings.peers.controls;
  // The random suffix differs at each start, so that a claim of an earlier run
  // is never mistaken for one of this run.
  claims.entry_id = m_peers->LocalAddress().host_port + "/" +
                    std::to_string(std::random_device()());
  m_claim_client = std::make_unique<ClaimClient>(std::move(claims));
  m_at_most_once_guard = std::make_unique<AtMostOnceGuard>(
      &m_scheduler, m_engine.get(), m_claim_client.get());
}

Result<void> EntryDaemon::StartCallers() {
  SoupHttpServerOptions options;
  options.bind = {m_settings.listen_callers};
  options.max_body_bytes = m_settings.max_body_bytes;
  options.max_connections = static_cast<std::uint32_t>(std::min<std::size_t>(
      m_settings.max_connections, m_limits.caller_connections));
  options.account = &m_account;
  auto server = SoupHttpServer::Make(options);
  if (!server) return tl::unexpected(server.error());
  m_caller_server = std::move(*server);
  m_caller_server->SetHandler(
      [this](const HttpRequest& request, HttpResponder respond) {
        HandleCaller(request, std::move(respond));
      });
  return {};
}

Result<void> EntryDaemon::StartMetrics() {
  SoupHttpServerOptions options;
  options.bind = {m_settings.listen_metrics};
  options.account = &m_account;
  options.max_connections =
      static_cast<std::uint32_t>(m_limits.monitoring_connections);
  auto server = SoupHttpServer::Make(options);
  if (!server) return tl::unexpected(server.error());
  m_metrics_server = std::move(*server);
  m_metrics_server->SetHandler(
      [this](const HttpRequest& request, const HttpResponder& respond) {
        HandleMetrics(request, respond);
      });
  return {};
}

void EntryDaemon::ApplyConfig(const ClusterConfig& config, ConfigTrust trust) {
  if (auto ok = m_caller_endpoint->SetConfig(config, trust); !ok) {
    Log(LogLevel::kError, "schema_refused", {{"reason", ok.error().message}});
    return;
  }
  m_admission->SetSchema(*m_caller_endpoint->CurrentSchema());
  m_gate->ApplyConfig(config);
  m_engine->SetConfig(config);
  m_peers->Freshness()->OnApplied(config.version);
  m_config_version = config.version;
  m_ready = true;
  Log(LogLevel::kInfo, "configuration_in_force",
      {{"version", std::to_string(config.version)}});
}

void EntryDaemon::HandleCaller(const HttpRequest& request,
                               HttpResponder respond) {
  if (request.path == kReadyPath) return respond(ReadinessResponse());
  m_caller_endpoint->Handle(request, std::move(respond));
}

void EntryDaemon::HandleMetrics(const HttpRequest& request,
                                const HttpResponder& respond) {
  if (request.path == kMetricsPath) return respond(MetricsResponse());
  if (request.path == kReadyPath) return respond(ReadinessResponse());
  respond(ErrorResponse(
      MakeError(ErrorKind::kUnknownEndpoint, "path " + request.path).value()));
}

HttpResponse EntryDaemon::ReadinessResponse() const {
  HttpResponse response;
  response.status = m_ready ? 200 : 503;
  response.body = m_ready ? R"({"ready":true})" : R"({"ready":false})";
  return response;
}

HttpResponse EntryDaemon::MetricsResponse() const {
  MetricsPage page;
  page.AddValue("entry", "requests", m_caller_endpoint->RequestCount())
      .AddValue("entry", "answers", m_caller_endpoint->AnswerCount())
      .AddValue("entry", "in_flight", m_engine->InFlight())
      .AddValue("entry", "config_version", m_config_version)
      .Add("refused", m_caller_endpoint->Errors())
      .Add("query", m_engine->Counters())
      .Add("admission", m_admission->Counters())
      .Add("once", m_at_most_once_guard->Counters())
      .Add("claims", m_claim_client->Counters())
      .AddValue("claims", "pending", m_claim_client->Pending())
      .Add("upstream", m_gate->Counters())
      .Add("callers", m_caller_server->Counters())
      .Add("transport", m_transport->Counters());
  m_peers->AddMetrics(&page);
  if (m_platform_poller) page.Add("entry", m_platform_poller->counters());
  return page.Response();
}

ShutdownSteps EntryDaemon::Shutdown() {
  ShutdownSteps steps;
  steps.withdraw_readiness = [this] { m_ready = false; };
  steps.linger = m_settings.linger;
  steps.stop_accepting = [this] {
    m_caller_endpoint->StopAccepting();
    m_caller_server->StopAccepting();
    m_peers->Leave();
    m_claim_handover_deadline = m_scheduler.Now() + kClaimHandoverTimeout;
  };
  // Shutdown also waits for claims that are still to be released or recorded at
  // the control group. The wait is bounded, as the control group may be
  // unavailable.
  steps.in_flight = [this] {
    const bool handing_over = m_scheduler.Now() < m_claim_handover_deadline;
    return m_caller_server->InFlight() +
           (handing_over ? static_cast<std::uint32_t>(m_claim_client->Pending())
                         : 0);
  };
  return steps;
}

}  // namespace chicoryvale
