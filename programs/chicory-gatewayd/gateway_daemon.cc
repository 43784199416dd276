#include "chicory-gatewayd/gateway_daemon.h"

#include <algorithm>
#include <random>
#include <utility>

#include "endpoint/error_response.h"
#include "endpoint/metrics_page.h"
#include "platform/caller_codec.h"
#include "platform/routing_codec.h"
#include "routing/limit_shares.h"

namespace chicoryvale {
namespace {

constexpr int kStatusUnavailable = 503;

/// Percentage of the grace period within which the shutdown completes. The rest
/// allows for slow timers and the exit of the process.
constexpr int kShutdownGracePercent = 92;
constexpr int kPercent = 100;
constexpr double kPermille = 1000;

std::unordered_map<std::string, ReplicaWarmup> WarmupsOf(
    const RoutingConfig& config) {
  std::unordered_map<std::string, ReplicaWarmup> warmups;
  for (const RoutedService& service : config.services) {
    if (service.warmup == Duration::zero()) continue;
    warmups[service.name] = {service.warmup, service.max_warmup_requests_per_s};
  }
  return warmups;
}

std::uint64_t RandomSeed() {
  std::random_device device;
  constexpr int kHalfBits = 32;
  return (std::uint64_t{device()} << kHalfBits) | device();
}

}  // namespace

GatewayDaemon::GatewayDaemon(GatewaySettings settings, std::string config_path)
    : m_settings(std::move(settings)),
      m_limits(DivideResources(m_settings.resources)),
      m_account(m_limits.caller_bytes),
      m_settings_watch(
          &m_scheduler, std::move(config_path),
          [this](SettingsReader& reader) {
            m_reread_settings = ReadGatewaySettings(reader);
          },
          [this] { AdoptSettings(); }) {}

GatewayDaemon::~GatewayDaemon() = default;

ExitCode GatewayDaemon::Run() {
  InitLog("chicory-gatewayd", m_settings.log_level, m_settings.log_target);
  ReturnFreedBuffers();
  if (auto started = Start(); !started) {
    Log(LogLevel::kError, "start_failed",
        {{"reason", started.error().message}});
    return ExitCode::kRunFailed;
  }
  return m_loop.Run({{"callers", m_caller_server->LocalAddress().host_port},
                     {"ready", m_ready_server->LocalAddress().host_port},
                     {"peers", m_peers->LocalAddress().host_port},
                     {"metrics", m_metrics_server->LocalAddress().host_port}},
                    Shutdown());
}

Result<void> GatewayDaemon::Start() {
  if (auto ok = StartPeers(); !ok) return ok;
  StartRouting();
  if (auto ok = StartServers(); !ok) return ok;
  m_peers->Start();
  m_replica_list_sync->Start();
  m_settings_watch.Start();
  LogSettings();
  return {};
}

void GatewayDaemon::LogSettings() const {
  const RetryBudgetOptions& budget = m_settings.retry_budget;
  Log(LogLevel::kInfo, "settings_in_force",
      {{"drain_ms", MillisecondsText(m_settings.replica_list.drain_time)},
       {"grace_ms", MillisecondsText(m_settings.grace)},
       {"retry_ratio", std::to_string(budget.ratio)},
       {"retry_window_ms", MillisecondsText(budget.window)},
       {"fixed_retries", std::to_string(budget.fixed_retries)},
       {"memory_mb", std::to_string(m_settings.resources.memory_bytes >> 20)},
       {"max_fds", std::to_string(m_settings.resources.max_fds)}});
}

Result<void> GatewayDaemon::StartPeers() {
  PeerStackOptions options = m_settings.peers;
  options.max_unauthenticated_connections =
      m_limits.unauthenticated_peer_connections;
  options.scheduler = &m_scheduler;
  options.log = &m_log;
  // Limits are divided among all entries that may be running, with or without a
  // lease, so this process needs no lease.
  options.keeps_lease = false;
  auto peers = PeerStack::Make(options);
  if (!peers) return tl::unexpected(peers.error());
  m_peers = std::move(*peers);
  m_peers->Distributor()->SetListener(
      [this](const ClusterConfig& config, ConfigStatus /*status*/) {
        ApplyConfig(config);
      });
  return {};
}

void GatewayDaemon::StartRouting() {
  m_http_client = std::make_unique<BeastHttpClient>(
      BeastHttpClientOptions{.poller = &m_poller,
                             .scheduler = &m_scheduler,
                             .max_buffered_bytes = m_limits.response_bytes,
                             .account = &m_account,
                             .max_connections = m_limits.replica_connections});
  m_replica_transport = std::make_unique<platform::HttpReplicaTransport>(
      m_http_client.get(), &m_log);
  m_replica_directory = std::make_unique<platform::HttpReplicaDirectory>(
      m_http_client.get(), &m_log, Address{m_settings.replica_list_address});
  m_replica_pool = std::make_unique<ReplicaPool>(
      m_settings.peers.availability_zone, RandomSeed());
  m_replica_pool->SetZoneOverflow(m_settings.zone_overflow);
  m_send_tracker = std::make_unique<SendTracker>(
      &m_scheduler, m_replica_transport.get(), m_replica_pool.get(), &m_log);
  m_retry_budget =
      std::make_unique<RetryBudget>(m_settings.retry_budget, m_scheduler.Now());
  m_relay_client = std::make_unique<RelayClient>(
      RelayClient::Ports{.scheduler = &m_scheduler,
                         .peers = m_peers->TcpTransport(),
                         .members = m_peers->membership()},
      RandomSeed());
  m_crash_guard = std::make_unique<CrashGuard>(
      CrashGuard::Ports{.scheduler = &m_scheduler,
                        .gossip = m_peers->membership(),
                        .log = &m_log,
                        .members = m_peers->membership()},
      m_peers->LocalAddress().host_port + "/" + std::to_string(RandomSeed()));
  m_crash_guard->Start();
  m_quota_client = std::make_unique<QuotaClient>(
      QuotaClient::Ports{.scheduler = &m_scheduler,
                         .peers = m_peers->TcpTransport(),
                         .members = m_peers->membership(),
                         .gossip = m_peers->membership()},
      m_settings.quota);
  m_zone_admission = std::make_unique<ZoneAdmissionClient>(
      ZoneAdmissionClient::Ports{.scheduler = &m_scheduler,
                                 .peers = m_peers->TcpTransport(),
                                 .members = m_peers->membership(),
                                 .gossip = m_peers->membership()},
      RandomSeed());
  const RoutingContext routing_context{
      .scheduler = &m_scheduler,
      .sends = m_send_tracker.get(),
      .pool = m_replica_pool.get(),
      .budget = m_retry_budget.get(),
      .log = &m_log,
      .counters = &m_counters,
      .latencies = &m_latencies,
      .relay = m_relay_client.get(),
      .crash_guard = m_crash_guard.get(),
      .quota = m_quota_client.get(),
      .zone_admission =
          m_settings.admits_by_zone ? m_zone_admission.get() : nullptr};
  m_router = std::make_unique<Router>(routing_context, RandomSeed(),
                                      m_peers->Freshness());
  m_relay_service =
      std::make_unique<RelayService>(routing_context, m_peers->TcpTransport());
  m_replica_list_sync = std::make_unique<ReplicaListSync>(
      ReplicaListSync::Ports{.scheduler = &m_scheduler,
                             .directory = m_replica_directory.get(),
                             .peers = m_peers->TcpTransport(),
                             .members = m_peers->membership(),
                             .log = &m_log},
      m_settings.replica_list, RandomSeed());
  m_replica_list_sync->SetListener(
      [this](const std::vector<ListedReplica>& replicas) {
        m_replica_pool->SetReplicas(replicas, m_scheduler.Now());
      });
  m_replica_list_sync->SetConfirmListener(
      [this] { m_replica_pool->ConfirmReplicas(m_scheduler.Now()); });
  UpdateLimitShares();
  m_peers->membership()->AddListener([this] { UpdateLimitShares(); });
}

// Sets this entry's shares of the limits that apply to all entries together:
// the fixed number of retries, and the connections and requests that each
// replica accepts.
void GatewayDaemon::UpdateLimitShares() {
  const std::uint32_t entry_count = CountLimitSharers(*m_peers->membership());
  m_retry_budget->SetEntryCount(entry_count);
  m_replica_pool->SetRateSharers(ListRateSharers(*m_peers->membership()),
                                 m_scheduler.Now());
  if (!m_routing_config) return;
  for (const RoutedService& service : m_routing_config->services) {
    if (service.max_connections == 0) continue;
    m_replica_pool->SetConnectionShare(
        service.name,
        ReplicaConnectionShare(service.max_connections, entry_count));
  }
}

Result<void> GatewayDaemon::StartServers() {
  auto callers =
      MakeServer(m_settings.listen_callers,
                 std::min<std::size_t>(m_settings.max_connections,
                                       m_limits.caller_connections),
                 [this](HttpRequest request, const HttpResponder& respond) {
                   HandleCallerRequest(std::move(request), respond);
                 });
  if (!callers) return tl::unexpected(callers.error());
  m_caller_server = std::move(*callers);
  m_caller_server->SetDisconnectHandler(
      [this](std::uint64_t connection) { OnCallerDisconnected(connection); });
  auto ready = MakeServer(
      m_settings.listen_ready, m_limits.monitoring_connections,
      [this](const HttpRequest& /*request*/, const HttpResponder& respond) {
        respond(ReadinessResponse());
      });
  if (!ready) return tl::unexpected(ready.error());
  m_ready_server = std::move(*ready);
  auto metrics = MakeServer(
      m_settings.listen_metrics, m_limits.monitoring_connections,
      [this](const HttpRequest& /*request*/, const HttpResponder& respond) {
        respond(MetricsResponse());
      });
  if (!metrics) return tl::unexpected(metrics.error());
  m_metrics_server = std::move(*metrics);
  return {};
}

Result<std::unique_ptr<BeastHttpServer>> GatewayDaemon::MakeServer(
    const std::string& address, std::size_t max_connections,
    HttpServer::Handler handler) {
  BeastHttpServerOptions options;
  options.poller = &m_poller;
  options.scheduler = &m_scheduler;
  options.bind = {address};
  options.max_connections = max_connections;
  options.account = &m_account;
  options.freshness = m_peers->Freshness();
  auto server = BeastHttpServer::Make(options);
  if (server) (*server)->SetHandler(std::move(handler));
  return server;
}

// Applies the settings that can change without a restart: the seeds, the
// control VMs, the ratio and the fixed number of the retry budget, the drain
// time, and the period and the address of the replica list. All other changes
// need a restart. Of these, only changes of listeners, zone and key are logged.
void GatewayDaemon::AdoptSettings() {
  const GatewaySettings& new_settings = m_reread_settings;
  const bool restart_settings_unchanged =
      new_settings.listen_callers == m_settings.listen_callers &&
      new_settings.listen_ready == m_settings.listen_ready &&
      new_settings.listen_metrics == m_settings.listen_metrics &&
      new_settings.peers.listen == m_settings.peers.listen &&
      new_settings.peers.availability_zone ==
          m_settings.peers.availability_zone &&
      new_settings.peers.key == m_settings.peers.key;
  m_peers->SetSeedsAndControls(new_settings.peers.seeds,
                               new_settings.peers.controls);
  m_retry_budget->SetRetryLimits(new_settings.retry_budget.ratio,
                                 new_settings.retry_budget.fixed_retries);
  m_replica_list_sync->SetTimes(new_settings.replica_list.period,
                                new_settings.replica_list.drain_time);
  m_replica_directory->SetAddress({new_settings.replica_list_address});
  Log(LogLevel::kInfo, "settings_adopted",
      {{"controls", std::to_string(new_settings.peers.controls.size())},
       {"replica_list", new_settings.replica_list_address},
       {"needs_restart",
        restart_settings_unchanged ? "" : "listen, peers, zone or key"}});
}

void GatewayDaemon::ApplyEvacuations(const std::vector<std::string>& zones) {
  if (m_evacuated_zones == zones) return;
  m_evacuated_zones = zones;
  m_replica_pool->SetEvacuatedZones(zones, m_scheduler.Now());
  std::string names;
  for (const std::string& zone : zones) {
    names += (names.empty() ? "" : ",") + zone;
  }
  Log(LogLevel::kInfo, "evacuations_in_force", {{"availability_zones", names}});
}

void GatewayDaemon::ApplyConfig(const ClusterConfig& config) {
  ApplyEvacuations(config.evacuated_zones);
  if (config.routing.version <= m_router->ConfigVersion()) {
    return m_peers->Freshness()->OnApplied(config.version);
  }
  auto routing = m_routing_decoder.Decode(config.routing.text);
  if (!routing) {
    // A control VM has checked the configuration before accepting it, so this
    // error is not expected.
    Log(LogLevel::kError, "configuration_unreadable",
        {{"version", std::to_string(config.routing.version)},
         {"reason", routing.error().message}});
    return;
  }
  const CallerLimits& limits = routing->limits;
  m_caller_server->SetLimits({.max_header_bytes = limits.max_header_bytes,
                              .max_body_bytes = limits.max_body_bytes,
                              .header_timeout = limits.header_timeout,
                              .idle_timeout = limits.idle_timeout});
  m_routing_config = std::make_shared<const RoutingConfig>(std::move(*routing));
  m_router->SetConfig(m_routing_config);
  m_replica_pool->SetWarmups(WarmupsOf(*m_routing_config), m_scheduler.Now());
  UpdateLimitShares();
  Log(LogLevel::kInfo, "configuration_in_force",
      {{"version", std::to_string(m_router->ConfigVersion())}});
  m_peers->Freshness()->OnApplied(config.version);
}

void GatewayDaemon::HandleCallerRequest(HttpRequest request,
                                        const HttpResponder& respond) {
  const std::uint64_t connection = request.connection;
  const auto routed = platform::DecodeCallerRequest(std::move(request));
  if (!routed) {
    Log(LogLevel::kWarning, "request_malformed",
        {{"reason", routed.error().message}});
    return respond(ErrorResponse(routed.error()));
  }
  const std::uint64_t query = m_router->Handle(
      *routed, [this, connection, respond](RoutedAnswer answer) {
        m_query_by_connection.erase(connection);
        respond(platform::EncodeCallerAnswer(std::move(answer)));
      });
  if (query != 0) m_query_by_connection[connection] = query;
}

void GatewayDaemon::OnCallerDisconnected(std::uint64_t connection) {
  const auto query = m_query_by_connection.extract(connection);
  if (!query.empty()) m_router->CancelOnDisconnect(query.mapped());
}

HttpResponse GatewayDaemon::ReadinessResponse() const {
  const bool ready =
      !m_stopping && m_router->ConfigVersion() > 0 && m_replica_pool->HasList();
  HttpResponse response;
  response.status = ready ? 200 : kStatusUnavailable;
  response.body = ready ? R"({"ready":true})" : R"({"ready":false})";
  return response;
}

HttpResponse GatewayDaemon::MetricsResponse() const {
  MetricsPage page;
  page.AddValue("gateway", "config_version", m_router->ConfigVersion())
      .AddValue("gateway", "in_flight", m_router->InFlight())
      .AddValue("gateway", "evacuated_zones", m_evacuated_zones.size())
      .Add("gateway", m_counters)
      .AddValue("callers", "held_bytes", m_account.HeldBytes())
      .AddValue("callers", "held_bytes_peak", m_account.PeakBytes())
      .AddValue("callers", "held_bytes_limit", m_account.LimitBytes())
      .Add("callers", m_caller_server->Counters())
      .Add("settings", m_settings_watch.Counters())
      .Add("replicas", m_http_client->Counters())
      .Add("replica_pool", m_replica_pool->Counters())
      .Add("crash_guard", m_crash_guard->Counters())
      .Add("quota", m_quota_client->Counters())
      .Add("zone_admission", m_zone_admission->Counters())
      .Add("zone_admission_owner", m_zone_admission->Owner().Counters())
      .AddValue("zone_admission_owner", "groups",
                m_zone_admission->Owner().GroupCount())
      .AddValue("quota", "granted_workspaces",
                m_quota_client->GrantedWorkspaces());
  m_latencies.Visit([&page](const std::string& name, std::uint64_t count) {
    page.AddValue("gateway", "request_latency_" + name, count);
  });
  m_replica_pool->VisitZoneShares(
      [&page](const std::string& zone, double share) {
        page.AddValue("replica_pool", "overflow_share_permille_" + zone,
                      static_cast<std::uint64_t>(share * kPermille));
      });
  m_peers->AddMetrics(&page);
  return page.Response();
}

Duration GatewayDaemon::ShutdownTimeout() const {
  return m_settings.grace * kShutdownGracePercent / kPercent;
}

ShutdownSteps GatewayDaemon::Shutdown() {
  ShutdownSteps steps;
  steps.withdraw_readiness = [this] {
    m_stopping = true;
    if (ShutdownTimeout() > Duration::zero()) {
      m_router->BeginStop(m_scheduler.Now() + ShutdownTimeout());
    }
    m_caller_server->CloseConnectionsWhenIdle();
  };
  steps.reload = [this] { m_settings_watch.CheckNow(); };
  steps.linger = m_settings.linger;
  steps.shutdown_timeout = ShutdownTimeout();
  steps.end_requests = [this] { m_router->EndAll(); };
  steps.close_idle = [this] { m_caller_server->CloseConnectionsWhenIdle(); };
  steps.stop_accepting = [this] {
    m_caller_server->StopAccepting();
    m_peers->Leave();
    m_relay_service->StopAccepting();
  };
  steps.in_flight = [this] {
    return m_caller_server->UnfinishedCount() +
           static_cast<std::uint32_t>(m_relay_service->InFlight());
  };
  return steps;
}

}  // namespace chicoryvale
