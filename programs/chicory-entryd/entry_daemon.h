#ifndef CHICORYVALE_PROGRAMS_CHICORY_ENTRYD_ENTRY_DAEMON_H_
#define CHICORYVALE_PROGRAMS_CHICORY_ENTRYD_ENTRY_DAEMON_H_

#include <cstdint>
#include <memory>

#include "adapters/command_line.h"
#include "adapters/daemon_loop.h"
#include "adapters/glib_scheduler.h"
#include "adapters/soup_http_server.h"
#include "adapters/soup_upstream_transport.h"
#include "adapters/tcp_peer_transport.h"
#include "chicory-entryd/entry_settings.h"
#include "config/config_puller.h"
#include "endpoint/caller_endpoint.h"
#include "query/engine_runner.h"
#include "query/query_engine.h"
#include "upstream/upstream_gate.h"

namespace chicoryvale {

/// The process of an entry VM: callers' endpoints, the query path, and a
/// member of the group that spreads the configuration. Not thread safe.
class EntryDaemon {
 public:
  explicit EntryDaemon(EntrySettings settings);
  ~EntryDaemon();
  EntryDaemon(const EntryDaemon&) = delete;
  EntryDaemon& operator=(const EntryDaemon&) = delete;

  /// Starts, serves until a signal, and shuts down gracefully.
  ExitCode Run();

 private:
  Result<void> Start();
  Result<void> StartPeers();
  Result<void> StartQueryPath();
  Result<void> StartCallers();
  Result<void> StartMetrics();
  void ApplyConfig(const ClusterConfig& config, ConfigTrust trust);
  void HandleCaller(const HttpRequest& request, HttpResponder respond);
  void HandleMetrics(const HttpRequest& request, const HttpResponder& respond);
  [[nodiscard]] HttpResponse ReadinessResponse() const;
  [[nodiscard]] HttpResponse MetricsResponse() const;
  ShutdownSteps Shutdown();

  EntrySettings m_settings;
  GlibScheduler m_scheduler;
  DaemonLoop m_loop{&m_scheduler};
  std::unique_ptr<TcpPeerTransport> m_peers;
  std::unique_ptr<SoupUpstreamTransport> m_transport;
  std::unique_ptr<UpstreamGate> m_gate;
  std::unique_ptr<QueryEngine> m_engine;
  std::unique_ptr<EngineRunner> m_runner;
  std::unique_ptr<CallerEndpoint> m_endpoint;
  std::unique_ptr<SoupHttpServer> m_callers;
  std::unique_ptr<SoupHttpServer> m_metrics;
  std::unique_ptr<ConfigPuller> m_puller;
  std::uint64_t m_config_version = 0;
  bool m_ready = false;
};

}  // namespace chicoryvale

#endif  // CHICORYVALE_PROGRAMS_CHICORY_ENTRYD_ENTRY_DAEMON_H_
