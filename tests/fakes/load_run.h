#ifndef CHICORYVALE_TESTS_FAKES_LOAD_RUN_H_
#define CHICORYVALE_TESTS_FAKES_LOAD_RUN_H_

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <utility>
#include <vector>

#include "admission/admission_queue.h"
#include "fakes/fake_fleet.h"
#include "fakes/fake_merger.h"
#include "fakes/fake_scheduler.h"
#include "query/query_engine.h"
#include "upstream/upstream_gate.h"

namespace chicoryvale {

/// Arrival rate and admission weight of one workspace.
struct LoadWorkspace {
  std::string name;
  double queries_per_second = 0;
  std::uint32_t weight = 1;
};

/// Parameters of a simulated load on one service, on virtual time.
struct LoadPlan {
  std::uint32_t shards = 20;
  /// Replicas of each shard.
  std::uint32_t replicas = 2;
  FleetModel fleet;
  /// Every n-th replica has the `outage`; 0 means none.
  std::uint32_t outage_every = 0;
  FakeOutage outage = FakeOutage::kConnectionRefused;
  std::vector<LoadWorkspace> workspaces = {{"makers", 150, 1}};
  /// Whether queries pass through an AdmissionQueue before the engine.
  bool admission = false;
  Duration warm_up = seconds(5);
  Duration duration = seconds(20);
  Duration deadline = milliseconds(400);
  QueryObjective objective = QueryObjective::kCoverage;
  std::uint32_t min_coverage_per_10000 = 0;
  bool hedging = true;
  std::uint64_t seed = 1;
};

/// Results of a LoadPlan for queries that started after the warm-up.
struct LoadResult {
  std::uint64_t queries = 0;
  std::uint64_t answered = 0;
  std::uint64_t shards_requested = 0;
  std::uint64_t shards_covered = 0;
  std::uint64_t sub_requests = 0;
  std::uint64_t hedges = 0;
  std::uint64_t retries = 0;
  std::uint64_t refused = 0;
  /// Queries answered with all shards.
  std::uint64_t complete_answers = 0;
  std::vector<Duration> latencies;

  /// Returns the ratio of extra sub-requests (beyond one per requested shard)
  /// to requested shards.
  [[nodiscard]] double ExtraLoadRatio() const {
    return static_cast<double>(sub_requests) /
               static_cast<double>(shards_requested) -
           1;
  }
  /// Returns the ratio of covered to requested shards.
  [[nodiscard]] double Coverage() const {
    return static_cast<double>(shards_covered) /
           static_cast<double>(shards_requested);
  }
  /// Returns the latency at `quantile`, from 0 to 1; zero without queries.
  [[nodiscard]] Duration Quantile(double quantile) const {
    std::vector<Duration> sorted = latencies;
    std::ranges::sort(sorted);
    const auto index =
        static_cast<std::size_t>(quantile * static_cast<double>(sorted.size()));
    return sorted.empty() ? Duration{}
                          : sorted[std::min(index, sorted.size() - 1)];
  }
};

/// Results by the name of the workspace.
using WorkspaceResults = std::map<std::string, LoadResult>;

/// Runs a LoadPlan with a QueryEngine, an UpstreamGate and a FakeFleet.
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
    std::vector<WorkspaceWeight> weights;
    for (const LoadWorkspace& workspace : plan.workspaces) {
      weights.push_back({workspace.name, workspace.weight});
    }
    m_admission.SetWeights(weights);
    m_fleet.SetOutage([this](const Address& replica) {
      return IsLost(replica) ? m_plan.outage : FakeOutage::kNone;
    });
  }

  /// Runs the plan and returns the total over all workspaces. Call it once.
  LoadResult Run() {
    for (const LoadWorkspace& workspace : m_plan.workspaces) {
      ScheduleArrival(workspace);
    }
    m_scheduler.RunFor(m_plan.warm_up + m_plan.duration);
    m_stopped = true;
    m_scheduler.RunFor(2 * m_plan.deadline);
    return m_result;
  }

  /// Returns the results of each workspace. Valid after Run.
  [[nodiscard]] const WorkspaceResults& ByWorkspace() const {
    return m_by_workspace;
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
    return m_plan.outage_every != 0 &&
           std::stoul(replica.host_port) % m_plan.outage_every == 0;
  }

  void ScheduleArrival(const LoadWorkspace& workspace) {
    if (m_stopped) return;
    std::exponential_distribution<> interarrival_s(
        workspace.queries_per_second);
    m_scheduler.Schedule(
        Duration(static_cast<Duration::rep>(interarrival_s(m_random) * 1e6)),
        [this, &workspace] {
          Submit(workspace.name);
          ScheduleArrival(workspace);
        });
  }

  void Submit(const std::string& workspace) {
    const TimePoint start = m_scheduler.Now();
    if (!m_plan.admission) {
      StartQuery(workspace, start, 0);
      return;
    }
    m_admission.Submit(workspace, start + m_plan.deadline,
                       [this, workspace, start, ticket = ++m_last_ticket](
                           const Result<void>& admitted) {
                         if (admitted) {
                           StartQuery(workspace, start, ticket);
                         } else if (IsMeasured(start)) {
                           ++m_result.refused;
                           ++m_by_workspace[workspace].refused;
                         }
                       });
  }

  void StartQuery(const std::string& workspace, TimePoint start,
                  AdmissionTicket ticket) {
    QuerySpec spec;
    spec.service = "sangh.FormulaDesk";
    spec.method = "Check";
    spec.workspace = workspace;
    spec.timeout = start + m_plan.deadline - m_scheduler.Now();
    spec.objective = m_plan.objective;
    spec.min_coverage_per_10000 = m_plan.min_coverage_per_10000;
    m_engine->Start(std::move(spec), &m_mergers,
                    [=, this](const QueryAnswer& answer) {
                      if (ticket != 0) m_admission.Finish(ticket, answer);
                      if (!IsMeasured(start)) return;
                      const Duration latency = m_scheduler.Now() - start;
                      Record(answer, latency, &m_result);
                      Record(answer, latency, &m_by_workspace[workspace]);
                    });
  }

  [[nodiscard]] bool IsMeasured(TimePoint start) const {
    return start >= TimePoint{} + m_plan.warm_up && !m_stopped;
  }

  static void Record(const QueryAnswer& answer, Duration latency,
                     LoadResult* result) {
    ++result->queries;
    if (answer.body) ++result->answered;
    const std::size_t covered = CountCovered(answer.coverage);
    if (covered == answer.coverage.size()) ++result->complete_answers;
    result->shards_requested += answer.coverage.size();
    result->shards_covered += covered;
    result->sub_requests += answer.attempts;
    result->hedges += answer.hedges;
    result->retries += answer.retries;
    result->latencies.push_back(latency);
  }

  LoadPlan m_plan;
  FakeScheduler m_scheduler;
  FakeFleet m_fleet;
  std::mt19937_64 m_random;
  FakeMergerFactory m_mergers;
  std::unique_ptr<UpstreamGate> m_gate;
  std::unique_ptr<QueryEngine> m_engine;
  AdmissionCounters m_admission_counters;
  AdmissionQueue m_admission{&m_scheduler, &m_admission_counters};
  /// Predicts the tickets of `m_admission`, which numbers them from 1.
  AdmissionTicket m_last_ticket = 0;
  LoadResult m_result;
  WorkspaceResults m_by_workspace;
  bool m_stopped = false;
};

}  // namespace chicoryvale

#endif  // CHICORYVALE_TESTS_FAKES_LOAD_RUN_H_
