// A gateway process that is stopped by SIGTERM while callers send requests.

#include <gtest/gtest.h>

#include <array>
#include <atomic>
#include <chrono>
#include <csignal>
#include <memory>
#include <mutex>
#include <set>
#include <string>
#include <thread>

#include "adapters/beast_http_server.h"
#include "adapters/glib_scheduler.h"
#include "fakes/raw_socket.h"
#include "process/cluster.h"
#include "process/process.h"

namespace chicoryvale {
namespace {

using std::chrono::steady_clock;

/// The gateway's shutdown.grace_ms and shutdown.linger_ms.
constexpr milliseconds kGrace{4000};
constexpr milliseconds kLinger{400};

/// A replica takes this long, which is more than the grace period.
constexpr Duration kReplicaTime = seconds(30);

constexpr char kConfig[] = R"({"version":1,"routes":[
 {"name":"once","host":"h","pathPrefix":"/once/","routeType":"unsafe",
  "timeoutMs":20000,"targetLatencyMs":500,"priority":1,"backend":"s",
  "maxAttempts":1},
 {"name":"many","host":"h","pathPrefix":"/many/","routeType":"safe",
  "timeoutMs":20000,"targetLatencyMs":500,"priority":1,"backend":"s",
  "maxAttempts":2}],
 "backends":[{"name":"s","healthPath":"/health","maxConnections":50,
  "protocol":"h1","tls":false}],
 "limits":{"maxHeaderBytes":16384,"maxBodyBytes":262144,
  "headerTimeoutMs":3000,"idleTimeoutMs":15000}})";

/// A gateway with one control process, and a platform whose only replica
/// answers after kReplicaTime.
class PlannedStopTest : public testing::Test {
 protected:
  PlannedStopTest() {
    m_replica = MakeServer();
    m_replica->SetHandler(
        [this](const HttpRequest& request, const HttpResponder& respond) {
          const std::lock_guard lock(m_mutex);
          m_received_ids.insert(
              FindHeader(request.headers, "Chicoryvale-Request-Id"));
          m_scheduler.Schedule(kReplicaTime, [respond] { respond({}); });
        });
    m_list = MakeServer();
    m_list->SetHandler([this](const HttpRequest&,
                              const HttpResponder& respond) {
      HttpResponse response;
      response.body = R"({"instances":[{"id":"i-1","backend":"s","address":")" +
                      m_replica->LocalAddress().host_port +
                      R"(","zone":"a","version":"v1","slots":50,)"
                      R"("state":"ready","warmupLeftMs":0}],)"
                      R"("nextPageToken":null})";
      respond(response);
    });
  }

  std::unique_ptr<BeastHttpServer> MakeServer() {
    BeastHttpServerOptions options;
    options.poller = &m_poller;
    options.scheduler = &m_scheduler;
    options.bind = {"127.0.0.1:0"};
    return std::move(*BeastHttpServer::Make(options));
  }

  // Called beside the main loop, which serves the platform.
  void StartProcesses() {
    const std::string keys =
        "[keys]\npeer_key = \"stop-key-0123456789abcdef0123456789\"\n";
    const std::string control_peers = PeerAddress(1);
    m_control = std::make_unique<Process>(
        "chicory-controld", "control", m_folder.Path(),
        "availability_zone = \"a\"\ndata_folder = \"" + m_folder.Path() +
            "/data\"\n[listen]\npeers = \"" + control_peers +
            "\"\nmetrics = \"127.0.0.1:0\"\nrouting = \"127.0.0.1:0\"\n" +
            keys + "[group]\nmembers = [\"" + control_peers +
            "\"]\nmay_form = true\nkeep_members = true\n");
    m_gateway = std::make_unique<Process>(
        "chicory-gatewayd", "gateway", m_folder.Path(),
        "availability_zone = \"a\"\n[listen]\npeers = \"" + PeerAddress(2) +
            "\"\nmetrics = \"127.0.0.1:0\"\ncallers = \"127.0.0.1:0\"\n"
            "ready = \"127.0.0.1:0\"\n" +
            keys + "[control]\naddresses = [\"" + control_peers +
            "\"]\n[platform]\nreplica_list = \"" +
            m_list->LocalAddress().host_port +
            "\"\n[repeats]\nratio = 0.2\nwindow_ms = 10000\nfixed = 100\n"
            "[shutdown]\nlinger_ms = " +
            std::to_string(kLinger.count()) +
            "\ngrace_ms = " + std::to_string(kGrace.count()) + "\n");
    WaitFor([this] {
      const Address control{m_control->AddressOf("routing")};
      RawSocket operator_connection(control);
      operator_connection.Send(
          "PUT /config HTTP/1.1\r\nHost: c\r\nConnection: close\r\n"
          "Content-Type: application/json\r\nContent-Length: " +
          std::to_string(std::string_view(kConfig).size()) + "\r\n\r\n" +
          kConfig);
      return operator_connection.ReceiveAll().starts_with("HTTP/1.1 200");
    });
    WaitFor([this] {
      RawSocket probe(Address{m_gateway->AddressOf("ready")});
      probe.Send("GET /ready HTTP/1.1\r\nHost: r\r\nConnection: close\r\n\r\n");
      return probe.ReceiveAll().starts_with("HTTP/1.1 200");
    });
  }

  static std::string PeerAddress(int host) {
    const auto pid = static_cast<unsigned>(getpid());
    return "127." + std::to_string(1 + pid % 250) + "." +
           std::to_string(1 + pid / 250 % 250) + "." +
           std::to_string(100 + host) + ":7000";
  }

  static std::string RequestBytes(const std::string& route,
                                  const std::string& id) {
    return "GET /" + route +
           "/x HTTP/1.1\r\nHost: h\r\n"
           "Chicoryvale-Request-Id: " +
           id + "\r\nChicoryvale-Deadline-Ms: 15000\r\n\r\n";
  }

  bool HasReceived(const std::string& id) {
    const std::lock_guard lock(m_mutex);
    return m_received_ids.contains(id);
  }

  GlibScheduler m_scheduler;
  FdPoller m_poller;
  std::unique_ptr<BeastHttpServer> m_replica;
  std::unique_ptr<BeastHttpServer> m_list;
  ScratchFolder m_folder;
  std::unique_ptr<Process> m_control;
  std::unique_ptr<Process> m_gateway;
  std::mutex m_mutex;
  std::set<std::string> m_received_ids;
};

