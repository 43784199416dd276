#include "chicory-gatewayd/gateway_daemon.h"

#include <algorithm>
#include <random>
#include <utility>

#include "endpoint/error_response.h"
#include "endpoint/metrics_page.h"
#include "platform/caller_codec.h"
#include "platform/routing_codec.h"

namespace chicoryvale {
namespace {

constexpr int kStatusUnavailable = 503;

/// Part of the grace period that the shutdown uses: what is over covers slow
/// timers and the end of the process.
constexpr int kUsedGracePercent = 92;
constexpr std::uint32_t kPercent = 100;

/// Part of a replica's connections that the entries use: closed ones may still
/// count there.
constexpr std::uint32_t kUsedConnectionsPercent = 90;

/// Connections to a replica that an entry may have in a group of so many
/// entries. There a replica is mostly used by the few entries that own its
/// parts (RelayClient).
constexpr std::uint32_t kLargeGroup = 40;
constexpr std::uint32_t kFewestConnections = 4;

std::uint64_t RandomSeed() {
  std::random_device device;
  constexpr int kHalfBits = 32;
  return (std::uint64_t{device()} << kHalfBits) | device();
}

}  // namespace

GatewayDaemon::GatewayDaemon(GatewaySettings settings, std::string config_path)
    : m_settings(std::move(settings)),
      m_watch(
          &m_scheduler, std::move(config_path),
          [this](SettingsReader& reader) {
            m_reread = ReadGatewaySettings(reader);
          },
          [this] { AdoptSettings(); }) {}

GatewayDaemon::~GatewayDaemon() = default;

ExitCode GatewayDaemon::Run() {
  InitLog("chicory-gatewayd", m_settings.log_level, m_settings.log_target);
  if (auto started = Start(); !started) {
    Log(LogLevel::kError, "start_failed",
        {{"reason", started.error().message}});
    return ExitCode::kRunFailed;
  }
  return m_loop.Run({{"callers", m_callers->LocalAddress().host_port},
                     {"ready", m_ready_server->LocalAddress().host_port},
                     {"peers", m_peers->LocalAddress().host_port},
                     {"metrics", m_metrics->LocalAddress().host_port}},
                    Shutdown());
}

Result<void> GatewayDaemon::Start() {
  if (auto ok = StartPeers(); !ok) return ok;
  StartRouting();
  if (auto ok = StartServers(); !ok) return ok;
  m_peers->Start();
  m_list->Start();
  m_watch.Start();
  return {};
}

Result<void> GatewayDaemon::StartPeers() {
  PeerStackOptions options = m_settings.peers;
  options.scheduler = &m_scheduler;
  // Limits are divided among all entries that may be at work.
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
  m_client = std::make_unique<BeastHttpClient>(
      HttpClientOptions{.poller = &m_poller, .scheduler = &m_scheduler});
  m_transport =
      std::make_unique<platform::HttpReplicaTransport>(m_client.get());
  m_directory = std::make_unique<platform::HttpReplicaDirectory>(
      m_client.get(), Address{m_settings.replica_list_address});
  m_pool = std::make_unique<ReplicaPool>(m_settings.peers.availability_zone,
                                         RandomSeed());
  m_sends = std::make_unique<SendTracker>(&m_scheduler, m_transport.get(),
                                          m_pool.get());
  m_budget =
      std::make_unique<RetryBudget>(m_settings.budget, m_scheduler.Now());
  m_relay = std::make_unique<RelayClient>(
      RelayClient::Ports{.scheduler = &m_scheduler,
                         .peers = m_peers->TcpTransport(),
                         .members = m_peers->membership()},
      RandomSeed());
  const RoutingContext parts{.scheduler = &m_scheduler,
                             .sends = m_sends.get(),
                             .pool = m_pool.get(),
                             .budget = m_budget.get(),
                             .log = &m_log,
                             .counters = &m_counters,
                             .latencies = &m_latencies,
                             .relay = m_relay.get()};
  m_router = std::make_unique<Router>(parts, RandomSeed());
  m_relay_service =
      std::make_unique<RelayService>(parts, m_peers->TcpTransport());
  m_list = std::make_unique<ReplicaListSync>(
      ReplicaListSync::Ports{.scheduler = &m_scheduler,
                             .directory = m_directory.get(),
                             .peers = m_peers->TcpTransport(),
                             .members = m_peers->membership(),
                             .log = &m_log},
      m_settings.replica_list, RandomSeed());
  m_list->SetListener([this](const std::vector<ListedReplica>& replicas) {
    m_pool->SetReplicas(replicas, m_scheduler.Now());
  });
  ShareLimits();
  m_peers->membership()->AddListener([this] { ShareLimits(); });
}

// Divides what replicas accept from all entries among those that may be at
// work.
void GatewayDaemon::ShareLimits() {
  const auto members = m_peers->membership()->Members();
  const auto entries = std::ranges::count_if(members, [](const Member& member) {
    return member.info.role == MemberRole::kEntry &&
           member.state != MemberState::kLeft;
  });
  m_budget->SetEntryCount(static_cast<std::uint32_t>(entries));
  if (!m_config) return;
  const std::uint32_t fewest = entries < kLargeGroup ? 1 : kFewestConnections;
  for (const RoutedService& service : m_config->services) {
    if (service.max_connections == 0) continue;
    const auto share = service.max_connections * kUsedConnectionsPercent /
                       kPercent / static_cast<std::uint32_t>(entries);
    m_pool->SetConnectionShare(service.name, std::max(share, fewest));
  }
}

Result<void> GatewayDaemon::StartServers() {
  auto callers =
      MakeServer(m_settings.listen_callers,
                 [this](HttpRequest request, const HttpResponder& respond) {
                   HandleCaller(std::move(request), respond);
                 });
  if (!callers) return tl::unexpected(callers.error());
  m_callers = std::move(*callers);
  m_callers->SetGoneHandler(
      [this](std::uint64_t connection) { OnCallerGone(connection); });
  auto ready = MakeServer(
      m_settings.listen_ready,
      [this](const HttpRequest& /*request*/, const HttpResponder& respond) {
        respond(ReadinessResponse());
      });
  if (!ready) return tl::unexpected(ready.error());
  m_ready_server = std::move(*ready);
  auto metrics = MakeServer(
      m_settings.listen_metrics,
      [this](const HttpRequest& /*request*/, const HttpResponder& respond) {
        respond(MetricsResponse());
      });
  if (!metrics) return tl::unexpected(metrics.error());
  m_metrics = std::move(*metrics);
  return {};
}

Result<std::unique_ptr<BeastHttpServer>> GatewayDaemon::MakeServer(
    const std::string& address, HttpServer::Handler handler) {
  BeastHttpServerOptions options;
  options.poller = &m_poller;
  options.scheduler = &m_scheduler;
  options.bind = {address};
  options.max_connections = m_settings.max_connections;
  auto server = BeastHttpServer::Make(options);
  if (server) (*server)->SetHandler(std::move(handler));
  return server;
}

// Takes what can change without a restart.
void GatewayDaemon::AdoptSettings() {
  const GatewaySettings& next = m_reread;
  const bool same_places =
      next.listen_callers == m_settings.listen_callers &&
      next.listen_ready == m_settings.listen_ready &&
      next.listen_metrics == m_settings.listen_metrics &&
      next.peers.listen == m_settings.peers.listen &&
      next.peers.availability_zone == m_settings.peers.availability_zone &&
      next.peers.key == m_settings.peers.key;
  m_peers->SetSeedsAndControls(next.peers.seeds, next.peers.controls);
  m_budget->SetRetryLimits(next.budget.ratio, next.budget.fixed_retries);
  m_list->SetPeriod(next.replica_list.period);
  m_directory->SetAddress({next.replica_list_address});
  Log(LogLevel::kInfo, "settings_adopted",
      {{"controls", std::to_string(next.peers.controls.size())},
       {"replica_list", next.replica_list_address},
       {"needs_restart", same_places ? "" : "listen, peers, zone or key"}});
}

void GatewayDaemon::ApplyConfig(const ClusterConfig& config) {
  if (config.routing.version <= m_router->ConfigVersion()) return;
  auto routing = platform::DecodeRoutingConfig(config.routing.text);
  if (!routing) {
    // It was checked before it was accepted.
    Log(LogLevel::kError, "configuration_unreadable",
        {{"version", std::to_string(config.routing.version)},
         {"reason", routing.error().message}});
    return;
  }
  const CallerLimits& limits = routing->limits;
  m_callers->SetLimits({.max_header_bytes = limits.max_header_bytes,
                        .max_body_bytes = limits.max_body_bytes,
                        .header_timeout = limits.header_timeout,
                        .idle_timeout = limits.idle_timeout});
  m_config = std::make_shared<const RoutingConfig>(std::move(*routing));
  m_router->SetConfig(m_config);
  ShareLimits();
  Log(LogLevel::kInfo, "configuration_in_force",
      {{"version", std::to_string(m_router->ConfigVersion())}});
}

void GatewayDaemon::HandleCaller(HttpRequest request,
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

void GatewayDaemon::OnCallerGone(std::uint64_t connection) {
  const auto query = m_query_by_connection.extract(connection);
  if (!query.empty()) m_router->CancelOnDisconnect(query.mapped());
}

HttpResponse GatewayDaemon::ReadinessResponse() const {
  const bool ready =
      !m_stopping && m_router->ConfigVersion() > 0 && m_pool->HasList();
  HttpResponse response;
  response.status = ready ? 200 : kStatusUnavailable;
  response.body = ready ? R"({"ready":true})" : R"({"ready":false})";
  return response;
}

HttpResponse GatewayDaemon::MetricsResponse() const {
  MetricsPage page;
  page.AddValue("gateway", "config_version", m_router->ConfigVersion())
      .AddValue("gateway", "in_flight", m_router->InFlight())
      .Add("gateway", m_counters)
      .Add("callers", m_callers->Counters())
      .Add("settings", m_watch.Counters())
      .Add("replicas", m_client->Counters());
  m_latencies.Visit([&page](const std::string& name, std::uint64_t count) {
    page.AddValue("gateway", "request_latency_" + name, count);
  });
  m_peers->AddMetrics(&page);
  return page.Response();
}

ShutdownSteps GatewayDaemon::Shutdown() {
  ShutdownSteps steps;
  steps.stop_ready = [this] {
    m_stopping = true;
    m_callers->CloseAfterAnswers();
  };
  steps.reload = [this] { m_watch.CheckNow(); };
  steps.linger = m_settings.linger;
  steps.max_time = m_settings.grace * kUsedGracePercent / kPercent;
  steps.stop_accepting = [this] {
    m_callers->StopAccepting();
    m_peers->Leave();
    m_relay_service->StopAccepting();
  };
  steps.in_flight = [this] {
    return m_callers->InFlight() +
           static_cast<std::uint32_t>(m_relay_service->InFlight());
  };
  return steps;
}

}  // namespace chicoryvale
