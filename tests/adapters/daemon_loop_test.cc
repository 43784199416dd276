#include "adapters/daemon_loop.h"

#include <gtest/gtest.h>

#include <csignal>
#include <utility>

#include "adapters/glib_scheduler.h"

namespace chicoryvale {
namespace {

constexpr Duration kReadDelay = milliseconds(1);
constexpr Duration kAnswerDelay = milliseconds(60);

class DaemonLoopTest : public testing::Test {
 protected:
  DaemonLoopTest() {
    m_steps.withdraw_readiness = [] {};
    m_steps.linger = milliseconds(10);
    m_steps.stop_accepting = [] {};
    m_steps.in_flight = [this] { return m_in_flight; };
  }

  // Reads a request after kReadDelay and answers it after kAnswerDelay.
  void ReadRequestSoon() {
    m_scheduler.Schedule(kReadDelay, [this] {
      ++m_in_flight;
      m_scheduler.Schedule(kAnswerDelay, [this] { --m_in_flight; });
    });
  }

  ExitCode RunUntilStopped() {
    m_scheduler.Schedule(Duration::zero(), [] { raise(SIGTERM); });
    return m_loop.Run({}, m_steps);
  }

  GlibScheduler m_scheduler;
  DaemonLoop m_loop{&m_scheduler};
  ShutdownSteps m_steps;
  std::uint32_t m_in_flight = 0;
};

// A request that was read on an open connection after the loop had found none
// in flight was passed on, and then cut by the end of the process.
TEST_F(DaemonLoopTest, ARequestReadAfterTheLastCheckIsAnswered) {
  bool first_check = true;
  m_steps.in_flight = [this, &first_check] {
    if (std::exchange(first_check, false)) ReadRequestSoon();
    return m_in_flight;
  };
  EXPECT_EQ(RunUntilStopped(), ExitCode::kOk);
  EXPECT_EQ(m_in_flight, 0U);
}

// Signals after the first one ended the process at once and lost the requests
// in flight.
TEST_F(DaemonLoopTest, FurtherSignalsDoNotCutRequestsInFlight) {
  for (const int signal : {SIGTERM, SIGINT, SIGHUP}) {
    SCOPED_TRACE(signal);
    DaemonLoop loop(&m_scheduler);
    int reloads = 0;
    m_steps.reload = [&reloads] { ++reloads; };
    m_steps.stop_accepting = [this, signal] {
      ReadRequestSoon();
      m_scheduler.Schedule(kAnswerDelay / 2, [signal] { raise(signal); });
    };
    m_in_flight = 1;
    m_scheduler.Schedule(kReadDelay * 2, [this] { --m_in_flight; });
    m_scheduler.Schedule(Duration::zero(), [] { raise(SIGTERM); });
    EXPECT_EQ(loop.Run({}, m_steps), ExitCode::kOk);
    EXPECT_EQ(m_in_flight, 0U);
  }
}

}  // namespace
}  // namespace chicoryvale
