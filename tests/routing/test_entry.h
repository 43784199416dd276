#ifndef CHICORYVALE_TESTS_ROUTING_TEST_ENTRY_H_
#define CHICORYVALE_TESTS_ROUTING_TEST_ENTRY_H_

#include <memory>
#include <utility>
#include <vector>

#include "fakes/fake_network.h"
#include "fakes/fake_replica_transport.h"
#include "fakes/fake_scheduler.h"
#include "fakes/fixed_members.h"
#include "fakes/recording_log.h"
#include "routing/relay_client.h"
#include "routing/relay_service.h"
#include "routing/router.h"

namespace chicoryvale {

/// The routing components of one entry.
struct TestEntry {
  TestEntry(FakeScheduler* scheduler, FakeNetwork* network,
            const MemberInfo& self, const std::vector<Member>& members)
      : transport(scheduler),
        pool(self.availability_zone, 3),
        sends(scheduler, &transport, &pool, &log),
        budget({.ratio = 0.2, .window = seconds(10), .fixed_retries = 40}, {}),
        peers(network, self.address, scheduler),
        view(self, members),
        relay({scheduler, &peers, &view}, 5),
        context{.scheduler = scheduler,
                .sends = &sends,
                .pool = &pool,
                .budget = &budget,
                .log = &log,
                .counters = &counters,
                .latencies = nullptr,
                .relay = &relay},
        router(context, 5),
        service(context, &peers) {}

  FakeReplicaTransport transport;
  RecordingLog log;
  ReplicaPool pool;
  SendTracker sends;
  RetryBudget budget;
  FakePeerTransport peers;
  FixedMembers view;
  RelayClient relay;
  CounterSet<RoutingCounter> counters;
  RoutingContext context;
  Router router;
  RelayService service;
  /// A router with what a test adds to `context`, if the test makes one.
  std::unique_ptr<Router> guarded_router;
};

/// Returns a route for all paths of host "h"; the test adds its shards.
inline Route ScatteredRoute() {
  Route route;
  route.name = "all";
  route.host = "h";
  route.path_prefix = "/";
  route.idempotent = true;
  route.timeout = milliseconds(1000);
  route.target_latency = milliseconds(100);
  route.max_attempts = 2;
  route.scatter.rank_limit = 4;
  route.scatter.min_coverage = 0.9;
  return route;
}

}  // namespace chicoryvale

#endif  // CHICORYVALE_TESTS_ROUTING_TEST_ENTRY_H_
