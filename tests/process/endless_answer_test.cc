// Gateway processes some of whose replicas send bytes that are no answer, until
// the gateway closes the connection.

#include <gtest/gtest.h>

#include <algorithm>
#include <atomic>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include "fakes/raw_socket.h"
#include "fakes/raw_upstream.h"
#include "process/gateway_deployment.h"

namespace chicoryvale {
namespace {

constexpr int kFaultyReplicas = 4;
constexpr int kSoundReplicas = 4;
constexpr int kCallers = 16;
constexpr int kRequestsPerCaller = 6;

/// Memory that an entry may use: what incomplete answers may hold in all, and
/// as much again.
constexpr std::size_t kMaxMemoryBytes = std::size_t{64} << 20;

/// What a faulty replica sends after it has read a request.
struct EndlessCase {
  const char* name;
  std::string first;
  std::string repeated;
};

class EndlessAnswerTest : public testing::TestWithParam<EndlessCase> {
 protected:
  EndlessAnswerTest() {
    for (int i = 0; i < kFaultyReplicas; ++i) {
      m_faulty.push_back(std::make_unique<RawUpstream>(
          [](RawSocket& connection, int) { SendWithoutEnd(connection); }));
      m_deployment.ListReplica("faulty-" + std::to_string(i),
                               m_faulty.back()->LocalAddress());
    }
  }

  static void SendWithoutEnd(RawSocket& connection) {
    if (connection.ReceiveUntil("\r\n\r\n").empty()) return;
    connection.Send(GetParam().first);
    while (connection.Send(GetParam().repeated)) {
    }
  }

  static std::vector<std::string> SoundReplicas() {
    std::vector<std::string> ids(kSoundReplicas);
    std::ranges::generate(
        ids, [i = 0]() mutable { return "i-" + std::to_string(++i); });
    return ids;
  }

  GatewayDeployment m_deployment{
      SoundReplicas(),
      [](const std::string& /*replica_id*/, const HttpRequest& request,
         const HttpResponder& respond) {
        respond(GatewayDeployment::SoundAnswer(request));
      },
      {}};
  std::vector<std::unique_ptr<RawUpstream>> m_faulty;
};

// One header of one replica ended each gateway that it answered.
TEST_P(EndlessAnswerTest, LeavesTheGatewayAndOtherRequestsAlone) {
  std::atomic<int> served = 0;
  /// Status lines of the other answers, with their numbers.
  std::map<std::string, int> failures;
  std::mutex mutex;
  RunBeside([&] {
    m_deployment.Start(1);
    std::vector<std::thread> callers;
    callers.reserve(kCallers);
    for (int caller = 0; caller < kCallers; ++caller) {
      callers.emplace_back([&, caller] {
        for (int i = 0; i < kRequestsPerCaller; ++i) {
          const std::string id =
              "id-" + std::to_string(caller) + "-" + std::to_string(i);
          const std::string answer = m_deployment.Call(0, "many", id);
          if (answer.starts_with("HTTP/1.1 200")) {
            ++served;
          } else {
            const std::lock_guard lock(mutex);
            ++failures[answer.substr(0, answer.find("\r\n"))];
          }
        }
      });
    }
    for (std::thread& caller : callers) caller.join();
    EXPECT_EQ(m_deployment.Readiness(0), 200);
  });
  const std::size_t peak = m_deployment.Gateway(0).PeakMemoryBytes();
  RecordProperty("peak_bytes", std::to_string(peak));
  std::printf("peak memory of the gateway: %zu KiB\n", peak >> 10U);
  EXPECT_GT(peak, 0U) << "the gateway has ended";
  EXPECT_LT(peak, kMaxMemoryBytes);
  // A request meets a faulty replica twice at most.
  EXPECT_GT(served, kCallers * kRequestsPerCaller / 2)
      << testing::PrintToString(failures);
}

std::vector<EndlessCase> EndlessCases() {
  const std::string ok = "HTTP/1.1 200 OK\r\n";
  const std::string text(1000, 'x');
  return {{"LengthBeyondMemory", ok + "Content-Length: 9000000000000\r\n\r\n",
           text},
          {"LengthBeyondLimit", ok + "Content-Length: 5000000\r\n\r\n", text},
          {"Headers", ok, "Name: " + text + "\r\n"},
          {"BodyUntilClose", ok + "\r\n", text},
          {"InterimResponses", "", "HTTP/1.1 100 Continue\r\n\r\n"}};
}

INSTANTIATE_TEST_SUITE_P(All, EndlessAnswerTest,
                         testing::ValuesIn(EndlessCases()),
                         [](const auto& info) { return info.param.name; });

}  // namespace
}  // namespace chicoryvale
