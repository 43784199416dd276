// A gateway process that is stopped by SIGTERM while callers send requests.

#include <gtest/gtest.h>

#include <array>
#include <chrono>
#include <csignal>
#include <mutex>
#include <set>
#include <string>
#include <thread>

#include "fakes/raw_socket.h"
#include "process/cluster.h"
#include "process/gateway_deployment.h"

namespace chicoryvale {
namespace {

using std::chrono::steady_clock;

constexpr std::chrono::milliseconds kGrace{4000};
constexpr std::chrono::milliseconds kLinger{400};

/// A replica takes this long, which is more than the grace period.
constexpr Duration kReplicaTime = seconds(30);

/// A gateway whose only replica answers after kReplicaTime.
class PlannedStopTest : public testing::Test {
 protected:
  void Receive(const HttpRequest& request, const HttpResponder& respond) {
    const std::lock_guard lock(m_mutex);
    m_received_ids.insert(
        FindHeader(request.headers, "Chicoryvale-Request-Id"));
    m_deployment.scheduler()->Schedule(kReplicaTime,
                                       [respond] { respond({}); });
  }

  bool HasReceived(const std::string& id) {
    const std::lock_guard lock(m_mutex);
    return m_received_ids.contains(id);
  }

  std::mutex m_mutex;
  std::set<std::string> m_received_ids;
  GatewayDeployment m_deployment{
      {"i-1"},
      [this](const std::string&, const HttpRequest& request,
             const HttpResponder& respond) { Receive(request, respond); },
      {.linger = kLinger, .grace = kGrace}};
};

// Requests that came late in the grace period, on connections that were still
// open, were passed on and then cut without an answer by the end of the
// process, among them requests that may not be repeated.
TEST_F(PlannedStopTest, ARequestReadLateInTheGracePeriodIsAnswered) {
  const std::array<std::string, 2> routes = {"once", "many"};
  std::array<std::string, 2> early_answers;
  std::array<std::string, 2> late_answers;
  RunBeside([&] {
    m_deployment.Start(1);
    const Address callers = m_deployment.CallerAddress(0);
    std::array<RawSocket, 2> early = {RawSocket(callers), RawSocket(callers)};
    for (std::size_t i = 0; i < routes.size(); ++i) {
      early[i].Send(
          GatewayDeployment::RequestBytes(routes[i], "early-" + routes[i]));
      WaitFor([&] { return HasReceived("early-" + routes[i]); });
    }
    const auto stopped_at = steady_clock::now();
    m_deployment.Gateway(0).Signal(SIGTERM);
    WaitFor([&] { return m_deployment.Readiness(0) == 503; });
    // Accepted during the linger time.
    std::array<RawSocket, 2> late = {RawSocket(callers), RawSocket(callers)};
    std::this_thread::sleep_until(stopped_at + kGrace * 8 / 10);
    for (std::size_t i = 0; i < routes.size(); ++i) {
      late[i].Send(
          GatewayDeployment::RequestBytes(routes[i], "late-" + routes[i]));
    }
    for (std::size_t i = 0; i < routes.size(); ++i) {
      late_answers[i] = late[i].ReceiveAll();
      early_answers[i] = early[i].ReceiveAll();
    }
    EXPECT_LT(steady_clock::now() - stopped_at, kGrace);
    EXPECT_EQ(m_deployment.Gateway(0).Wait(), 0);
  });
  for (const std::string& answer : late_answers) {
    EXPECT_TRUE(answer.starts_with("HTTP/1.1 503")) << answer;
  }
  EXPECT_FALSE(HasReceived("late-once"));
  EXPECT_FALSE(HasReceived("late-many"));
  // They may have run, which the answer says.
  for (const std::string& answer : early_answers) {
    EXPECT_TRUE(answer.starts_with("HTTP/1.1 504")) << answer;
    EXPECT_NE(answer.find("Connection: close"), std::string::npos) << answer;
  }
}

}  // namespace
}  // namespace chicoryvale
