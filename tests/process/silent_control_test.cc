// Changes that eight control processes confirm in turn, while the one that has
// just confirmed a change falls silent. A run by hand sets the environment
// variables below; with --gtest_output=xml it reports the times as properties.

#include <gtest/gtest.h>

#include <algorithm>
#include <chrono>
#include <csignal>
#include <cstdlib>
#include <optional>
#include <string>

#include "fakes/raw_socket.h"
#include "process/cluster.h"
#include "process/gateway_deployment.h"

namespace chicoryvale {
namespace {

using std::chrono::milliseconds;
using std::chrono::steady_clock;

constexpr int kControls = 8;
constexpr int kChanges = 8;

/// Numbers of gateways and of routes, and the variables that replace them.
constexpr int kGateways = 6;
constexpr char kGatewaysVariable[] = "CHICORYVALE_TEST_GATEWAYS";
constexpr int kRoutes = 50;
constexpr char kRoutesVariable[] = "CHICORYVALE_TEST_ROUTES";

/// Time after which an accepted change has to be in force.
constexpr milliseconds kApplyLimit{3000};

/// Time for which a control process is silent.
constexpr milliseconds kSilence{5000};

/// Time in which the group reaches its full size.
constexpr milliseconds kGrowthTime{8000};

int NumberFrom(const char* variable, int otherwise) {
  const char* text = std::getenv(variable);
  return text == nullptr ? otherwise : std::atoi(text);
}

std::string AddedRoute(int version) {
  return "added" + std::to_string(version);
}

std::string RouteText(const std::string& name) {
  return R"({"name":")" + name + R"(","host":"h","pathPrefix":"/)" + name +
         R"(/","routeType":"safe","timeoutMs":20000,"targetLatencyMs":500,)"
         R"("priority":1,"backend":"s","maxAttempts":2})";
}

/// Returns a configuration with `routes` routes and the one that `version`
/// adds.
std::string ConfigText(int version, int routes) {
  std::string text = R"({"version":)" + std::to_string(version) +
                     R"(,"routes":[)" + RouteText(AddedRoute(version));
  for (int i = 0; i < routes; ++i) {
    text += "," + RouteText("r" + std::to_string(i));
  }
  return text + R"(],"backends":[{"name":"s","healthPath":"/health",)"
                R"("maxConnections":50,"protocol":"h1","tls":false}]})";
}

class SilentControlTest : public testing::Test {
 protected:
  void Silence(int control) {
    if (m_silent) Resume();
    m_deployment.Control(control).Signal(SIGSTOP);
    m_silent = control;
    m_resume_at = steady_clock::now() + kSilence;
  }

  void Resume() {
    m_deployment.Control(*m_silent).Signal(SIGCONT);
    m_silent.reset();
  }

  /// Calls the route that `version` has added at `gateway` until it is served.
  void ExpectServed(int gateway, int version,
                    steady_clock::time_point accepted_at) {
    std::string answer;
    steady_clock::time_point sent_at;
    do {
      if (m_silent && steady_clock::now() >= m_resume_at) Resume();
      sent_at = steady_clock::now();
      answer = m_deployment.Call(gateway, AddedRoute(version),
                                 "id-" + std::to_string(++m_sent));
      if (answer.starts_with("HTTP/1.1 404")) {
        ++m_unknown;
        EXPECT_LT(sent_at, accepted_at + kApplyLimit)
            << "gateway " << gateway << " version " << version;
      }
    } while (!answer.starts_with("HTTP/1.1 200") &&
             sent_at < accepted_at + 2 * kApplyLimit);
    EXPECT_LT(sent_at, accepted_at + kApplyLimit)
        << "gateway " << gateway << " version " << version << "\n"
        << answer;
    m_latest = std::max(m_latest, sent_at - accepted_at);
  }

  int m_sent = 0;
  /// Answers 404 for routes that were accepted.
  int m_unknown = 0;
  /// Longest time from the acceptance of a change until it was served.
  steady_clock::duration m_latest{};
  std::optional<int> m_silent;
  steady_clock::time_point m_resume_at;
  GatewayDeployment m_deployment{
      {"i-1", "i-2"},
      [](const std::string& /*replica_id*/, const HttpRequest& request,
         const HttpResponder& respond) {
        respond(GatewayDeployment::SoundAnswer(request));
      },
      {}};
};

// A confirmed route was answered 404 for longer than the bound after the
// control process that had confirmed it fell silent.
TEST_F(SilentControlTest, AConfirmedRouteIsServedInTimeAtAllGateways) {
  const int gateways = NumberFrom(kGatewaysVariable, kGateways);
  const int routes = NumberFrom(kRoutesVariable, kRoutes);
  RunBeside([&] {
    m_deployment.Start(gateways, kControls);
    const auto grown_at = steady_clock::now() + kGrowthTime;
    steady_clock::duration longest_acceptance{};
    WaitFor([&] { return steady_clock::now() >= grown_at; });
    for (int change = 0; change < kChanges; ++change) {
      const int version = 2 + change;
      const int control = change % kControls;
      const auto sent_at = steady_clock::now();
      m_deployment.Deploy(ConfigText(version, routes), control);
      const auto accepted_at = steady_clock::now();
      longest_acceptance = std::max(longest_acceptance, accepted_at - sent_at);
      if (change % 2 == 0) Silence(control);
      for (int i = 0; i < gateways; ++i) ExpectServed(i, version, accepted_at);
    }
    if (m_silent) Resume();
    const auto to_ms = [](steady_clock::duration duration) {
      return std::to_string(
          std::chrono::duration_cast<milliseconds>(duration).count());
    };
    RecordProperty("latest_served_ms", to_ms(m_latest));
    RecordProperty("longest_acceptance_ms", to_ms(longest_acceptance));
    RecordProperty("answers_404", std::to_string(m_unknown));
  });
}

}  // namespace
}  // namespace chicoryvale
