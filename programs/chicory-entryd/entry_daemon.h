#ifndef CHICORYVALE_PROGRAMS_CHICORY_ENTRYD_ENTRY_DAEMON_H_
#define CHICORYVALE_PROGRAMS_CHICORY_ENTRYD_ENTRY_DAEMON_H_

#include <cstdint>
#include <memory>

#include "adapters/command_line.h"
#include "adapters/daemon_loop.h"
#include "adapters/glib_scheduler.h"
#include "adapters/log.h"
#include "adapters/peer_stack.h"
#include "adapters/platform_poller.h"
#include "adapters/process_limits.h"
#include "adapters/soup_http_server.h"
#include "adapters/soup_upstream_transport.h"
#include "admission/admission_runner.h"
#include "base/memory_account.h"
#include "chicory-entryd/entry_settings.h"
#include "control/claim_client.h"
#include "endpoint/caller_endpoint.h"
#include "query/at_most_once_guard.h"
#include "query/at_most_once_runner.h"
#include "query/query_engine.h"
#include "upstream/gate_gossip.h"
#include "upstream/upstream_gate.h"

namespace chicoryvale {

/// The process of an entry VM: serves callers' queries, and takes part in the
/// membership and the distribution of the configuration. Not thread safe.
class EntryDaemon {
 public:
  explicit EntryDaemon(EntrySettings settings);
  ~EntryDaemon();
  EntryDaemon(const EntryDaemon&) = delete;
  EntryDaemon& operator=(const EntryDaemon&) = delete;

  /// Starts, serves until a termination signal arrives, and shuts down
  /// gracefully.
  ExitCode Run();

 private:
  Result<void> Start();
  Result<void> StartPeers();
  void StartQueryPath();
  void StartClaims();
  Result<void> StartCallers();
  Result<void> StartMetrics();
  Result<void> StartPlatformPoller();
  void ApplyConfig(const ClusterConfig& config, ConfigTrust trust);
  void HandleCaller(const HttpRequest& request, HttpResponder respond);
  void HandleMetrics(const HttpRequest& request, const HttpResponder& respond);
  [[nodiscard]] HttpResponse ReadinessResponse() const;
  [[nodiscard]] HttpResponse MetricsResponse() const;
  ShutdownSteps Shutdown();

  EntrySettings m_settings;
  ProcessLimits m_limits;
  MemoryAccount m_account;
  GlibScheduler m_scheduler;
  DaemonLoop m_loop{&m_scheduler};
  ProcessLog m_log;
  std::unique_ptr<PeerStack> m_peers;
  std::unique_ptr<SoupUpstreamTransport> m_transport;
  std::unique_ptr<UpstreamGate> m_gate;
  std::unique_ptr<QueryEngine> m_engine;
  std::unique_ptr<ClaimClient> m_claim_client;
  std::unique_ptr<AtMostOnceGuard> m_at_most_once_guard;
  std::unique_ptr<AtMostOnceRunner> m_at_most_once_runner;
  std::unique_ptr<AdmissionRunner> m_admission;
  std::unique_ptr<CallerEndpoint> m_caller_endpoint;
  std::unique_ptr<SoupHttpServer> m_caller_server;
  std::unique_ptr<SoupHttpServer> m_metrics_server;
  std::unique_ptr<GateGossip> m_gate_gossip;
  std::unique_ptr<PlatformPoller> m_platform_poller;
  std::uint64_t m_config_version = 0;
  TimePoint m_claim_handover_deadline{};
  bool m_ready = false;
};

}  // namespace chicoryvale

#endif  // CHICORYVALE_PROGRAMS_CHICORY_ENTRYD_ENTRY_DAEMON_H_
