// Processes with low limits on memory and descriptors, and callers that try to
// exhaust them. No test checks a time or a share of served requests.

#include <gtest/gtest.h>

#include <chrono>
#include <cstddef>
#include <string>
#include <thread>
#include <vector>

#include "hostile/hostile_crowd.h"
#include "process/cluster.h"
#include "process/gateway_deployment.h"

namespace chicoryvale {
namespace {

/// Largest legal body at the gateway and at the control process.
constexpr std::size_t kGatewayBodyBytes = 262'144;
constexpr std::size_t kControlBodyBytes = std::size_t{1} << 20;

/// Time for which replicas hold each request.
constexpr Duration kReplicaDelay = seconds(2);

/// Size of an answer to a request of the route /many/large.
constexpr std::size_t kLargeAnswerBytes = 262'144;

std::string ChunkedHead() {
  return Head("POST", "/many/x", "Transfer-Encoding: chunked\r\n");
}

class UntrustedCallersTest : public testing::TestWithParam<HostileCase> {
 protected:
  UntrustedCallersTest() { m_deployment.AddSettings(LimitSettings()); }

  void Answer(const HttpRequest& request, const HttpResponder& respond) {
    HttpResponse response = GatewayDeployment::SoundAnswer(request);
    if (request.path == "/many/large") {
      response.body.assign(kLargeAnswerBytes, 'x');
      return respond(response);
    }
    if (request.body.empty()) return respond(response);
    m_deployment.scheduler()->Schedule(
        kReplicaDelay, [respond, response] { respond(response); });
  }

  GatewayDeployment m_deployment{
      {"i-1", "i-2", "i-3", "i-4"},
      [this](const std::string& /*replica_id*/, const HttpRequest& request,
             const HttpResponder& respond) { Answer(request, respond); },
      {}};
};

class GatewayCallersTest : public UntrustedCallersTest {};

// Callers' bytes once exhausted the memory of an entry VM and ended its
// gateway.
TEST_P(GatewayCallersTest, LeaveTheGatewayWithinItsLimits) {
  RunBeside([this] {
    m_deployment.Start(1);
    RunCrowd(m_deployment.CallerAddress(0), GetParam(), [this] {
      ExpectWithinLimits("crowd open", m_deployment.Gateway(0));
    });
    ExpectWithinLimits("crowd closed", m_deployment.Gateway(0));
    if (m_deployment.Gateway(0).PeakMemoryBytes() == 0) return;
    WaitFor([this] {
      return m_deployment.Call(0, "many", "probe").starts_with("HTTP/1.1 200");
    });
    ExpectWithinLimits("after a request", m_deployment.Gateway(0));
  });
}

class ControlCallersTest : public UntrustedCallersTest {};

// The address for operators has the same server as that of callers, with a
// larger limit on bodies.
TEST_P(ControlCallersTest, LeaveTheControlProcessWithinItsLimits) {
  RunBeside([this] {
    m_deployment.Start(0);
    const Process& control = m_deployment.Control();
    const std::string address = control.AddressOf("routing");
    RunCrowd({address}, GetParam(),
             [&] { ExpectWithinLimits("crowd open", control); });
    ExpectWithinLimits("crowd closed", control);
    if (control.PeakMemoryBytes() == 0) return;
    WaitFor([&address] {
      RawSocket connection(Address{address});
      connection.Send(
          "GET /config HTTP/1.1\r\nHost: c\r\nConnection: close\r\n\r\n");
      return connection.ReceiveAll().starts_with("HTTP/1.1 200");
    });
    ExpectWithinLimits("after a request", control);
  });
}

std::vector<HostileCase> GatewayCases() {
  constexpr std::size_t kCrowd = 160;
  const std::string body(kGatewayBodyBytes, 'x');
  const std::string one_short = body.substr(1);
  const std::string head = LengthHead("POST", "/many/x", kGatewayBodyBytes);
  const std::string text(std::size_t{64} << 10U, 'x');
  constexpr std::size_t kBeyondLimit = std::size_t{4} << 20U;
  return {
      {"WholeBodies", kCrowd,
       [=](RawSocket& connection) {
         connection.Send(head + body);
         connection.ReceiveUntil("\r\n\r\n");
       }},
      {"BodiesOneByteShort", kCrowd,
       [=](RawSocket& connection) { connection.Send(head + one_short); }},
      {"BodiesOneByteShortInPieces", kCrowd,
       [=](RawSocket& connection) {
         SendInPieces(connection, head + one_short, 1024);
       }},
      {"LargeChunks", kCrowd,
       [](RawSocket& connection) {
         constexpr std::size_t kChunk = std::size_t{16} << 10U;
         SendChunks(connection, ChunkedHead(), kGatewayBodyBytes / kChunk,
                    kChunk);
       }},
      {"ChunksOfOneByte", kCrowd,
       [](RawSocket& connection) {
         SendChunks(connection, ChunkedHead(), kGatewayBodyBytes / 4, 1);
       }},
      {"LengthBeyondLimit", kCrowd,
       [=](RawSocket& connection) {
         connection.Send(LengthHead("POST", "/many/x", 100'000'000));
         SendRepeatedly(connection, text, kBeyondLimit);
       }},
      {"ChunksBeyondLimit", kCrowd,
       [=](RawSocket& connection) {
         connection.Send(ChunkedHead());
         SendRepeatedly(connection, "10000\r\n" + text + "\r\n", kBeyondLimit);
       }},
      {"SilentConnections", 400, [](RawSocket& /*connection*/) {}},
      {"UnreadAnswers", 60,
       [](RawSocket& connection) {
         SendRepeatedly(connection, Head("GET", "/many/large", ""), 1500);
         // The answers arrive without being read.
         std::this_thread::sleep_for(std::chrono::seconds(kSendTimeoutS));
       }},
      {"PipelinedRequests", kCrowd,
       [](RawSocket& connection) {
         SendRepeatedly(connection, Head("GET", "/many/x", ""),
                        std::size_t{512} << 10U);
       }},
  };
}

std::vector<HostileCase> ControlCases() {
  constexpr std::size_t kCrowd = 60;
  const std::string head = LengthHead("PUT", "/config", kControlBodyBytes);
  const std::string one_short(kControlBodyBytes - 1, 'x');
  return {
      {"BodiesOneByteShort", kCrowd,
       [=](RawSocket& connection) { connection.Send(head + one_short); }},
  };
}

std::string NameOf(const testing::TestParamInfo<HostileCase>& info) {
  return info.param.name;
}

INSTANTIATE_TEST_SUITE_P(All, GatewayCallersTest,
                         testing::ValuesIn(GatewayCases()), NameOf);
INSTANTIATE_TEST_SUITE_P(All, ControlCallersTest,
                         testing::ValuesIn(ControlCases()), NameOf);

}  // namespace
}  // namespace chicoryvale
