#ifndef CHICORYVALE_TESTS_PROCESS_GATEWAY_DEPLOYMENT_H_
#define CHICORYVALE_TESTS_PROCESS_GATEWAY_DEPLOYMENT_H_

#include <chrono>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "adapters/beast_http_server.h"
#include "adapters/glib_scheduler.h"
#include "process/process.h"

namespace chicoryvale {

/// Real gateway processes with one or more control processes, and a platform
/// whose replicas run in the test: one service "s" with the routes /once/
/// (requests may run once at most) and /many/ (idempotent), both of host "h".
/// The platform is served by the default main context; everything else is
/// called from another thread beside it (RunBeside).
class GatewayDeployment {
 public:
  using ReplicaHandler = std::function<void(
      const std::string& replica_id, const HttpRequest&, const HttpResponder&)>;

  /// Returns the answer of a sound replica to `request`, without a body.
  static HttpResponse SoundAnswer(const HttpRequest& request);

  /// Shutdown settings of the gateways.
  struct ShutdownTimes {
    std::chrono::milliseconds linger{200};
    std::chrono::milliseconds grace{4000};
  };

  /// `handler` answers the requests at each of the replicas `replica_ids`. It
  /// is called on the thread of the main context.
  GatewayDeployment(const std::vector<std::string>& replica_ids,
                    const ReplicaHandler& handler, ShutdownTimes times);

  /// Lists a further replica, which the test itself serves at `address`.
  void ListReplica(const std::string& replica_id, const Address& address) {
    m_replicas[replica_id].address = address;
  }

  /// Adds `lines` before the tables of the settings of all processes that are
  /// started from now on.
  void AddSettings(const std::string& lines) { m_added_settings += lines; }

  /// Starts `controls` control processes, of which the settings of all name the
  /// first three, and `gateways` gateways, deploys the routes, and waits until
  /// each gateway is ready.
  void Start(int gateways, int controls = 1);

  /// Starts gateway `index` again after it has ended, and waits until it is
  /// ready.
  void StartGateway(int index);

  /// Replaces the routes by the configuration `text` and waits until the
  /// control process `control` has accepted it.
  void Deploy(const std::string& text, int control = 0) const;

  Process& Control(int index = 0) {
    return *m_controls.at(static_cast<std::size_t>(index));
  }
  Process& Gateway(int index) {
    return *m_gateways.at(static_cast<std::size_t>(index));
  }
  [[nodiscard]] Address CallerAddress(int index) const {
    return {
        m_gateways.at(static_cast<std::size_t>(index))->AddressOf("callers")};
  }
  /// Returns the status that the readiness check of a gateway answers, or 0.
  [[nodiscard]] int Readiness(int index) const;

  /// Ends the connections of the replica `replica_id` as a crash does; it
  /// listens again at its address after `downtime`. To be called on the thread
  /// of the main context, possibly from the handler of the replica.
  void CrashReplica(const std::string& replica_id, Duration downtime);

  [[nodiscard]] GlibScheduler* scheduler() { return &m_scheduler; }

  /// Returns the bytes of a request of the caller.
  static std::string RequestBytes(const std::string& route,
                                  const std::string& id);

  /// Sends a request on a connection of its own. Returns the bytes of the
  /// answer; empty if the connection ends without one.
  [[nodiscard]] std::string Call(int gateway, const std::string& route,
                                 const std::string& id) const;

 private:
  std::unique_ptr<BeastHttpServer> MakeServer(const Address& address);
  void StartReplica(const std::string& replica_id, const Address& address);
  [[nodiscard]] std::string ReplicaListJson() const;
  [[nodiscard]] static std::string PeerAddress(int host);
  void StartControl(int index, int controls);
  /// Returns the quoted peer addresses of the control processes that settings
  /// name, of `controls` in all.
  [[nodiscard]] static std::string NamedControls(int controls);
  struct Replica {
    Address address;
    /// Null while the replica is down after a crash.
    std::unique_ptr<BeastHttpServer> server;
  };

  ReplicaHandler m_handler;
  ShutdownTimes m_times;
  GlibScheduler m_scheduler;
  FdPoller m_poller;
  std::map<std::string, Replica> m_replicas;
  std::unique_ptr<BeastHttpServer> m_list_server;
  ScratchFolder m_folder;
  std::string m_added_settings;
  std::vector<std::unique_ptr<Process>> m_controls;
  std::vector<std::unique_ptr<Process>> m_gateways;
};

}  // namespace chicoryvale

#endif  // CHICORYVALE_TESTS_PROCESS_GATEWAY_DEPLOYMENT_H_
