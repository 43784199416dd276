#ifndef CHICORYVALE_PROGRAMS_CHICORY_STANDIN_STANDIN_DAEMON_H_
#define CHICORYVALE_PROGRAMS_CHICORY_STANDIN_STANDIN_DAEMON_H_

#include <memory>
#include <vector>

#include "adapters/command_line.h"
#include "adapters/daemon_loop.h"
#include "adapters/glib_scheduler.h"
#include "adapters/soup_http_server.h"
#include "chicory-standin/emulated_replica.h"
#include "chicory-standin/replica_change.h"
#include "chicory-standin/standin_settings.h"

namespace chicoryvale {

/// Emulates the replicas of some services, each on a port of its own. Writes
/// the placement of each service, in the form that SetPlacement takes, to the
/// file "<service>.placement.json" in the placement folder. The control
/// endpoint serves GET /control/counts, and POST /control/set with a
/// ReplicaChange in JSON as its body. Not thread safe.
class StandinDaemon {
 public:
  explicit StandinDaemon(StandinSettings settings);

  /// Starts, and serves until a termination signal arrives.
  ExitCode Run();

 private:
  struct ReplicaHost {
    std::unique_ptr<EmulatedReplica> replica;
    Address address;
    /// Null while the replica is down.
    std::unique_ptr<SoupHttpServer> server;
  };
  Result<void> StartControl();
  HttpResponse HandleControl(const HttpRequest& request);
  HttpResponse ApplyChange(const ReplicaChange& change);
  [[nodiscard]] HttpResponse CountsResponse() const;
  Result<void> Listen(ReplicaHost* host);
  void Crash(ReplicaHost* host);
  Result<void> Start();
  Result<void> StartService(const ServiceBehaviour& service);
  Result<Address> StartReplica(const ServiceBehaviour& service, ShardId shard);

  StandinSettings m_settings;
  GlibScheduler m_scheduler;
  DaemonLoop m_loop{&m_scheduler};
  std::shared_ptr<const Schema> m_schema;
  std::vector<std::unique_ptr<ReplicaHost>> m_hosts;
  std::unique_ptr<SoupHttpServer> m_control;
};

}  // namespace chicoryvale

#endif  // CHICORYVALE_PROGRAMS_CHICORY_STANDIN_STANDIN_DAEMON_H_
