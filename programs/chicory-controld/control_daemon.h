#ifndef CHICORYVALE_PROGRAMS_CHICORY_CONTROLD_CONTROL_DAEMON_H_
#define CHICORYVALE_PROGRAMS_CHICORY_CONTROLD_CONTROL_DAEMON_H_

#include <memory>

#include "adapters/command_line.h"
#include "adapters/daemon_loop.h"
#include "adapters/disk_storage.h"
#include "adapters/glib_scheduler.h"
#include "adapters/peer_stack.h"
#include "adapters/soup_http_server.h"
#include "adapters/system_wall_clock.h"
#include "chicory-controld/control_settings.h"
#include "control/claim_service.h"
#include "control/replicated_control_group.h"
#include "endpoint/operator_endpoint.h"
#include "replication/control_state_machine.h"
#include "replication/peer_replication_transport.h"
#include "replication/replica_node.h"
#include "schema/schema_change_rules.h"

namespace chicoryvale {

/// The process of a control VM: operators' RPCs and the control group.
/// Not thread safe.
class ControlDaemon {
 public:
  explicit ControlDaemon(ControlSettings settings);
  ~ControlDaemon();
  ControlDaemon(const ControlDaemon&) = delete;
  ControlDaemon& operator=(const ControlDaemon&) = delete;

  /// Starts, serves until a signal, and shuts down gracefully.
  ExitCode Run();

 private:
  Result<void> Start();
  Result<void> StartPeers();
  Result<void> StartReplica();
  Result<void> StartOperators();
  void OnStorageFailed(const Error& error);
  Result<void> StartMetrics();
  [[nodiscard]] HttpResponse MetricsResponse() const;
  ShutdownSteps Shutdown();

  ControlSettings m_settings;
  GlibScheduler m_scheduler;
  DaemonLoop m_loop{&m_scheduler};
  std::unique_ptr<PeerStack> m_peers;
  std::unique_ptr<DiskStorage> m_storage;
  SchemaChangeRules m_rules;
  SystemWallClock m_clock;
  ControlStateMachine m_state{&m_rules};
  std::unique_ptr<PeerReplicationTransport> m_replication;
  std::unique_ptr<ReplicaNode> m_node;
  std::unique_ptr<ClaimService> m_claims;
  std::unique_ptr<ReplicatedControlGroup> m_group;
  std::unique_ptr<OperatorEndpoint> m_endpoint;
  std::unique_ptr<SoupHttpServer> m_operators;
  std::unique_ptr<SoupHttpServer> m_metrics;
};

}  // namespace chicoryvale

#endif  // CHICORYVALE_PROGRAMS_CHICORY_CONTROLD_CONTROL_DAEMON_H_
