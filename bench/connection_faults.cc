// Measures the detection of silent connections, and how often connections to
// replicas that are only slow are closed by mistake, on virtual time.

#include <cstdint>
#include <cstdio>

#include "upstream/connection_fault_model.h"

namespace chicoryvale::upstream_test {
namespace {

constexpr std::uint64_t kSeeds = 10;

void Measure(const char* name, ConnectionFault fault, bool monitored) {
  ConnectionFaultResult sum;
  Duration max_dead_attempt_delay{};
  for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
    const ConnectionFaultResult result =
        ConnectionFaultModel({fault, monitored, seed}).Run();
    sum.requests += result.requests;
    sum.failed += result.failed;
    sum.attempts += result.attempts;
    sum.connections_opened += result.connections_opened;
    sum.dead_connection_attempts += result.dead_connection_attempts;
    sum.working_connections_closed += result.working_connections_closed;
    sum.p99 += result.p99;
    max_dead_attempt_delay =
        std::max(max_dead_attempt_delay, result.last_dead_attempt_delay);
  }
  const double extra_percent = 100.0 * (static_cast<double>(sum.attempts) /
                                            static_cast<double>(sum.requests) -
                                        1.0);
  const double runs = kSeeds;
  std::printf("%-16s %-4s %8.1f %8.1f %9.1f %9.1f %8.2f %7.0f %8.1f\n", name,
              monitored ? "yes" : "no",
              static_cast<double>(sum.dead_connection_attempts) / runs,
              ToSeconds(max_dead_attempt_delay) * 1e3,
              static_cast<double>(sum.working_connections_closed) / runs,
              static_cast<double>(sum.connections_opened) / runs, extra_percent,
              static_cast<double>(sum.failed) / runs,
              ToSeconds(sum.p99) * 1e3 / runs);
}

}  // namespace
}  // namespace chicoryvale::upstream_test

int main() {
  using chicoryvale::upstream_test::ConnectionFault;
  using chicoryvale::upstream_test::Measure;
  std::printf(
      "seeds 1-10, 30 s each, fault at 5 s; 10 shards of 2 replicas, "
      "2000 requests/s, hedge after 20 ms\n");
  std::printf("%-16s %-4s %8s %8s %9s %9s %8s %7s %8s\n", "fault", "mon.",
              "stalled", "last ms", "wrongly c", "opened", "extra %", "failed",
              "p99 ms");
  for (const bool monitored : {false, true}) {
    Measure("none", ConnectionFault::kNone, monitored);
    Measure("one connection", ConnectionFault::kOneConnection, monitored);
    Measure("one replica", ConnectionFault::kOneReplica, monitored);
    Measure("one path", ConnectionFault::kOnePath, monitored);
    Measure("slow replica", ConnectionFault::kSlowReplica, monitored);
    Measure("slow path", ConnectionFault::kSlowPath, monitored);
  }
  return 0;
}
