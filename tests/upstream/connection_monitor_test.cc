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

TEST_F(ConnectionMonitorTest, AnswerOnNewConnectionRevealsDeadKeptConnections) {
  Stall(&m_monitor, 2);
  EXPECT_FALSE(m_monitor.StartProbeIfSuspected());
  Stall(&m_monitor, 1);
  EXPECT_TRUE(m_monitor.StartProbeIfSuspected());
  EXPECT_FALSE(m_monitor.StartProbeIfSuspected()) << "only one probe at a time";
  EXPECT_EQ(m_monitor.OnAnswer(true, kTypical, kTypical, kNow),
            ConnectionVerdict::kReplicaConnectionsDead);
}

TEST_F(ConnectionMonitorTest, SlowReplicaIsNotMistakenForDeadConnections) {
  Stall(&m_monitor, 3);
  EXPECT_TRUE(m_monitor.StartProbeIfSuspected());
  m_monitor.OnNoProgress(true, kStall, kTypical);
  Stall(&m_monitor, 5);
  EXPECT_FALSE(m_monitor.StartProbeIfSuspected())
      << "a slow replica is probed less often";
  Stall(&m_monitor, 1);
  EXPECT_TRUE(m_monitor.StartProbeIfSuspected());
  EXPECT_EQ(m_monitor.OnAnswer(true, kStall, kTypical, kNow),
            ConnectionVerdict::kNone);
}

TEST_F(ConnectionMonitorTest, AnswerOnKeptConnectionEndsTheSuspicion) {
  Stall(&m_monitor, 3);
  m_monitor.OnAnswer(false, kTypical, kTypical, kNow);
  EXPECT_FALSE(m_monitor.StartProbeIfSuspected());
}

TEST_F(ConnectionMonitorTest,
       SecondReplicaWithDeadConnectionsImplicatesThePath) {
  ConnectionMonitor second(m_settings, &m_path);
  for (ConnectionMonitor* monitor : {&m_monitor, &second}) {
    Stall(monitor, 3);
    EXPECT_TRUE(monitor->StartProbeIfSuspected());
  }
  EXPECT_EQ(m_monitor.OnAnswer(true, kTypical, kTypical, kNow),
            ConnectionVerdict::kReplicaConnectionsDead);
  EXPECT_EQ(second.OnAnswer(true, kTypical, kTypical, kNow + seconds(1)),
            ConnectionVerdict::kPathConnectionsDead);
}

struct Row {
  std::string name;
  ConnectionFault fault;
  /// Stated target: time until no attempt is sent on a dead connection. Zero if
  /// connections must stay open.
  Duration max_detection_time;
};

class ConnectionFaultModelTest : public testing::TestWithParam<Row> {};

TEST_P(ConnectionFaultModelTest, FindsDeadConnectionsAndKeepsSlowOnesOpen) {
  for (std::uint64_t seed = 1; seed <= 2; ++seed) {
    SCOPED_TRACE("seed " + std::to_string(seed));
    const ConnectionFaultResult result =
        ConnectionFaultModel({GetParam().fault, true, seed}).Run();
    EXPECT_GT(result.requests, 50000);
    EXPECT_EQ(result.failed, 0);
    EXPECT_LE(result.last_dead_attempt_delay, GetParam().max_detection_time);
    if (GetParam().max_detection_time == Duration::zero()) {
      EXPECT_LE(result.working_connections_closed * 1000, result.requests);
    }
  }
}

INSTANTIATE_TEST_SUITE_P(
    Faults, ConnectionFaultModelTest,
    testing::Values(
        Row{"OneReplica", ConnectionFault::kOneReplica, milliseconds(500)},
        Row{"OnePath", ConnectionFault::kOnePath, milliseconds(500)},
        Row{"SlowReplica", ConnectionFault::kSlowReplica, Duration::zero()},
        Row{"SlowPath", ConnectionFault::kSlowPath, Duration::zero()}),
    [](const testing::TestParamInfo<Row>& info) { return info.param.name; });

}  // namespace
}  // namespace chicoryvale
