#include "upstream/connection_monitor.h"

#include <gtest/gtest.h>

#include <string>

#include "upstream/connection_fault_model.h"

namespace chicoryvale {
namespace {

using upstream_test::ConnectionFault;
using upstream_test::ConnectionFaultModel;
using upstream_test::ConnectionFaultResult;

constexpr TimePoint kNow = TimePoint(seconds(100));
constexpr Duration kTypical = milliseconds(5);
constexpr Duration kStall = milliseconds(25);

class ConnectionMonitorTest : public testing::Test {
 protected:
  void Stall(ConnectionMonitor* monitor, std::uint32_t times) {
    for (std::uint32_t i = 0; i < times; ++i) {
      monitor->OnNoProgress(false, kStall, kTypical);
    }
  }

  ConnectionMonitorSettings m_settings;
  PathMonitor m_path;
  ConnectionMonitor m_monitor{m_settings, &m_path};
};

TEST_F(ConnectionMonitorTest, NewConnectionThatWorksShowsKeptOnesSilent) {
  Stall(&m_monitor, 2);
  EXPECT_FALSE(m_monitor.TakeFresh());
  Stall(&m_monitor, 1);
  EXPECT_TRUE(m_monitor.TakeFresh());
  EXPECT_FALSE(m_monitor.TakeFresh()) << "one trial at a time";
  EXPECT_EQ(m_monitor.OnAnswer(true, kTypical, kTypical, kNow),
            ConnectionVerdict::kReplicaConnectionsDead);
}

TEST_F(ConnectionMonitorTest, SlowReplicaIsNotTakenForSilent) {
  Stall(&m_monitor, 3);
  EXPECT_TRUE(m_monitor.TakeFresh());
  m_monitor.OnNoProgress(true, kStall, kTypical);
  Stall(&m_monitor, 5);
  EXPECT_FALSE(m_monitor.TakeFresh()) << "a slow replica is tried less often";
  Stall(&m_monitor, 1);
  EXPECT_TRUE(m_monitor.TakeFresh());
  EXPECT_EQ(m_monitor.OnAnswer(true, kStall, kTypical, kNow),
            ConnectionVerdict::kNone);
}

TEST_F(ConnectionMonitorTest, AnswerOnAKeptConnectionEndsTheSuspicion) {
  Stall(&m_monitor, 3);
  m_monitor.OnAnswer(false, kTypical, kTypical, kNow);
  EXPECT_FALSE(m_monitor.TakeFresh());
}

TEST_F(ConnectionMonitorTest, SecondSilentReplicaOfAZoneShowsThePath) {
  ConnectionMonitor second(m_settings, &m_path);
  for (ConnectionMonitor* monitor : {&m_monitor, &second}) {
    Stall(monitor, 3);
    EXPECT_TRUE(monitor->TakeFresh());
  }
  EXPECT_EQ(m_monitor.OnAnswer(true, kTypical, kTypical, kNow),
            ConnectionVerdict::kReplicaConnectionsDead);
  EXPECT_EQ(second.OnAnswer(true, kTypical, kTypical, kNow + seconds(1)),
            ConnectionVerdict::kPathConnectionsDead);
}

struct Row {
  std::string name;
  ConnectionFault fault;
  /// Stated target: time until no attempt goes to a silent connection.
  Duration found_within;
};

class SilentModelTest : public testing::TestWithParam<Row> {};

TEST_P(SilentModelTest, SilentIsFoundAndSlowIsLeftOpen) {
  for (std::uint64_t seed = 1; seed <= 2; ++seed) {
    SCOPED_TRACE("seed " + std::to_string(seed));
    const ConnectionFaultResult result =
        ConnectionFaultModel({GetParam().fault, true, seed}).Run();
    EXPECT_GT(result.requests, 50000);
    EXPECT_EQ(result.failed, 0);
    EXPECT_LE(result.last_stall_delay, GetParam().found_within);
    if (GetParam().found_within == Duration::zero()) {
      EXPECT_LE(result.working_closed * 1000, result.requests);
    }
  }
}

INSTANTIATE_TEST_SUITE_P(
    Faults, SilentModelTest,
    testing::Values(
        Row{"OneReplica", ConnectionFault::kOneReplica, milliseconds(500)},
        Row{"OnePath", ConnectionFault::kOnePath, milliseconds(500)},
        Row{"SlowReplica", ConnectionFault::kSlowReplica, Duration::zero()},
        Row{"SlowPath", ConnectionFault::kSlowPath, Duration::zero()}),
    [](const testing::TestParamInfo<Row>& info) { return info.param.name; });

}  // namespace
}  // namespace chicoryvale
