// Requests without a route at an entry whose configuration may be behind.

#include <gtest/gtest.h>

#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "routing/one_replica_entry.h"

namespace chicoryvale {
namespace {

class UnknownRouteTest : public OneReplicaEntryTest {
 protected:
  UnknownRouteTest() { SetPrefix("/old/"); }

  void SetPrefix(const std::string& prefix) {
    RoutingConfig config;
    config.routes = {RouteToOne(prefix)};
    SetConfig(config);
  }
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
  SetPrefix("/new/");
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
  SetPrefix("/new/");
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
