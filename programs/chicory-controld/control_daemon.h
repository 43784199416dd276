#ifndef CHICORYVALE_PROGRAMS_CHICORY_CONTROLD_CONTROL_DAEMON_H_
#define CHICORYVALE_PROGRAMS_CHICORY_CONTROLD_CONTROL_DAEMON_H_

#include <memory>
#include <vector>

#include "adapters/beast_http_server.h"
#include "adapters/command_line.h"
#include "adapters/daemon_loop.h"
#include "adapters/disk_storage.h"
#include "adapters/fd_poller.h"
#include "adapters/glib_scheduler.h"
#include "adapters/log.h"
#include "adapters/peer_stack.h"
#include "adapters/process_limits.h"
#include "adapters/soup_http_server.h"
#include "adapters/system_wall_clock.h"
#include "base/memory_account.h"
#include "chicory-controld/control_settings.h"
#include "config/rollout_tracker.h"
#include "control/claim_service.h"
#include "control/control_group_reconciler.h"
#include "control/routing_service.h"
#include "control/version_service.h"
#include "endpoint/operator_endpoint.h"
#include "platform/routing_endpoint.h"
#include "replication/replicated_control_group.h"
#include "schema/schema_change_rules.h"

namespace chicoryvale {

/// The process of a control VM: a replica of the control group, and the server
/// of the operators' RPCs or of the routing configuration. Not thread safe.
class ControlDaemon {
 public:
  explicit ControlDaemon(ControlSettings settings);
  ~ControlDaemon();
  ControlDaemon(const ControlDaemon&) = delete;
  ControlDaemon& operator=(const ControlDaemon&) = delete;

  /// Starts, serves until a termination signal arrives, and shuts down
  /// gracefully.
  ExitCode Run();

 private:
  Result<void> Start();
  Result<void> StartPeers();
  Result<void> StartReplica();
  Result<void> StartOperators();
  Result<void> StartRouting();
  void StartReconciler();
  [[nodiscard]] std::vector<NodeConfigStatus> Nodes() const;
  void OnStorageFailed(const Error& error);
  Result<void> StartMetrics();
  [[nodiscard]] HttpResponse MetricsResponse() const;
  ShutdownSteps Shutdown();

  ControlSettings m_settings;
  ProcessLimits m_limits;
  MemoryAccount m_account;
  GlibScheduler m_scheduler;
  DaemonLoop m_loop{&m_scheduler};
  std::unique_ptr<PeerStack> m_peers;
  std::unique_ptr<DiskStorage> m_storage;
  SchemaChangeRules m_rules;
  SystemWallClock m_clock;
  std::unique_ptr<RolloutTracker> m_rollout_tracker;
  std::unique_ptr<VersionService> m_version_service;
  std::unique_ptr<ReplicatedControlGroup> m_group;
  std::unique_ptr<ClaimService> m_claim_service;
  std::unique_ptr<OperatorEndpoint> m_operator_endpoint;
  std::unique_ptr<SoupHttpServer> m_operator_server;
  ProcessLog m_log;
  FdPoller m_poller;
  std::unique_ptr<RoutingService> m_routing_service;
  std::unique_ptr<platform::RoutingEndpoint> m_routing_endpoint;
  std::unique_ptr<BeastHttpServer> m_routing_server;
  std::unique_ptr<ControlGroupReconciler> m_reconciler;
  std::unique_ptr<SoupHttpServer> m_metrics_server;
};

}  // namespace chicoryvale

#endif  // CHICORYVALE_PROGRAMS_CHICORY_CONTROLD_CONTROL_DAEMON_H_
