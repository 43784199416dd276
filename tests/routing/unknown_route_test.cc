// Requests without a route at an entry whose configuration may be behind.

#include <gtest/gtest.h>

#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "fakes/open_freshness.h"
#include "routing/test_entry.h"

namespace chicoryvale {
namespace {

class UnknownRouteTest : public testing::Test {
 protected:
  UnknownRouteTest() {
    m_entry.guarded_router =
        std::make_unique<Router>(m_entry.context, 5, &m_freshness);
    SetConfig(1, "/old/");
    ListedReplica replica;
    replica.id = "one-a";
    replica.service = "one";
    replica.address = {"10.0.0.1:80"};
    replica.availability_zone = "z";
    replica.slots = 2;
    m_entry.pool.SetReplicas({replica}, m_scheduler.Now());
    m_entry.transport.SetBehaviour([](const ReplicaSend& send) {
      return ReplicaBehaviour{milliseconds(10), SignedAnswer(send.replica_id),
                              false};
    });
  }

  void SetConfig(std::uint64_t version, const std::string& prefix) {
    auto config = std::make_shared<RoutingConfig>();
    config->version = version;
    Route route = ScatteredRoute();
    route.path_prefix = prefix;
    route.scatter = {};
    route.services = {{"one", 1}};
    config->routes.push_back(route);
    GuardedRouter().SetConfig(config);
  }

  Router& GuardedRouter() { return *m_entry.guarded_router; }

  std::uint64_t Send(const std::string& path) {
    auto request = std::make_shared<OpaqueRequest>();
    request->id = "id";
    request->method = "GET";
    request->target = path;
    m_answer.reset();
    return GuardedRouter().Handle(
        {request, "h", path, milliseconds(400)},
        [this](RoutedAnswer answer) { m_answer = std::move(answer); });
  }

  void Confirm(bool is_current) {
    for (auto& callback : std::exchange(m_freshness.pending, {})) {
      callback(is_current);
    }
  }

  void ExpectRefused(ErrorKind kind) const {
    ASSERT_TRUE(m_answer && m_answer->error);
    EXPECT_EQ(m_answer->error->kind, kind);
    EXPECT_EQ(m_answer->error->ran, Ran::kNo);
  }

  FakeScheduler m_scheduler;
  FakeNetwork m_network{&m_scheduler, 1};
  MemberInfo m_self{"self", {"10.0.0.9:1"}, "z", MemberRole::kEntry};
  TestEntry m_entry{&m_scheduler, &m_network, m_self, {{m_self}}};
  OpenFreshness m_freshness;
  std::optional<RoutedAnswer> m_answer;
};

TEST_F(UnknownRouteTest, IsRefusedAsUnknownOnceTheConfigurationIsConfirmed) {
  Send("/new/x");
  EXPECT_FALSE(m_answer);
  Confirm(true);
  ExpectRefused(ErrorKind::kUnknownEndpoint);
}

// An entry that was behind answered 404 for routes that had been confirmed.
TEST_F(UnknownRouteTest, IsRefusedAsNotRunIfTheConfigurationIsNotConfirmed) {
  Send("/new/x");
  Confirm(false);
  ExpectRefused(ErrorKind::kNoConfiguration);
  EXPECT_GT(m_answer->retry_after, Duration::zero());
  EXPECT_EQ(m_entry.counters.Get(RoutingCounter::kRefusedUnconfirmed), 1U);
  EXPECT_EQ(m_entry.counters.Get(RoutingCounter::kRefusedUnknownRoute), 0U);
}

TEST_F(UnknownRouteTest, IsServedOnceItsRouteArrives) {
  Send("/new/x");
  m_scheduler.RunFor(milliseconds(150));
  SetConfig(2, "/new/");
  Confirm(true);
  m_scheduler.RunFor(milliseconds(20));
  ASSERT_TRUE(m_answer);
  EXPECT_FALSE(m_answer->error);
  ASSERT_EQ(m_entry.transport.Sends().size(), 1U);
  // The replica is told the time that the caller still waits.
  EXPECT_LE(m_entry.transport.Sends()[0].time_left, milliseconds(250));
}

TEST_F(UnknownRouteTest, ARequestWithARouteIsNotHeldUp) {
  Send("/old/x");
  m_scheduler.RunFor(milliseconds(20));
  ASSERT_TRUE(m_answer);
  EXPECT_FALSE(m_answer->error);
  EXPECT_TRUE(m_freshness.pending.empty());
}

TEST_F(UnknownRouteTest, ACallerThatLeavesIsForgotten) {
  const std::uint64_t number = Send("/new/x");
  ASSERT_NE(number, 0U);
  EXPECT_EQ(GuardedRouter().InFlight(), 1U);
  GuardedRouter().CancelOnDisconnect(number);
  EXPECT_EQ(GuardedRouter().InFlight(), 0U);
  SetConfig(2, "/new/");
  Confirm(true);
  m_scheduler.RunFor(milliseconds(20));
  EXPECT_FALSE(m_answer);
  EXPECT_TRUE(m_entry.transport.Sends().empty());
}

TEST_F(UnknownRouteTest, IsAnsweredWhenTheProcessEnds) {
  Send("/new/x");
  GuardedRouter().EndAll();
  ExpectRefused(ErrorKind::kNoConfiguration);
  Confirm(true);
}

TEST_F(UnknownRouteTest, AConfirmationAfterTheRouterHasNoEffect) {
  Send("/new/x");
  m_entry.guarded_router.reset();
  Confirm(true);
  EXPECT_FALSE(m_answer);
}

}  // namespace
}  // namespace chicoryvale
