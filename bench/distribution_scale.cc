// Measures how fast configuration changes spread as the group grows, and what
// one change costs as the configuration grows, on virtual time. Prints tables
// and fitted slopes. Usage: distribution_scale [LARGEST_SIZE]

#include <malloc.h>

#include <algorithm>
#include <cstdio>
#include <cstdlib>
#include <string>
#include <utility>
#include <vector>

#include "fakes/fake_cluster.h"
#include "scale_report.h"

namespace chicoryvale {
namespace {

constexpr std::size_t kZones = 4;
constexpr std::uint64_t kSeed = 1;
constexpr std::size_t kShardsPerService = 20;
constexpr int kChanges = 20;
constexpr Duration kMaxSpreadTime = seconds(14);

using Points = std::vector<std::pair<double, double>>;

ClusterConfig MakeConfig(std::size_t replicas) {
  ClusterConfig config;
  config.version = 1;
  config.schema_text = std::string(4000, 's');
  for (std::size_t placed = 0; placed < replicas;) {
    ServiceConfig service;
    service.name = "macchie.Service" + std::to_string(placed);
    service.shards.resize(kShardsPerService);
    for (ShardConfig& shard : service.shards) {
      for (int copy = 0; copy < 2; ++copy, ++placed) {
        const std::string host = "10.1." + std::to_string(placed / 250) + "." +
                                 std::to_string(placed % 250);
        shard.replicas.push_back({{host + ":9000"}, "zone-a", false});
      }
    }
    config.services.push_back(std::move(service));
  }
  return config;
}

void ToggleDraining(ClusterConfig* config) {
  bool& draining = config->services.back().shards[3].replicas[0].draining;
  draining = !draining;
}

/// Measures the spread of kChanges changes in one group.
void MeasureSpread(std::size_t size, Points* slowest, Points* bytes,
                   Points* served) {
  FakeCluster cluster(
      size - FakeCluster::kControlCount, kZones, kSeed,
      static_cast<std::uint32_t>(std::max<std::size_t>(1, size / kZones / 8)));
  cluster.group.network().datagram_loss_ratio = 0.1;
  cluster.Change([](ClusterConfig* config) {
    config->services = MakeConfig(160).services;
  });
  cluster.group.RunUntil(seconds(60),
                         [&] { return cluster.AllHaveVersion(1); });
  cluster.group.scheduler().RunFor(seconds(30));
  FakeNetwork& network = cluster.group.network();
  Duration longest{};
  Duration total{};
  double extra_bytes = 0;
  const auto sent_bytes = [&network] {
    return static_cast<double>(network.datagram_bytes + network.call_bytes) +
           static_cast<double>(network.datagrams) * kDatagramOverheadBytes;
  };
  // The bytes that the membership alone sends in the same time.
  const double bytes_before_quiet = sent_bytes();
  cluster.group.scheduler().RunFor(seconds(10) * kChanges);
  const double quiet_bytes = sent_bytes() - bytes_before_quiet;
  const double bytes_before = sent_bytes();
  for (int change = 0; change < kChanges; ++change) {
    cluster.Change(ToggleDraining);
    const Duration spread = cluster.group.RunUntil(kMaxSpreadTime, [&] {
      return cluster.AllHaveVersion(cluster.newest().version);
    });
    longest = std::max(longest, spread);
    total += spread;
    cluster.group.scheduler().RunFor(seconds(10) - spread);
  }
  extra_bytes = (sent_bytes() - bytes_before - quiet_bytes) / kChanges /
                static_cast<double>(size);
  std::uint64_t max_served = 0;
  for (std::size_t i = 0; i < size; ++i) {
    max_served = std::max(max_served, cluster.distributor(i).counters().Get(
                                          DistributionCounter::kServedDeltas));
  }
  const double max_served_per_change =
      static_cast<double>(max_served) / kChanges;
  std::printf("%6zu %9.2f %9.2f %14.0f %16.1f\n", size,
              ToSeconds(total) / kChanges, ToSeconds(longest), extra_bytes,
              max_served_per_change);
  std::fflush(stdout);
  slowest->emplace_back(static_cast<double>(size), ToSeconds(longest));
  bytes->emplace_back(static_cast<double>(size), extra_bytes);
  served->emplace_back(static_cast<double>(size), max_served_per_change);
}

/// Measures the cost of one change for a configuration of `replicas` replicas.
void MeasureChange(std::size_t replicas) {
  constexpr int kRounds = 20;
  const double heap_bytes = static_cast<double>(mallinfo2().uordblks);
  const ClusterConfig from = MakeConfig(replicas);
  const double config_bytes =
      static_cast<double>(mallinfo2().uordblks) - heap_bytes;
  ClusterConfig to = from;
  ToggleDraining(&to);
  ++to.version;
  double start = ProcessorSeconds();
  std::optional<ConfigDelta> delta;
  for (int i = 0; i < kRounds; ++i) delta = MakeDelta(from, to);
  const double make_ms = (ProcessorSeconds() - start) / kRounds * 1e3;
  start = ProcessorSeconds();
  for (int i = 0; i < kRounds; ++i) {
    ClusterConfig config = from;
    if (!ApplyDelta(*delta, &config)) std::puts("the delta does not apply");
  }
  const double apply_ms = (ProcessorSeconds() - start) / kRounds * 1e3;
  std::printf("%8zu %10zu %12.0f %8zu %10.2f %10.2f\n", replicas,
              EncodeConfig(from).size(), config_bytes / 1024,
              delta->bytes.size(), make_ms, apply_ms);
}

void RunBenchmark(std::size_t max_size) {
  std::puts("one drained replica, 10% of datagrams lost");
  std::printf("%6s %9s %9s %14s %16s\n", "nodes", "mean s", "slowest s",
              "B/node/change", "most served/chg");
  Points slowest;
  Points bytes;
  Points served;
  for (std::size_t size = 16; size <= max_size; size *= 2) {
    MeasureSpread(size, &slowest, &bytes, &served);
  }
  std::printf("\nfits, each with its value at %.0f nodes\n", kTargetNodes);
  PrintFits("slowest spread, s", slowest);
  PrintFits("bytes a node and change", bytes);
  PrintFits("most served by one node", served);
  std::printf("\n%8s %10s %12s %8s %10s %10s\n", "replicas", "whole B",
              "in memory KB", "step B", "make ms", "apply ms");
  for (const std::size_t replicas : {240, 1000, 4000, 18000}) {
    MeasureChange(replicas);
  }
}

}  // namespace
}  // namespace chicoryvale

int main(int argc, char** argv) {
  chicoryvale::RunBenchmark(argc > 1 ? std::strtoul(argv[1], nullptr, 10)
                                     : 256);
  return 0;
}
