// Processes with low limits on memory and descriptors, and callers that try to
// exhaust them. No test checks a time or a share of served requests.

#include <gtest/gtest.h>

#include <algorithm>
#include <chrono>
#include <cstddef>
#include <cstdio>
#include <functional>
#include <memory>
#include <ostream>
#include <string>
#include <string_view>
#include <thread>
#include <vector>

#include "fakes/raw_socket.h"
#include "process/cluster.h"
#include "process/gateway_deployment.h"

namespace chicoryvale {
namespace {

constexpr std::size_t kMemoryMb = 48;
constexpr std::size_t kMaxFds = 256;
constexpr std::size_t kBytesPerMb = std::size_t{1} << 20;

/// Largest legal body at the gateway and at the control process.
constexpr std::size_t kGatewayBodyBytes = 262'144;
constexpr std::size_t kControlBodyBytes = std::size_t{1} << 20;

/// Time after which a caller gives up sending to a process that does not read.
constexpr int kSendTimeoutS = 3;

/// Time for which replicas hold each request.
constexpr Duration kReplicaDelay = seconds(2);

/// Size of an answer to a request of the route /many/large.
constexpr std::size_t kLargeAnswerBytes = 262'144;

/// What each connection of a crowd sends.
struct HostileCase {
  const char* name;
  std::size_t connections;
  std::function<void(RawSocket& connection)> send;
};

void PrintTo(const HostileCase& hostile, std::ostream* out) {
  *out << hostile.name;
}

std::string Head(const std::string& method, const std::string& path,
                 const std::string& headers) {
  return method + " " + path +
         " HTTP/1.1\r\nHost: h\r\nChicoryvale-Request-Id: r\r\n"
         "Chicoryvale-Deadline-Ms: 15000\r\n" +
         headers + "\r\n";
}

std::string LengthHead(const std::string& method, const std::string& path,
                       std::size_t bytes) {
  return Head(method, path,
              "Content-Length: " + std::to_string(bytes) + "\r\n");
}

std::string ChunkedHead() {
  return Head("POST", "/many/x", "Transfer-Encoding: chunked\r\n");
}

/// Sends `text` in writes of `piece` bytes.
void SendInPieces(RawSocket& connection, std::string_view text,
                  std::size_t piece) {
  while (!text.empty()) {
    if (!connection.Send(text.substr(0, piece))) return;
    text.remove_prefix(std::min(piece, text.size()));
  }
}

/// Sends `count` chunks of `bytes` bytes and then all but the last byte of the
/// final, empty chunk.
void SendChunks(RawSocket& connection, std::size_t count, std::size_t bytes) {
  char size[16];
  std::snprintf(size, sizeof size, "%zx\r\n", bytes);
  const std::string chunk = size + std::string(bytes, 'x') + "\r\n";
  std::string text = ChunkedHead();
  for (std::size_t i = 0; i < count; ++i) text += chunk;
  text += "0\r\n\r";
  connection.Send(text);
}

/// Sends `text` until the process closes the connection or `max_bytes` bytes
/// are sent.
void SendRepeatedly(RawSocket& connection, const std::string& text,
                    std::size_t max_bytes) {
  for (std::size_t sent = 0; sent < max_bytes; sent += text.size()) {
    if (!connection.Send(text)) return;
  }
}

/// Runs `hostile` on that many connections to `address` at once, which all stay
/// open until each has sent everything and `at_peak` has returned.
void RunCrowd(const Address& address, const HostileCase& hostile,
              const std::function<void()>& at_peak) {
  std::vector<std::unique_ptr<RawSocket>> connections(hostile.connections);
  std::vector<std::thread> threads;
  threads.reserve(hostile.connections);
  for (auto& connection : connections) {
    threads.emplace_back([&connection, &address, &hostile] {
      connection = std::make_unique<RawSocket>(address);
      connection->SetSendTimeout(kSendTimeoutS);
      if (connection->Connected()) hostile.send(*connection);
    });
  }
  for (std::thread& thread : threads) thread.join();
  at_peak();
}

class UntrustedCallersTest : public testing::TestWithParam<HostileCase> {
 protected:
  UntrustedCallersTest() {
    m_deployment.AddSettings("limits.memory_mb = " + std::to_string(kMemoryMb) +
                             "\nlimits.max_fds = " + std::to_string(kMaxFds) +
                             "\n");
  }

  void ExpectWithinLimits(const char* when, const Process& process) {
    const std::size_t peak = process.PeakMemoryBytes();
    const std::size_t descriptors = process.OpenDescriptorCount();
    std::printf("%s: peak memory %zu KiB, open descriptors %zu\n", when,
                peak >> 10U, descriptors);
    EXPECT_GT(peak, 0U) << "the process has ended";
    EXPECT_LT(peak, kMemoryMb * kBytesPerMb);
    EXPECT_LT(descriptors, kMaxFds);
  }

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
         SendChunks(connection, kGatewayBodyBytes / kChunk, kChunk);
       }},
      {"ChunksOfOneByte", kCrowd,
       [](RawSocket& connection) {
         SendChunks(connection, kGatewayBodyBytes / 4, 1);
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
