#include "soak/soak_platform.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <utility>

#include "base/hash.h"
#include "platform/wire_names.h"
#include "routing/rank_merger.h"

namespace chicoryvale {
namespace {

using nlohmann::json;

constexpr int kReplicasPerService = 2;
constexpr int kStatusUnavailable = 503;

json Route(const std::string& name, const std::string& prefix) {
  return {{"name", name},         {"host", "soak.example"},
          {"pathPrefix", prefix}, {"routeType", "safe"},
          {"timeoutMs", 3000},    {"targetLatencyMs", 200},
          {"priority", 1},        {"maxAttempts", 2}};
}

}  // namespace

SoakPlatform::SoakPlatform(FdPoller* poller, GlibScheduler* scheduler,
                           std::uint64_t seed)
    : m_poller(poller), m_scheduler(scheduler), m_random(seed) {
  for (int i = 0; i < kReplicasPerService; ++i) {
    for (int shard = 0; shard < kShards; ++shard) {
      AddReplica(ShardName(shard), i);
    }
    AddReplica(kOnceService, i);
  }
  m_list = MakeServer();
  m_list->SetHandler(
      [this](const HttpRequest& /*request*/, const HttpResponder& respond) {
        HttpResponse response;
        response.body = ListText();
        respond(response);
      });
}

std::unique_ptr<BeastHttpServer> SoakPlatform::MakeServer() {
  BeastHttpServerOptions options;
  options.poller = m_poller;
  options.scheduler = m_scheduler;
  options.bind = {"127.0.0.1:0"};
  return std::move(*BeastHttpServer::Make(options));
}

void SoakPlatform::AddReplica(const std::string& service, int number) {
  Replica replica;
  replica.id = service + "-" + std::to_string(number);
  replica.service = service;
  replica.server = MakeServer();
  replica.server->SetHandler(
      [this, index = m_replicas.size()](const HttpRequest& request,
                                        const HttpResponder& respond) {
        Serve(index, request, respond);
      });
  replica.proxy = std::make_unique<LoopbackProxy>(
      m_poller, m_scheduler, replica.server->LocalAddress());
  m_replicas.push_back(std::move(replica));
}

void SoakPlatform::Serve(std::size_t index, const HttpRequest& request,
                         const HttpResponder& respond) {
  const Replica& replica = m_replicas[index];
  const std::string id =
      FindHeader(request.headers, platform::kRequestIdHeader);
  HttpResponse response;
  response.headers = {{platform::kRequestIdHeader, id}};
  const bool mine =
      FindHeader(request.headers, platform::kExpectedReplicaIdHeader) ==
      replica.id;
  const bool refused =
      std::uniform_real_distribution<double>(0, 1)(m_random) < m_refused_share;
  if (!mine || refused) {
    response.status = mine ? kStatusUnavailable : platform::kStatusMisdirected;
    response.headers.push_back({platform::kNotRunHeader, "1"});
    return respond(response);
  }
  ++m_runs[replica.service][id];
  response.headers.push_back(
      {platform::kSignatureHeader, Signature(replica.service, id)});
  for (const std::string& record : Records(replica.service, id)) {
    response.body += record;
  }
  constexpr int kMostWorkMs = 12;
  const auto work = milliseconds(
      std::uniform_int_distribution<int>(1, kMostWorkMs)(m_random));
  m_scheduler->Schedule(work, [respond, response] { respond(response); });
}

std::string SoakPlatform::ListText() const {
  json entries = json::array();
  for (std::size_t i = 0; i < m_replicas.size(); ++i) {
    const Replica& replica = m_replicas[i];
    entries.push_back({{"id", replica.id},
                       {"backend", replica.service},
                       {"address", replica.proxy->LocalAddress().host_port},
                       {"zone", i % 2 == 0 ? "a" : "b"},
                       {"version", "v1"},
                       {"slots", 4},
                       {"state", "ready"},
                       {"warmupLeftMs", 0}});
  }
  return json{{"instances", entries}, {"nextPageToken", nullptr}}.dump();
}

int SoakPlatform::Runs(const std::string& service,
                       const std::string& id) const {
  const auto runs = m_runs.find(service);
  if (runs == m_runs.end()) return 0;
  const auto found = runs->second.find(id);
  return found == runs->second.end() ? 0 : found->second;
}

bool SoakPlatform::RanAnywhere(const std::string& id) const {
  return std::ranges::any_of(
      m_runs, [&id](const auto& runs) { return runs.second.contains(id); });
}

std::string SoakPlatform::ConfigText(std::uint64_t version) {
  json shards = json::array();
  json services = json::array();
  const auto add_service = [&services](const std::string& name) {
    services.push_back({{"name", name},
                        {"healthPath", "/health"},
                        {"maxConnections", 200},
                        {"protocol", "h1"},
                        {"tls", false}});
  };
  for (int shard = 0; shard < kShards; ++shard) {
    shards.push_back(ShardName(shard));
    add_service(ShardName(shard));
  }
  add_service(kOnceService);
  json all = Route("all", "/all/");
  all["gather"] = shards;
  all["topK"] = kTopRecords;
  all["minShardShare"] = 0.6;
  json once = Route("once", "/once/");
  once["routeType"] = "unsafe";
  once["backend"] = kOnceService;
  json probe = Route("probe", "/v" + std::to_string(version) + "/");
  probe["backend"] = ShardName(0);
  return json{{"version", version},
              {"routes", {all, once, probe}},
              {"backends", services},
              {"limits",
               {{"maxHeaderBytes", 16384},
                {"maxBodyBytes", 262144},
                {"headerTimeoutMs", 3000},
                {"idleTimeoutMs", 15000}}}}
      .dump();
}

std::vector<std::string> SoakPlatform::Records(const std::string& service,
                                               const std::string& id) {
  constexpr int kRecords = 3;
  std::vector<std::string> records;
  for (int i = 0; i < kRecords; ++i) {
    std::string record =
        std::to_string(HashBytes(service + id + std::to_string(i)));
    record.resize(RankMerger::kRecordBytes, '0');
    records.push_back(std::move(record));
  }
  return records;
}

}  // namespace chicoryvale
