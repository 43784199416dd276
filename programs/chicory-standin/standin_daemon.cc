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
    for (const auto& listener : m_listeners) {
      if (listener->server) listener->server->StopAccepting();
    }
  };
  steps.in_flight = [this] {
    return std::accumulate(
        m_listeners.begin(), m_listeners.end(), std::uint32_t{0},
        [](std::uint32_t sum, const auto& listener) {
          return sum + (listener->server ? listener->server->InFlight() : 0);
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
  auto listener = std::make_unique<Listener>();
  EmulatedReplica::Options options;
  options.scheduler = &m_scheduler;
  options.schema = m_schema;
  options.behaviour = service;
  options.shard = shard;
  options.seed = m_settings.seed + m_listeners.size();
  options.on_crash = [this, crashed = listener.get()] {
    // The handler that found the marker has to return first.
    m_scheduler.Schedule(Duration::zero(), [this, crashed] { Crash(crashed); });
  };
  listener->replica = std::make_unique<EmulatedReplica>(std::move(options));
  listener->address = {"127.0.0.1:0"};
  if (auto ok = Listen(listener.get()); !ok) return tl::unexpected(ok.error());
  m_listeners.push_back(std::move(listener));
  return m_listeners.back()->address;
}

Result<void> StandinDaemon::Listen(Listener* listener) {
  SoupHttpServerOptions options;
  options.bind = listener->address;
  options.max_connections = listener->replica->Settings().behaviour.connections;
  auto server = SoupHttpServer::Make(options);
  if (!server) return tl::unexpected(server.error());
  listener->server = std::move(*server);
  listener->address = listener->server->LocalAddress();
  listener->server->SetHandler(
      [replica = listener->replica.get()](const HttpRequest& request,
                                          HttpResponder respond) {
        replica->Handle(request, std::move(respond));
      });
  return {};
}

void StandinDaemon::Crash(Listener* listener) {
  // The port closes before any connection does, as at the end of a process.
  if (listener->server) listener->server->StopAccepting();
  listener->replica->DropWork();
  listener->replica->SilenceConnections(0);
  listener->server.reset();
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
  if (request.path == "/control/counts") return Counts();
  if (request.path != "/control/set") {
    return ErrorResponse(
        {ErrorKind::kUnknownEndpoint, "no endpoint " + request.path, Ran::kNo});
  }
  const auto change = ParseReplicaChange(request.body);
  return change ? Change(*change) : ErrorResponse(change.error());
}

HttpResponse StandinDaemon::Change(const ReplicaChange& change) {
  std::size_t changed = 0;
  for (const auto& listener : m_listeners) {
    const EmulatedReplica::Options& replica = listener->replica->Settings();
    if (change.service.value_or(replica.behaviour.name) !=
            replica.behaviour.name ||
        change.shard.value_or(replica.shard) != replica.shard ||
        change.address.value_or(listener->address.host_port) !=
            listener->address.host_port) {
      continue;
    }
    ++changed;
    ApplyBehaviour(change, &listener->replica->Behaviour());
    if (change.silence_connections && listener->server) {
      listener->replica->SilenceConnections(listener->server->Counters().Get(
          SoupHttpServerCounter::kConnections));
    }
    if (!change.down) continue;
    if (*change.down) Crash(listener.get());
    if (*change.down || listener->server) continue;
    if (auto ok = Listen(listener.get()); !ok) return ErrorResponse(ok.error());
  }
  HttpResponse response;
  response.body = nlohmann::json{{"replicas", changed}}.dump();
  return response;
}

HttpResponse StandinDaemon::Counts() const {
  nlohmann::json totals = nlohmann::json::object();
  nlohmann::json runs_by_id = nlohmann::json::object();
  nlohmann::json replicas = nlohmann::json::array();
  for (const auto& listener : m_listeners) {
    const EmulatedReplica& replica = *listener->replica;
    nlohmann::json row = {{"service", replica.Settings().behaviour.name},
                          {"shard", replica.Settings().shard},
                          {"address", listener->address.host_port},
                          {"down", listener->server == nullptr}};
    replica.Counters().Visit([&](std::string_view name, std::uint64_t value) {
      const std::string key(name);
      row[key] = value;
      totals[key] = totals.value(key, std::uint64_t{0}) + value;
    });
    replicas.push_back(std::move(row));
    for (const auto& [id, runs] : replica.RunsById()) {
      runs_by_id[id] = runs_by_id.value(id, std::uint32_t{0}) + runs;
    }
  }
  HttpResponse response;
  response.body = nlohmann::json{
      {"totals", totals},
      {"runs_by_request_id", runs_by_id},
      {"replicas",
       replicas}}.dump();
  return response;
}

}  // namespace chicoryvale
