// Gateway processes whose replicas say in their answers that they leave, or
// that they want no requests for a while. The platform's list shows them as
// ready all the while.

#include <gtest/gtest.h>

#include <chrono>
#include <csignal>
#include <mutex>
#include <set>
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

/// A service with two replicas, "i-1" and "i-2". The test sets what "i-1" says.
class ReplicaNoticeTest : public testing::Test {
 protected:
  void Answer(const std::string& replica_id, const HttpRequest& request,
              const HttpResponder& respond) {
    const std::lock_guard lock(m_mutex);
    HttpResponse response = GatewayDeployment::SoundAnswer(request);
    if (replica_id == "i-1") {
      m_arrivals.push_back(steady_clock::now());
      if (m_refuses) {
        response.status = 503;
        response.headers.back() = {"Chicoryvale-Not-Executed", "1"};
      }
      response.headers.insert(response.headers.end(), m_notice.begin(),
                              m_notice.end());
    }
    respond(response);
  }

  void SetNotice(const std::vector<HttpHeader>& headers, bool refuses) {
    const std::lock_guard lock(m_mutex);
    m_notice = headers;
    m_refuses = refuses;
  }

  std::vector<steady_clock::time_point> Arrivals() {
    const std::lock_guard lock(m_mutex);
    return m_arrivals;
  }

  // Sends requests to gateway `index` until `end` or until one arrives at "i-1"
  // if `until_arrival` is set. Each of them must be served.
  void SendRequests(int index, steady_clock::time_point end,
                    bool until_arrival = false) {
    const std::size_t arrivals_before = Arrivals().size();
    while (steady_clock::now() < end) {
      ++m_sent;
      const std::string answer =
          m_deployment.Call(index, m_sent % 2 == 0 ? "many" : "once",
                            "id-" + std::to_string(m_sent));
      EXPECT_TRUE(answer.starts_with("HTTP/1.1 200")) << answer;
      EXPECT_EQ(answer.find("Server-Leaving"), std::string::npos) << answer;
      if (until_arrival && Arrivals().size() > arrivals_before) return;
    }
    EXPECT_FALSE(until_arrival) << "no request arrived at i-1";
  }

  std::mutex m_mutex;
  std::vector<HttpHeader> m_notice;
  bool m_refuses = false;
  std::vector<steady_clock::time_point> m_arrivals;
  int m_sent = 0;
  GatewayDeployment m_deployment{
      {"i-1", "i-2"},
      [this](const std::string& replica_id, const HttpRequest& request,
             const HttpResponder& respond) {
        Answer(replica_id, request, respond);
      },
      {}};
};

constexpr auto kArrivalTimeout = milliseconds(20'000);

// The platform's list lags, and a replica that is about to leave says so first.
TEST_F(ReplicaNoticeTest, AReplicaThatSaysItLeavesGetsNoMoreRequests) {
  RunBeside([&] {
    m_deployment.Start(1);
    SendRequests(0, steady_clock::now() + kArrivalTimeout, true);
    SetNotice({{"Server-Leaving", "1"}}, false);
    SendRequests(0, steady_clock::now() + kArrivalTimeout, true);
    const std::size_t arrivals = Arrivals().size();
    SendRequests(0, steady_clock::now() + milliseconds(1500));
    EXPECT_EQ(Arrivals().size(), arrivals);
    // What it has said holds after a pause of the entry.
    m_deployment.Gateway(0).Signal(SIGSTOP);
    std::this_thread::sleep_for(milliseconds(1500));
    m_deployment.Gateway(0).Signal(SIGCONT);
    SendRequests(0, steady_clock::now() + milliseconds(1500));
    EXPECT_EQ(Arrivals().size(), arrivals);
    // An entry that starts again learns it from the next answer.
    m_deployment.Gateway(0).Signal(SIGKILL);
    m_deployment.Gateway(0).Wait();
    m_deployment.StartGateway(0);
    SendRequests(0, steady_clock::now() + milliseconds(1500));
    EXPECT_LE(Arrivals().size(), arrivals + 1);
  });
}

// A full replica that states for how long it wants nothing gets nothing.
TEST_F(ReplicaNoticeTest, AReplicaThatBacksOffGetsNoRequestsForThatTime) {
  RunBeside([&] {
    m_deployment.Start(1);
    SetNotice({{"Retry-After", "2.5"}}, true);
    SendRequests(0, steady_clock::now() + kArrivalTimeout, true);
    const auto refused_at = Arrivals().back();
    const std::size_t arrivals = Arrivals().size();
    SetNotice({}, false);
    SendRequests(0, refused_at + milliseconds(2400));
    EXPECT_EQ(Arrivals().size(), arrivals);
    SendRequests(0, steady_clock::now() + kArrivalTimeout, true);
  });
}

}  // namespace
}  // namespace chicoryvale
