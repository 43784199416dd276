// A request that crashes each replica which begins to run it, and comes again
// and again through all gateway processes.

#include <gtest/gtest.h>

#include <algorithm>
#include <chrono>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include "fakes/raw_socket.h"
#include "process/cluster.h"
#include "process/gateway_deployment.h"

namespace chicoryvale {
namespace {

using std::chrono::milliseconds;
using std::chrono::steady_clock;

constexpr int kGateways = 3;
/// A crashed replica needs some seconds to start again.
constexpr milliseconds kReplicaDowntime{2000};

/// Time after the third crash from which on repeats are limited.
constexpr milliseconds kContactTime{4000};
/// Repeats that may reach replicas from then on.
constexpr int kMaxLateRepeats = 3;

/// Whether the id of a request is that of one which crashes replicas.
bool Crashes(const std::string& id) { return id.starts_with("crash"); }

class CrashingRequestTest : public testing::Test {
 protected:
  void Receive(const std::string& replica_id, const HttpRequest& request,
               const HttpResponder& respond) {
    const std::string id =
        FindHeader(request.headers, "Chicoryvale-Request-Id");
    if (Crashes(id)) {
      const std::lock_guard lock(m_mutex);
      m_crashes.push_back(steady_clock::now());
      return m_deployment.CrashReplica(replica_id, kReplicaDowntime);
    }
    respond(GatewayDeployment::SoundAnswer(request));
  }

  std::vector<steady_clock::time_point> Crashed() {
    const std::lock_guard lock(m_mutex);
    return m_crashes;
  }

  std::mutex m_mutex;
  std::vector<steady_clock::time_point> m_crashes;
  GatewayDeployment m_deployment{
      {"i-1", "i-2", "i-3", "i-4", "i-5", "i-6", "i-7", "i-8"},
      [this](const std::string& replica_id, const HttpRequest& request,
             const HttpResponder& respond) {
        Receive(replica_id, request, respond);
      },
      {}};
};

// Nothing stopped such a request: each resend crashed up to two more replicas,
// and the requests that they ran were lost with them.
TEST_F(CrashingRequestTest, ItIsStoppedAtAllGateways) {
  int served = 0;
  int sent = 0;
  RunBeside([&] {
    m_deployment.Start(kGateways);
    const auto end = steady_clock::now() + 2 * kContactTime;
    for (int round = 0; steady_clock::now() < end; ++round) {
      const std::string number = std::to_string(round);
      static_cast<void>(
          m_deployment.Call(round % kGateways, "many/crash", "crash" + number));
      const std::string answer =
          m_deployment.Call(round % kGateways, "many", "good" + number);
      ++sent;
      if (answer.starts_with("HTTP/1.1 200")) ++served;
      std::this_thread::sleep_for(milliseconds(100));
    }
  });
  const auto crashes = Crashed();
  ASSERT_GE(crashes.size(), 3U);
  const auto late = std::ranges::count_if(
      crashes, [&](const auto at) { return at > crashes[2] + kContactTime; });
  EXPECT_LE(late, kMaxLateRepeats) << crashes.size() << " crashes";
  EXPECT_GE(served, sent * 9 / 10);
}

}  // namespace
}  // namespace chicoryvale
