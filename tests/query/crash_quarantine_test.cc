#include <gtest/gtest.h>

#include <memory>
#include <optional>
#include <set>
#include <string>
#include <utility>

#include "query_fixture.h"
#include "upstream/upstream_gate.h"

namespace chicoryvale {
namespace {

// QueryEngine with the real gate and with fake upstreams that crash when they
// run the body "poison".
struct CrashFixture {
  FakeScheduler scheduler;
  FakeUpstream upstream{&scheduler};
  FakeMergerFactory mergers;
  std::unique_ptr<UpstreamGate> gate;
  std::unique_ptr<QueryEngine> engine;
  std::set<Address> lost;

  CrashFixture() {
    UpstreamGateOptions gate_options;
    gate_options.scheduler = &scheduler;
    gate = UpstreamGate::Make(gate_options);
    QueryEngine::Options options;
    options.scheduler = &scheduler;
    options.transport = &upstream;
    options.gate = gate.get();
    engine = std::make_unique<QueryEngine>(options);
    ClusterConfig config;
    config.services = {MakeTestService(20)};
    gate->ApplyConfig(config);
    engine->SetConfig(config);
    upstream.SetDefault([this](const SubRequest& request) {
      if (lost.contains(request.replica)) {
        return FakeUpstream::Fail(SubOutcomeKind::kNotConnected);
      }
      if (request.body == "poison") {
        lost.insert(request.replica);
        return FakeUpstream::Fail(SubOutcomeKind::kConnectionLost, true);
      }
      return upstream.Serve(request);
    });
  }

  QueryAnswer RunQuery(const std::string& body, std::uint64_t fingerprint) {
    QuerySpec spec = QueryFixture::Spec();
    spec.body = body;
    spec.fingerprint = fingerprint;
    std::optional<QueryAnswer> answer;
    engine->Start(std::move(spec), &mergers,
                  [&](QueryAnswer a) { answer = std::move(a); });
    scheduler.RunUntil([&] { return answer.has_value(); });
    return *std::move(answer);
  }
};

// Guards against a request that crashes one upstream after another when it is
// resent: it is quarantined, and other requests are still answered.
TEST(CrashQuarantineTest, ResentRequestCrashesAtMostTwoUpstreams) {
  CrashFixture fixture;
  for (std::uint64_t i = 1; i <= 30; ++i) {
    fixture.RunQuery("poison", 7);
    const QueryAnswer healthy = fixture.RunQuery("healthy", 1000 + i);
    ASSERT_TRUE(healthy.body.has_value());
    EXPECT_GE(CountCovered(healthy.coverage), 19U);
  }
  EXPECT_LE(fixture.lost.size(), 2U);
  const QueryAnswer refused = fixture.RunQuery("poison", 7);
  ASSERT_FALSE(refused.body.has_value());
  EXPECT_EQ(refused.body.error().kind, ErrorKind::kQuarantined);
  EXPECT_EQ(refused.body.error().ran, Ran::kNo);
  EXPECT_GT(fixture.engine->Counters().Get(QueryCounter::kFailedQuarantined),
            0U);
}

}  // namespace
}  // namespace chicoryvale
