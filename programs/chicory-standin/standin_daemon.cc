#include "chicory-standin/standin_daemon.h"

#include <fstream>
#include <nlohmann/json.hpp>
#include <utility>

#include "adapters/log.h"

namespace chicoryvale {

StandinDaemon::StandinDaemon(StandinSettings settings)
    : m_settings(std::move(settings)) {}

ExitCode StandinDaemon::Run() {
  InitLog("chicory-standin", LogLevel::kInfo);
  if (auto started = Start(); !started) {
    Log(LogLevel::kError, "start_failed",
        {{"reason", started.error().message}});
    return ExitCode::kRunFailed;
  }
  ShutdownSteps steps;
  steps.stop_ready = [] {};
  steps.stop_accepting = [] {};
  steps.in_flight = [] { return 0; };
  return m_loop.Run({}, steps);
}

Result<void> StandinDaemon::Start() {
  auto schema = Schema::Make(m_settings.schema_text);
  if (!schema) return tl::unexpected(schema.error());
  m_schema = std::move(*schema);
  for (const ServiceBehaviour& service : m_settings.services) {
    if (auto ok = StartService(service); !ok) return ok;
  }
  return {};
}

Result<void> StandinDaemon::StartService(const ServiceBehaviour& service) {
  const ServiceSchema* schema = m_schema->FindService(service.name);
  if (schema == nullptr) {
    return MakeError(ErrorKind::kInvalidChange,
                     "the schema has no service " + service.name);
  }
  nlohmann::json placement;
  placement["limits"] = {{"slots", service.slots},
                         {"connections", service.connections}};
  placement["index_version"] = service.index_version;
  std::size_t started = 0;
  for (ShardId shard = 0; shard < schema->shards; ++shard) {
    nlohmann::json replicas = nlohmann::json::array();
    for (std::uint32_t i = 0; i < service.replicas_per_shard; ++i) {
      const auto address = StartReplica(service, shard);
      if (!address) return tl::unexpected(address.error());
      const auto& zones = service.availability_zones;
      replicas.push_back(
          {{"address", address->host_port},
           {"availability_zone", zones[started++ % zones.size()]}});
    }
    placement["shards"].push_back({{"replicas", replicas}});
  }
  std::ofstream(m_settings.placement_folder + "/" + service.name +
                ".placement.json")
      << placement.dump(1) << "\n";
  return {};
}

Result<Address> StandinDaemon::StartReplica(const ServiceBehaviour& service,
                                            ShardId shard) {
  SoupHttpServerOptions options;
  options.bind = {"127.0.0.1:0"};
  options.max_connections = service.connections;
  auto server = SoupHttpServer::Make(options);
  if (!server) return tl::unexpected(server.error());
  Listener listener;
  listener.server = std::move(*server);
  listener.replica = std::make_unique<EmulatedReplica>(
      EmulatedReplica::Options{&m_scheduler, m_schema, service, shard,
                               m_settings.seed + m_listeners.size()});
  listener.server->SetHandler(
      [replica = listener.replica.get()](const HttpRequest& request,
                                         HttpResponder respond) {
        replica->Handle(request, std::move(respond));
      });
  Address address = listener.server->LocalAddress();
  m_listeners.push_back(std::move(listener));
  return address;
}

}  // namespace chicoryvale
