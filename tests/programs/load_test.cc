#include <gtest/gtest.h>

#include <memory>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "adapters/soup_http_server.h"
#include "fakes/program_run.h"
#include "fakes/raw_socket.h"
#include "ports/upstream_protocol.h"

namespace chicoryvale {
namespace {

constexpr std::size_t kRequests = 50;

/// Runs chicory-load against an entry that the test emulates.
class LoadTest : public testing::Test {
 protected:
  LoadTest() {
    SoupHttpServerOptions options;
    options.bind = Address{"127.0.0.1:0"};
    m_entry = std::move(*SoupHttpServer::Make(options));
  }

  [[nodiscard]] std::string Plan(const std::string& extra_settings = "") const {
    return "seed = 7\nduration_ms = 600000\nmax_requests = " +
           std::to_string(kRequests) + "\nentries = [\"" +
           m_entry->LocalAddress().host_port +
           "\"]\n[[call]]\npath = \"/test.Desk/Compare\"\n"
           "workspace = \"observers\"\nrate = 1000\ndeadline_ms = 60000\n" +
           extra_settings;
  }

  nlohmann::json RunPlan(const std::string& plan) {
    nlohmann::json report;
    RunBeside([&] {
      ProgramRun load(
          "chicory-load", m_folder.Path(),
          {"--json", "--config", m_folder.Write("plan.toml", plan)});
      report = load.ReadJson();
      EXPECT_EQ(load.ExitCode(), 0);
    });
    return report;
  }

  TestFolder m_folder;
  std::unique_ptr<SoupHttpServer> m_entry;
};

TEST_F(LoadTest, ArrivalsDoNotWaitForAnswers) {
  // No call is answered before all calls have arrived.
  std::vector<HttpResponder> waiting;
  m_entry->SetHandler([&](const HttpRequest&, HttpResponder respond) {
    waiting.push_back(std::move(respond));
    if (waiting.size() < kRequests) return;
    HttpResponse response;
    response.headers = {{"X-Chicoryvale-Coverage", "19/20"}};
    for (const HttpResponder& responder : waiting) responder(response);
  });
  const nlohmann::json all = RunPlan(Plan())["all"];
  EXPECT_EQ(all["answers"], kRequests);
  EXPECT_EQ(all["whole"], 0);
  EXPECT_DOUBLE_EQ(all["coverage"], 0.95);
  EXPECT_GT(all["latency_ms"]["max"], all["latency_ms"]["p50"]);
}

TEST_F(LoadTest, CountsErrorsByKindAndByWhetherTheyRan) {
  int received = 0;
  std::set<std::string> ids;
  m_entry->SetHandler(
      [&](const HttpRequest& request, const HttpResponder& respond) {
        EXPECT_EQ(FindHeader(request.headers, kHeaderWorkspace), "observers");
        EXPECT_EQ(FindHeader(request.headers, kHeaderDeadlineMs), "60000");
        ids.insert(FindHeader(request.headers, kHeaderRequestId));
        HttpResponse response;
        response.status = 503;
        response.body = R"({"kind":"overloaded","ran":"no"})";
        constexpr int kAborted = 10;
        response.abort_connection = ++received <= kAborted;
        respond(response);
      });
  const nlohmann::json all = RunPlan(Plan("request_ids = true\n"))["all"];
  EXPECT_EQ(all["answers"], 0);
  EXPECT_EQ(all["errors"]["overloaded/no"], 40);
  EXPECT_EQ(all["errors"]["no_answer/"], 10);
  EXPECT_EQ(ids.size(), kRequests);
}

TEST_F(LoadTest, InvalidPlanIsRejectedBeforeAnyRequestIsSent) {
  m_entry->SetHandler([](const HttpRequest&, const HttpResponder&) { FAIL(); });
  for (const char* invalid_setting :
       {"body = 1\n", "paht = \"/x\"\n", "[[call]]\npath = \"x\"\n"}) {
    ProgramRun load("chicory-load", m_folder.Path(),
                    {"--check", "--config",
                     m_folder.Write("plan.toml", Plan(invalid_setting))});
    EXPECT_EQ(load.ExitCode(), 2) << invalid_setting;
  }
}

}  // namespace
}  // namespace chicoryvale
