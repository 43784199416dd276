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

json MakeRoute(const std::string& name, const std::string& prefix) {
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
    for (int shard = 0; shard < kShardCount; ++shard) {
      AddReplica(ShardName(shard), i);
    }
    AddReplica(kAtMostOnceService, i);
  }
  m_replica_list_server = MakeServer();
  m_replica_list_server->SetHandler(
      [this](const HttpRequest& /*request*/, const HttpResponder& respond) {
        HttpResponse response;
        response.body = ReplicaListJson();
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

void SoakPlatform::AddReplica(const std::string& service,
                              int index_in_service) {
  Replica replica;
  replica.id = service + "-" + std::to_string(index_in_service);
  replica.service = service;
  replica.server = MakeServer();
  replica.server->SetHandler(
      [this, index = m_replicas.size()](const HttpRequest& request,
                                        const HttpResponder& respond) {
        HandleRequest(index, request, respond);
      });
  replica.proxy = std::make_unique<LoopbackProxy>(
      m_poller, m_scheduler, replica.server->LocalAddress());
  m_replicas.push_back(std::move(replica));
}

void SoakPlatform::HandleRequest(std::size_t index, const HttpRequest& request,
                                 const HttpResponder& respond) {
  const Replica& replica = m_replicas[index];
  const std::string id =
      FindHeader(request.headers, platform::kRequestIdHeader);
  HttpResponse response;
  response.headers = {{platform::kRequestIdHeader, id}};
  const bool is_expected_replica =
      FindHeader(request.headers, platform::kExpectedReplicaIdHeader) ==
      replica.id;
  AddNotice(replica, id, &response);
  const bool is_refused =
      m_scheduler->Now() < replica.back_off_end ||
      std::uniform_real_distribution<double>(0, 1)(m_random) < m_refusal_ratio;
  const bool runs = is_expected_replica && !is_refused;
  const std::string time_left_ms =
      FindHeader(request.headers, platform::kDeadlineHeader);
  RetryCheck::Arrival arrival{replica.id, replica.service,   id, std::nullopt,
                              runs,       m_scheduler->Now()};
  if (!time_left_ms.empty()) {
    arrival.time_left = milliseconds(std::stol(time_left_ms));
  }
  if (m_on_arrival) m_on_arrival(arrival);
  if (!runs) {
    response.status =
        is_expected_replica ? kStatusUnavailable : platform::kStatusMisdirected;
    response.headers.push_back({platform::kNotRunHeader, "1"});
    return respond(response);
  }
  ++m_run_counts[replica.service][id];
  response.headers.push_back(
      {platform::kSignatureHeader, Signature(replica.service, id)});
  for (const std::string& record : Records(replica.service, id)) {
    response.body += record;
  }
  constexpr int kMaxWorkMs = 12;
  const auto work_time =
      milliseconds(std::uniform_int_distribution<int>(1, kMaxWorkMs)(m_random));
  m_scheduler->Schedule(work_time, [respond, response] { respond(response); });
}

void SoakPlatform::AddNotice(const Replica& replica,
                             const std::string& request_id,
                             HttpResponse* response) {
  SaidNotice notice{replica.id, replica.leaving,
                    replica.back_off_end - m_scheduler->Now()};
  notice.back_off = std::max(notice.back_off, Duration::zero());
  if (notice.leaving) {
    response->headers.push_back({platform::kLeavingHeader, "1"});
  }
  if (notice.back_off > Duration::zero()) {
    response->headers.push_back({platform::kRetryAfterHeader,
                                 std::to_string(ToSeconds(notice.back_off))});
  }
  m_notices[request_id].push_back(std::move(notice));
}

const std::vector<SoakPlatform::SaidNotice>& SoakPlatform::NoticesTo(
    const std::string& id) const {
  static const std::vector<SaidNotice> kNone;
  const auto found = m_notices.find(id);
  return found == m_notices.end() ? kNone : found->second;
}

// Half of the time, picks one of the service whose requests may run at most
// once, because only the gateways of these requests are known.
std::size_t SoakPlatform::PickReplica() {
  const bool any = std::bernoulli_distribution(0.5)(m_random);
  std::vector<std::size_t> indices;
  for (std::size_t i = 0; i < m_replicas.size(); ++i) {
    if (any || m_replicas[i].service == kAtMostOnceService) {
      indices.push_back(i);
    }
  }
  return indices[std::uniform_int_distribution<std::size_t>(
      0, indices.size() - 1)(m_random)];
}

void SoakPlatform::StartLeaving(Duration replaced_after) {
  Replica& replica = m_replicas[PickReplica()];
  if (std::exchange(replica.leaving, true)) return;
  m_scheduler->Schedule(replaced_after, [&replica] {
    replica.leaving = false;
    replica.back_off_end = {};
    replica.id = replica.id.substr(0, replica.id.find('.')) + "." +
                 std::to_string(++replica.generation);
  });
}

void SoakPlatform::StartBackOff(Duration time) {
  m_replicas[PickReplica()].back_off_end = m_scheduler->Now() + time;
}

std::string SoakPlatform::ReplicaListJson() const {
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

std::vector<std::string> SoakPlatform::ShardNames() {
  std::vector<std::string> names;
  names.reserve(kShardCount);
  for (int shard = 0; shard < kShardCount; ++shard) {
    names.push_back(ShardName(shard));
  }
  return names;
}

int SoakPlatform::RunCount(const std::string& service,
                           const std::string& id) const {
  const auto runs = m_run_counts.find(service);
  if (runs == m_run_counts.end()) return 0;
  const auto found = runs->second.find(id);
  return found == runs->second.end() ? 0 : found->second;
}

bool SoakPlatform::HasRunAnywhere(const std::string& id) const {
  return std::ranges::any_of(m_run_counts, [&id](const auto& runs) {
    return runs.second.contains(id);
  });
}

std::string SoakPlatform::ConfigJson(std::uint64_t version) {
  json shards = json::array();
  json services = json::array();
  const auto add_service = [&services](const std::string& name) {
    services.push_back({{"name", name},
                        {"healthPath", "/health"},
                        {"maxConnections", 200},
                        {"protocol", "h1"},
                        {"tls", false}});
  };
  for (int shard = 0; shard < kShardCount; ++shard) {
    shards.push_back(ShardName(shard));
    add_service(ShardName(shard));
  }
  add_service(kAtMostOnceService);
  json gather_route = MakeRoute("all", "/all/");
  gather_route["gather"] = shards;
  gather_route["topK"] = kTopRecordCount;
  gather_route["minShardShare"] = 0.6;
  json at_most_once_route = MakeRoute("once", "/once/");
  at_most_once_route["routeType"] = "unsafe";
  at_most_once_route["backend"] = kAtMostOnceService;
  json probe_route = MakeRoute("probe", "/v" + std::to_string(version) + "/");
  probe_route["backend"] = ShardName(0);
  return json{{"version", version},
              {"routes", {gather_route, at_most_once_route, probe_route}},
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
  constexpr int kRecordsPerAnswer = 3;
  std::vector<std::string> records;
  for (int i = 0; i < kRecordsPerAnswer; ++i) {
    std::string record =
        std::to_string(HashBytes(service + id + std::to_string(i)));
    record.resize(RankMerger::kRecordBytes, '0');
    records.push_back(std::move(record));
  }
  return records;
}

}  // namespace chicoryvale
