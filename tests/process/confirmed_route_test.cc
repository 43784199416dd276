// Gateway processes that have not received a change which a control process has
// accepted.

#include <gtest/gtest.h>

#include <chrono>
#include <csignal>
#include <string>
#include <thread>

#include "fakes/raw_socket.h"
#include "process/cluster.h"
#include "process/gateway_deployment.h"

namespace chicoryvale {
namespace {

using std::chrono::milliseconds;
using std::chrono::steady_clock;

constexpr int kGateways = 2;

/// Time after which an accepted change has to be in force.
constexpr milliseconds kApplyLimit{3000};

/// A configuration whose only route has the prefix /added/.
constexpr char kNextConfig[] = R"({"version":2,"routes":[
 {"name":"added","host":"h","pathPrefix":"/added/","routeType":"safe",
  "timeoutMs":20000,"targetLatencyMs":500,"priority":1,"backend":"s",
  "maxAttempts":2}],
 "backends":[{"name":"s","healthPath":"/health","maxConnections":50,
  "protocol":"h1","tls":false}]})";

class ConfirmedRouteTest : public testing::Test {
 protected:
  std::string CallAddedRoute(int gateway) {
    return m_deployment.Call(gateway, "added",
                             "id-" + std::to_string(++m_sent));
  }

  int m_sent = 0;
  GatewayDeployment m_deployment{
      {"i-1", "i-2"},
      [](const std::string& /*replica_id*/, const HttpRequest& request,
         const HttpResponder& respond) {
        respond(GatewayDeployment::SoundAnswer(request));
      },
      {}};
};

// Entries that could reach no control VM answered 404 for a confirmed route.
TEST_F(ConfirmedRouteTest, IsNotRefusedAsUnknownByAnEntryThatCannotReadIt) {
  RunBeside([&] {
    m_deployment.Start(kGateways);
    for (int i = 0; i < kGateways; ++i) m_deployment.Gateway(i).Signal(SIGSTOP);
    m_deployment.Deploy(kNextConfig);
    std::this_thread::sleep_for(kApplyLimit);
    m_deployment.Control().Signal(SIGSTOP);
    for (int i = 0; i < kGateways; ++i) m_deployment.Gateway(i).Signal(SIGCONT);
    const auto silent_until = steady_clock::now() + milliseconds(3000);
    while (steady_clock::now() < silent_until) {
      for (int i = 0; i < kGateways; ++i) {
        const std::string answer = CallAddedRoute(i);
        EXPECT_TRUE(answer.starts_with("HTTP/1.1 503")) << answer;
        EXPECT_NE(answer.find("Retry-After"), std::string::npos) << answer;
      }
    }
    m_deployment.Control().Signal(SIGCONT);
    const auto served_by = steady_clock::now() + kApplyLimit;
    for (int i = 0; i < kGateways; ++i) {
      WaitFor([&, i] {
        return CallAddedRoute(i).starts_with("HTTP/1.1 200") ||
               steady_clock::now() > served_by;
      });
    }
    EXPECT_LT(steady_clock::now(), served_by);
  });
}

// A path without a route is refused at once, also while no change is made.
TEST_F(ConfirmedRouteTest, APathWithoutARouteIsAnsweredAsUnknown) {
  RunBeside([&] {
    m_deployment.Start(kGateways);
    for (int i = 0; i < kGateways; ++i) {
      const auto start = steady_clock::now();
      const std::string answer = m_deployment.Call(i, "none", "id");
      EXPECT_TRUE(answer.starts_with("HTTP/1.1 404")) << answer;
      EXPECT_LT(steady_clock::now() - start, milliseconds(500));
    }
  });
}

}  // namespace
}  // namespace chicoryvale
