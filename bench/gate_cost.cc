// Measures the processor time of one attempt through the upstream gate, by
// number of replicas.

#include <benchmark/benchmark.h>

#include <cstdint>
#include <memory>
#include <string>

#include "fakes/fake_scheduler.h"
#include "upstream/upstream_gate.h"

namespace chicoryvale {
namespace {

/// Runs attempts at each shard in turn. If `with_fingerprints` is not 0, each
/// attempt has a fingerprint, which changes with each pass over the shards.
void MeasureAttempts(benchmark::State* state, std::uint64_t with_fingerprints) {
  FakeScheduler scheduler;
  ServiceConfig service;
  service.name = "macchie.EyepieceDesk";
  const auto replicas = static_cast<std::size_t>(state->range(0));
  const std::size_t shards = replicas / 2;
  for (std::size_t shard = 0; shard < shards; ++shard) {
    service.shards.emplace_back();
    for (std::size_t i = 0; i < 2; ++i) {
      const std::string address = "10.0." + std::to_string(shard / 250) + "." +
                                  std::to_string(shard % 250) + ":" +
                                  std::to_string(8000 + i);
      service.shards.back().replicas.push_back({{address}, "a", false});
    }
  }
  ClusterConfig config;
  config.services = {service};
  UpstreamGateOptions options;
  options.scheduler = &scheduler;
  options.availability_zone = "a";
  const auto gate = UpstreamGate::Make(options);
  gate->ApplyConfig(config);
  AttemptSpec spec;
  spec.service = service.name;
  spec.workspace = "observers";
  SubOutcome outcome;
  outcome.kind = SubOutcomeKind::kAnswered;
  outcome.report.load = 1;
  std::uint64_t attempt = 0;
  for (auto _ : *state) {
    scheduler.RunFor(microseconds(4));
    spec.shard = attempt % shards;
    spec.deadline = scheduler.Now() + milliseconds(400);
    if (with_fingerprints != 0) spec.fingerprint = 1 + attempt / shards;
    ++attempt;
    const GateTicket ticket = gate->NewTicket();
    gate->Request(spec, ticket, [](const Result<ReplicaChoice>& choice) {
      benchmark::DoNotOptimize(choice.has_value());
    });
    gate->Finish(ticket, outcome, milliseconds(5));
  }
}

void BM_Attempt(benchmark::State& state) {  // NOLINT: benchmark's signature
  MeasureAttempts(&state, 0);
}
BENCHMARK(BM_Attempt)->Arg(40)->Arg(400)->Arg(3400)->Arg(18000);

void BM_AttemptWithFingerprint(benchmark::State& state) {  // NOLINT: as above
  MeasureAttempts(&state, 1);
}
BENCHMARK(BM_AttemptWithFingerprint)->Arg(40)->Arg(400)->Arg(3400)->Arg(18000);

}  // namespace
}  // namespace chicoryvale

BENCHMARK_MAIN();
