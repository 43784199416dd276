#include "chicory-standin/standin_daemon.h"

#include <fstream>
#include <nlohmann/json.hpp>
#include <numeric>
#include <string>
#include <utility>

#include "adapters/log.h"
#include "endpoint/error_response.h"

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
  steps.withdraw_readiness = [] {};
  steps.stop_accepting = [this] {
    for (const auto& host : m_hosts) {
      if (host->server) host->server->StopAccepting();
    }
  };
  steps.in_flight = [this] {
    return std::accumulate(
        m_hosts.begin(), m_hosts.end(), std::uint32_t{0},
        [](std::uint32_t sum, const auto& host) {
          return sum + (host->server ? host->server->InFlight() : 0);
        });
  };
  return m_loop.Run({{"control", m_control->LocalAddress().host_port}}, steps);
}

Result<void> StandinDaemon::Start() {
  auto schema = Schema::Make(m_settings.schema_text);
  if (!schema) return tl::unexpected(schema.error());
  m_schema = std::move(*schema);
  for (const ServiceBehaviour& service : m_settings.services) {
    if (auto ok = StartService(service); !ok) return ok;
  }
  return StartControl();
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
  auto host = std::make_unique<ReplicaHost>();
  EmulatedReplica::Options options;
  options.scheduler = &m_scheduler;
  options.schema = m_schema;
  options.behaviour = service;
  options.shard = shard;
  options.seed = m_settings.seed + m_hosts.size();
  options.on_crash = [this, crashed_host = host.get()] {
    // Deferred, as the request handler that found the marker must return before
    // its server is destroyed.
    m_scheduler.Schedule(Duration::zero(),
                         [this, crashed_host] { Crash(crashed_host); });
  };
  host->replica = std::make_unique<EmulatedReplica>(std::move(options));
  host->address = {"127.0.0.1:0"};
  if (auto ok = Listen(host.get()); !ok) return tl::unexpected(ok.error());
  m_hosts.push_back(std::move(host));
  return m_hosts.back()->address;
}

Result<void> StandinDaemon::Listen(ReplicaHost* host) {
  SoupHttpServerOptions options;
  options.bind = host->address;
  options.max_connections = host->replica->Settings().behaviour.connections;
  auto server = SoupHttpServer::Make(options);
  if (!server) return tl::unexpected(server.error());
  host->server = std::move(*server);
  host->address = host->server->LocalAddress();
  host->server->SetHandler(
      [replica = host->replica.get()](const HttpRequest& request,
                                      HttpResponder respond) {
        replica->Handle(request, std::move(respond));
      });
  return {};
}

void StandinDaemon::Crash(ReplicaHost* host) {
  // Closes the port before any connection, as the end of a process does.
  if (host->server) host->server->StopAccepting();
  host->replica->DropRequests();
  host->replica->SilenceConnections(0);
  host->server.reset();
}

Result<void> StandinDaemon::StartControl() {
  SoupHttpServerOptions options;
  options.bind = m_settings.control;
  auto server = SoupHttpServer::Make(options);
  if (!server) return tl::unexpected(server.error());
  m_control = std::move(*server);
  m_control->SetHandler(
      [this](const HttpRequest& request, const HttpResponder& respond) {
        respond(HandleControl(request));
      });
  return {};
}

HttpResponse StandinDaemon::HandleControl(const HttpRequest& request) {
  if (request.path == "/control/counts") return CountsResponse();
  if (request.path != "/control/set") {
    return ErrorResponse(
        {ErrorKind::kUnknownEndpoint, "no endpoint " + request.path, Ran::kNo});
  }
  const auto change = ParseReplicaChange(request.body);
  return change ? ApplyChange(*change) : ErrorResponse(change.error());
}

HttpResponse StandinDaemon::ApplyChange(const ReplicaChange& change) {
  std::size_t changed = 0;
  for (const auto& host : m_hosts) {
    const EmulatedReplica::Options& replica = host->replica->Settings();
    if (change.service.value_or(replica.behaviour.name) !=
            replica.behaviour.name ||
        change.shard.value_or(replica.shard) != replica.shard ||
        change.address.value_or(host->address.host_port) !=
            host->address.host_port) {
      continue;
    }
    ++changed;
    ApplyBehaviour(change, &host->replica->Behaviour());
    if (change.silence_connections && host->server) {
      host->replica->SilenceConnections(
          host->server->Counters().Get(SoupHttpServerCounter::kConnections));
    }
    if (!change.down) continue;
    if (*change.down) Crash(host.get());
    if (*change.down || host->server) continue;
    if (auto ok = Listen(host.get()); !ok) return ErrorResponse(ok.error());
  }
  HttpResponse response;
  response.body = nlohmann::json{{"replicas", changed}}.dump();
  return response;
}

HttpResponse StandinDaemon::CountsResponse() const {
  nlohmann::json totals = nlohmann::json::object();
  nlohmann::json runs_by_request_id = nlohmann::json::object();
  nlohmann::json replicas = nlohmann::json::array();
  for (const auto& host : m_hosts) {
    const EmulatedReplica& replica = *host->replica;
    nlohmann::json row = {{"service", replica.Settings().behaviour.name},
                          {"shard", replica.Settings().shard},
                          {"address", host->address.host_port},
                          {"down", host->server == nullptr}};
    replica.Counters().Visit([&](std::string_view name, std::uint64_t value) {
      const std::string key(name);
      row[key] = value;
      totals[key] = totals.value(key, std::uint64_t{0}) + value;
    });
    replicas.push_back(std::move(row));
    for (const auto& [id, runs] : replica.RunsByRequestId()) {
      runs_by_request_id[id] =
          runs_by_request_id.value(id, std::uint32_t{0}) + runs;
    }
  }
  HttpResponse response;
  response.body = nlohmann::json{
      {"totals", totals},
      {"runs_by_request_id", runs_by_request_id},
      {"replicas",
       replicas}}.dump();
  return response;
}

}  // namespace chicoryvale