// Requests that came late in the grace period, on connections that were still
// open, were passed on and then cut without an answer by the end of the
// process, among them requests that may not be repeated.
TEST_F(PlannedStopTest, ARequestReadLateInTheGracePeriodIsAnswered) {
  std::array<std::string, 2> early_answers;
  std::array<std::string, 2> late_answers;
  RunBeside([&] {
    StartProcesses();
    const Address callers{m_gateway->AddressOf("callers")};
    const std::array<std::string, 2> routes = {"once", "many"};
    std::array<RawSocket, 2> early = {RawSocket(callers), RawSocket(callers)};
    for (std::size_t i = 0; i < routes.size(); ++i) {
      early[i].Send(RequestBytes(routes[i], "early-" + routes[i]));
    }
    WaitFor([&] { return HasReceived("early-once"); });
    WaitFor([&] { return HasReceived("early-many"); });
    const auto stopped_at = steady_clock::now();
    m_gateway->Signal(SIGTERM);
    WaitFor([&] {
      RawSocket probe(Address{m_gateway->AddressOf("ready")});
      probe.Send("GET /ready HTTP/1.1\r\nHost: r\r\nConnection: close\r\n\r\n");
      return probe.ReceiveAll().starts_with("HTTP/1.1 503");
    });
    // Accepted during the linger time.
    std::array<RawSocket, 2> late = {RawSocket(callers), RawSocket(callers)};
    std::this_thread::sleep_until(stopped_at + kGrace * 8 / 10);
    for (std::size_t i = 0; i < routes.size(); ++i) {
      late[i].Send(RequestBytes(routes[i], "late-" + routes[i]));
    }
    for (std::size_t i = 0; i < routes.size(); ++i) {
      late_answers[i] = late[i].ReceiveAll();
      early_answers[i] = early[i].ReceiveAll();
    }
    EXPECT_LT(steady_clock::now() - stopped_at, kGrace);
    EXPECT_EQ(m_gateway->Wait(), 0);
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
