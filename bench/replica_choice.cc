// Compares the replica choice of the upstream gate with round robin and with
// the least reported load, and measures goodput under overload, on virtual
// time.

#include <cstdint>
#include <cstdio>

#include "upstream/load_model.h"

namespace chicoryvale::upstream_test {
namespace {

constexpr std::uint64_t kSeeds = 5;

LoadModelResult RunAllSeeds(LoadModelOptions options) {
  LoadModelResult sum;
  for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
    options.seed = seed;
    const LoadModelResult one = LoadModel(options).Run();
    sum.requests += one.requests;
    sum.answered_in_time += one.answered_in_time;
    sum.refused += one.refused;
    sum.late += one.late;
    sum.attempts += one.attempts;
    sum.p50 += one.p50 / kSeeds;
    sum.p99 += one.p99 / kSeeds;
  }
  return sum;
}

void CompareChoices(const char* name, LoadFault fault) {
  std::printf("%-16s", name);
  for (const ChoiceKind choice : {ChoiceKind::kGate, ChoiceKind::kRoundRobin,
                                  ChoiceKind::kLeastReportedLoad}) {
    LoadModelOptions options;
    options.choice = choice;
    options.fault = fault;
    const LoadModelResult sum = RunAllSeeds(options);
    const std::uint64_t lost = sum.late + sum.refused;
    std::printf(" %8.1f %8.1f %6llu", ToSeconds(sum.p50) * 1e3,
                ToSeconds(sum.p99) * 1e3,
                static_cast<unsigned long long>(lost));
  }
  std::printf("\n");
}

void MeasureOverload(std::size_t entries, std::size_t replicas,
                     std::uint32_t slots) {
  for (const double load : {0.5, 1.0, 2.0, 5.0}) {
    LoadModelOptions options;
    options.load = load;
    options.entries = entries;
    options.replicas = replicas;
    options.slots = slots;
    options.length = seconds(20);
    const LoadModelResult sum = RunAllSeeds(options);
    const double total_seconds = ToSeconds(options.length) * kSeeds;
    std::printf(
        "%7zu %8zu %5u %5.1f %9.1f %9.1f %9.1f %9.2f\n", entries, replicas,
        slots, load, static_cast<double>(sum.answered_in_time) / total_seconds,
        static_cast<double>(sum.refused) / total_seconds,
        static_cast<double>(sum.late) / total_seconds,
        static_cast<double>(sum.attempts) / static_cast<double>(sum.requests));
  }
}

}  // namespace
}  // namespace chicoryvale::upstream_test

int main() {
  using chicoryvale::upstream_test::CompareChoices;
  using chicoryvale::upstream_test::LoadFault;
  using chicoryvale::upstream_test::MeasureOverload;
  std::printf(
      "seeds 1-5 of 60 s; 7 replicas of 3 slots, 4 entries, 0.6 of the "
      "capacity; p50 ms, p99 ms, late or refused\n");
  std::printf("%-16s %24s %24s %24s\n", "fault", "gate", "round robin",
              "least reported");
  CompareChoices("none", LoadFault::kNone);
  CompareChoices("reports lag", LoadFault::kReportsLag);
  CompareChoices("reports stick", LoadFault::kReportsStuck);
  CompareChoices("reports lie", LoadFault::kReportsInverted);
  CompareChoices("slow replica", LoadFault::kSlowReplica);
  CompareChoices("slow and lies", LoadFault::kSlowAndReportsIdle);
  CompareChoices("cold start", LoadFault::kColdStart);
  std::printf("\nseeds 1-5 of 20 s; per second\n");
  std::printf("%7s %8s %5s %5s %9s %9s %9s %9s\n", "entries", "replicas",
              "slots", "load", "good", "refused", "late", "att./req");
  MeasureOverload(4, 7, 3);
  MeasureOverload(16, 2, 2);
  return 0;
}
