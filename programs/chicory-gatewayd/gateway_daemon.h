#ifndef CHICORYVALE_PROGRAMS_CHICORY_GATEWAYD_GATEWAY_DAEMON_H_
#define CHICORYVALE_PROGRAMS_CHICORY_GATEWAYD_GATEWAY_DAEMON_H_

#include <cstdint>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

#include "adapters/beast_http_client.h"
#include "adapters/beast_http_server.h"
#include "adapters/command_line.h"
#include "adapters/daemon_loop.h"
#include "adapters/fd_poller.h"
#include "adapters/glib_scheduler.h"
#include "adapters/log.h"
#include "adapters/peer_stack.h"
#include "adapters/process_limits.h"
#include "adapters/settings_watch.h"
#include "base/memory_account.h"
#include "chicory-gatewayd/gateway_settings.h"
#include "platform/http_replica_directory.h"
#include "platform/http_replica_transport.h"
#include "platform/routing_codec.h"
#include "quota/quota_client.h"
#include "routing/crash_guard.h"
#include "routing/relay_client.h"
#include "routing/relay_service.h"
#include "routing/replica_list_sync.h"
#include "routing/replica_pool.h"
#include "routing/retry_budget.h"
#include "routing/router.h"
#include "routing/send_tracker.h"
#include "zone_admission/zone_admission_client.h"

namespace chicoryvale {

/// The process that routes opaque requests from callers to replicas on an entry
/// VM. Not thread safe.
class GatewayDaemon {
 public:
  /// `config_path` is the path of the settings file, which is reread when it
  /// changes.
  GatewayDaemon(GatewaySettings settings, std::string config_path);
  ~GatewayDaemon();
  GatewayDaemon(const GatewayDaemon&) = delete;
  GatewayDaemon& operator=(const GatewayDaemon&) = delete;

  /// Starts, serves requests until a signal arrives, and shuts down gracefully.
  /// Returns kRunFailed if the start fails.
  ExitCode Run();

 private:
  Result<void> Start();
  Result<void> StartPeers();
  void StartRouting();
  Result<void> StartServers();
  void LogSettings() const;
  Result<std::unique_ptr<BeastHttpServer>> MakeServer(
      const std::string& address, std::size_t max_connections,
      HttpServer::Handler handler);
  void AdoptSettings();
  void ApplyConfig(const ClusterConfig& config);
  void ApplyEvacuations(const std::vector<std::string>& zones);
  void UpdateLimitShares();
  void HandleCallerRequest(HttpRequest request, const HttpResponder& respond);
  void OnCallerDisconnected(std::uint64_t connection);
  [[nodiscard]] HttpResponse ReadinessResponse() const;
  [[nodiscard]] HttpResponse MetricsResponse() const;
  // Time from SIGTERM until the requests in flight are ended; zero for never.
  [[nodiscard]] Duration ShutdownTimeout() const;
  ShutdownSteps Shutdown();

  GatewaySettings m_settings;
  ProcessLimits m_limits;
  MemoryAccount m_account;
  GlibScheduler m_scheduler;
  FdPoller m_poller;
  DaemonLoop m_loop{&m_scheduler};
  ProcessLog m_log;
  std::unique_ptr<PeerStack> m_peers;
  std::unique_ptr<BeastHttpClient> m_http_client;
  std::unique_ptr<platform::HttpReplicaTransport> m_replica_transport;
  std::unique_ptr<platform::HttpReplicaDirectory> m_replica_directory;
  std::unique_ptr<ReplicaPool> m_replica_pool;
  std::unique_ptr<SendTracker> m_send_tracker;
  std::unique_ptr<RetryBudget> m_retry_budget;
  std::unique_ptr<CrashGuard> m_crash_guard;
  std::unique_ptr<QuotaClient> m_quota_client;
  std::unique_ptr<ZoneAdmissionClient> m_zone_admission;
  std::unique_ptr<RelayClient> m_relay_client;
  std::unique_ptr<RelayService> m_relay_service;
  std::unique_ptr<Router> m_router;
  std::unique_ptr<ReplicaListSync> m_replica_list_sync;
  std::unique_ptr<BeastHttpServer> m_caller_server;
  std::unique_ptr<BeastHttpServer> m_ready_server;
  std::unique_ptr<BeastHttpServer> m_metrics_server;
  CounterSet<RoutingCounter> m_counters;
  LatencyHistogram m_latencies;
  platform::RoutingDecoder m_routing_decoder;
  std::shared_ptr<const RoutingConfig> m_routing_config;
  std::vector<std::string> m_evacuated_zones;
  /// The number of the open query of each caller connection, by connection
  /// number.
  std::unordered_map<std::uint64_t, std::uint64_t> m_query_by_connection;
  bool m_stopping = false;
  /// The settings as last reread from the file.
  GatewaySettings m_reread_settings;
  SettingsWatch m_settings_watch;
};

}  // namespace chicoryvale

#endif  // CHICORYVALE_PROGRAMS_CHICORY_GATEWAYD_GATEWAY_DAEMON_H_
