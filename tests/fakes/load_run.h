#ifndef CHICORYVALE_TESTS_FAKES_LOAD_RUN_H_
#define CHICORYVALE_TESTS_FAKES_LOAD_RUN_H_

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <random>
#include <string>
#include <utility>
#include <vector>

#include "fakes/fake_fleet.h"
#include "fakes/fake_merger.h"
#include "fakes/fake_scheduler.h"
#include "query/query_engine.h"
#include "upstream/upstream_gate.h"

namespace chicoryvale {

/// Load on one service, on virtual time.
struct LoadPlan {
  std::uint32_t shards = 20;
  std::uint32_t replicas = 2;
  FleetModel fleet;
  /// Every n-th replica is lost; 0: none.
  std::uint32_t lost_every = 0;
  FakeLoss loss = FakeLoss::kRefuses;
  double queries_per_second = 150;
  Duration warm_up = seconds(5);
  Duration duration = seconds(20);
  Duration deadline = milliseconds(400);
  QueryObjective objective = QueryObjective::kCoverage;
  std::uint32_t min_coverage_per_10000 = 0;
  bool hedging = true;
  std::uint64_t seed = 1;
};

/// What a LoadPlan gave after its warm-up.
struct LoadResult {
  std::uint64_t queries = 0;
  std::uint64_t answered = 0;
  std::uint64_t shards_asked = 0;
  std::uint64_t shards_covered = 0;
  std::uint64_t sub_requests = 0;
  std::uint64_t hedges = 0;
  std::uint64_t retries = 0;
  std::vector<Duration> latencies;

  /// Sub-requests beyond one for each shard, as a part of the latter.
  [[nodiscard]] double ExtraLoad() const {
    return static_cast<double>(sub_requests) /
               static_cast<double>(shards_asked) -
           1;
  }
  [[nodiscard]] double Coverage() const {
    return static_cast<double>(shards_covered) /
           static_cast<double>(shards_asked);
  }
  [[nodiscard]] Duration Quantile(double quantile) const {
    std::vector<Duration> sorted = latencies;
    std::ranges::sort(sorted);
    const auto index =
        static_cast<std::size_t>(quantile * static_cast<double>(sorted.size()));
    return sorted.empty() ? Duration{}
                          : sorted[std::min(index, sorted.size() - 1)];
  }
};

/// Runs a LoadPlan: an engine over the real gate and a fake fleet.
class LoadRun {
 public:
  explicit LoadRun(const LoadPlan& plan)
      : m_plan(plan),
        m_fleet(&m_scheduler, plan.fleet, plan.seed),
        m_random(plan.seed + 1) {
    ClusterConfig config;
    config.services = {MakeService()};
    UpstreamGateOptions gate;
    gate.scheduler = &m_scheduler;
    gate.seed = plan.seed + 2;
    gate.availability_zone = "zone0";
    m_gate = UpstreamGate::Make(gate);
    m_gate->ApplyConfig(config);
    QueryEngine::Options engine;
    engine.scheduler = &m_scheduler;
    engine.transport = &m_fleet;
    engine.gate = m_gate.get();
    engine.random_seed = plan.seed + 3;
    engine.hedging = plan.hedging;
    m_engine = std::make_unique<QueryEngine>(engine);
    m_engine->SetConfig(config);
    m_fleet.SetLoss([this](const Address& replica) {
      return IsLost(replica) ? m_plan.loss : FakeLoss::kNone;
    });
  }

  LoadResult Run() {
    Arrive();
    m_scheduler.RunFor(m_plan.warm_up + m_plan.duration);
    m_stopped = true;
    m_scheduler.RunFor(m_plan.deadline);
    return m_result;
  }

  [[nodiscard]] const QueryCounters& Counters() const {
    return m_engine->Counters();
  }

 private:
  [[nodiscard]] ServiceConfig MakeService() const {
    ServiceConfig service;
    service.name = "sangh.FormulaDesk";
    service.map_epoch = 1;
    service.index_version = 1;
    service.limits = {m_plan.fleet.slots, 60};
    for (std::uint32_t shard = 0; shard < m_plan.shards; ++shard) {
      ShardConfig config;
      for (std::uint32_t i = 0; i < m_plan.replicas; ++i) {
        const auto number = std::to_string(shard * m_plan.replicas + i);
        config.replicas.push_back({Address{number}, "zone0", false});
      }
      service.shards.push_back(std::move(config));
    }
    return service;
  }

  [[nodiscard]] bool IsLost(const Address& replica) const {
    return m_plan.lost_every != 0 &&
           std::stoul(replica.host_port) % m_plan.lost_every == 0;
  }

  void Arrive() {
    if (m_stopped) return;
    std::exponential_distribution<> gap(m_plan.queries_per_second);
    m_scheduler.Schedule(
        Duration(static_cast<Duration::rep>(gap(m_random) * 1e6)), [this] {
          Ask();
          Arrive();
        });
  }

  void Ask() {
    QuerySpec spec;
    spec.service = "sangh.FormulaDesk";
    spec.method = "Check";
    spec.workspace = "makers";
    spec.deadline = m_plan.deadline;
    spec.objective = m_plan.objective;
    spec.min_coverage_per_10000 = m_plan.min_coverage_per_10000;
    const TimePoint start = m_scheduler.Now();
    m_engine->Start(std::move(spec), &m_mergers,
                    [this, start](const QueryAnswer& answer) {
                      if (start >= TimePoint{} + m_plan.warm_up) {
                        Record(answer, m_scheduler.Now() - start);
                      }
                    });
  }

  void Record(const QueryAnswer& answer, Duration latency) {
    ++m_result.queries;
    if (answer.body) ++m_result.answered;
    m_result.shards_asked += answer.coverage.size();
    m_result.shards_covered += CountCovered(answer.coverage);
    m_result.sub_requests += answer.attempts;
    m_result.hedges += answer.hedges;
    m_result.retries += answer.retries;
    m_result.latencies.push_back(latency);
  }

  LoadPlan m_plan;
  FakeScheduler m_scheduler;
  FakeFleet m_fleet;
  std::mt19937_64 m_random;
  FakeMergerFactory m_mergers;
  std::unique_ptr<UpstreamGate> m_gate;
  std::unique_ptr<QueryEngine> m_engine;
  LoadResult m_result;
  bool m_stopped = false;
};

}  // namespace chicoryvale

#endif  // CHICORYVALE_TESTS_FAKES_LOAD_RUN_H_
