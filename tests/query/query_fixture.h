#ifndef CHICORYVALE_TESTS_QUERY_QUERY_FIXTURE_H_
#define CHICORYVALE_TESTS_QUERY_QUERY_FIXTURE_H_

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <utility>

#include "fakes/fake_gate.h"
#include "fakes/fake_merger.h"
#include "fakes/fake_scheduler.h"
#include "fakes/fake_upstream.h"
#include "query/query_engine.h"

namespace chicoryvale {

inline constexpr char kTestService[] = "macchie.EyepieceDesk";

/// Returns the address of a replica of MakeTestService.
inline Address TestReplica(ShardId shard, std::uint32_t replica,
                           std::uint64_t epoch = 1) {
  return Address{std::to_string(epoch) + "-" + std::to_string(shard) + "-" +
                 std::to_string(replica)};
}

/// Returns a service of `shards` shards with two replicas each.
inline ServiceConfig MakeTestService(std::uint32_t shards,
                                     std::uint64_t epoch = 1,
                                     std::uint64_t version = 1) {
  ServiceConfig service;
  service.name = kTestService;
  service.map_epoch = epoch;
  service.index_version = version;
  for (ShardId shard = 0; shard < shards; ++shard) {
    ShardConfig config;
    config.replicas.push_back({TestReplica(shard, 0, epoch), "milan", false});
    config.replicas.push_back({TestReplica(shard, 1, epoch), "como", false});
    service.shards.push_back(std::move(config));
  }
  return service;
}

/// QueryEngine with fake collaborators.
struct QueryFixture {
  FakeScheduler scheduler;
  FakeUpstream upstream{&scheduler};
  FakeGate gate;
  FakeMergerFactory mergers;
  std::unique_ptr<QueryEngine> engine;

  explicit QueryFixture(std::uint32_t shards = 4) {
    QueryEngine::Options options;
    options.scheduler = &scheduler;
    options.transport = &upstream;
    options.gate = &gate;
    options.random_seed = 7;
    engine = std::make_unique<QueryEngine>(options);
    Apply(MakeTestService(shards));
  }

  void Apply(const ServiceConfig& service) {
    ClusterConfig config;
    config.services = {service};
    gate.SetConfig(config);
    engine->SetConfig(config);
  }

  static QuerySpec Spec() {
    QuerySpec spec;
    spec.service = kTestService;
    spec.method = "Compare";
    spec.workspace = "schools";
    spec.body = std::string("request");
    spec.timeout = milliseconds(400);
    return spec;
  }

  /// Returns a request that is not idempotent.
  static QuerySpec AtMostOnceSpec() {
    QuerySpec spec = Spec();
    spec.idempotent = false;
    spec.request_id = "1700000000000-a";
    spec.routing_hash = 0;
    return spec;
  }

  QueryId Start(QuerySpec spec, std::optional<QueryAnswer>* answer) {
    return engine->Start(std::move(spec), &mergers,
                         [answer](QueryAnswer a) { *answer = std::move(a); });
  }

  /// Runs one query to its end and returns its answer.
  QueryAnswer RunQuery(QuerySpec spec) {
    std::optional<QueryAnswer> answer;
    Start(std::move(spec), &answer);
    scheduler.RunUntil([&] { return answer.has_value(); });
    return *std::move(answer);
  }

  [[nodiscard]] std::uint64_t Count(QueryCounter counter) const {
    return engine->Counters().Get(counter);
  }
};

}  // namespace chicoryvale

#endif  // CHICORYVALE_TESTS_QUERY_QUERY_FIXTURE_H_
