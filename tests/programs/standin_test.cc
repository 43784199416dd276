#include <gtest/gtest.h>

#include <fstream>
#include <optional>
#include <string>
#include <utility>

#include "adapters/glib_scheduler.h"
#include "adapters/soup_upstream_transport.h"
#include "fakes/main_context.h"
#include "fakes/program_run.h"

namespace chicoryvale {
namespace {

constexpr char kSettings[] = R"(
schema = "SCHEMA"
[[service]]
name = "macchie.EyepieceDesk"
replicas_per_shard = 1
slots = 1
queue = 0
median_ms = 0
crash_marker = "poison"
availability_zones = ["a"]
)";

/// Runs chicory-standin as a process that emulates one service, and sends it
/// sub-requests without the query tier.
class StandinTest : public testing::Test {
 protected:
  StandinTest()
      : m_run("chicory-standin", m_folder.Path(),
              {"--config", m_folder.Write("standin.toml", Settings())}) {
    const nlohmann::json ready = m_run.ReadJson();
    m_control = "http://" + ready.value("control", "") + "/control/";
    std::ifstream file(m_folder.Path() / "macchie.EyepieceDesk.placement.json");
    const auto placement = nlohmann::json::parse(file, nullptr, false);
    m_replica.host_port = placement["shards"][0]["replicas"][0]["address"];
  }

  static std::string Settings() {
    std::string text = kSettings;
    const std::string name = "SCHEMA";
    return text.replace(
        text.find(name), name.size(),
        std::string(CHICORYVALE_SOURCE_DIR) + "/examples/macchie/schema.proto");
  }

  SubOutcome Send(SubRequest request) {
    request.id = ++m_last_id;
    request.replica = m_replica;
    request.service = "macchie.EyepieceDesk";
    request.method = "Compare";
    if (request.timeout == Duration::zero()) request.timeout = seconds(60);
    if (request.snapshot == SnapshotId{}) request.snapshot = {1, 1};
    std::optional<SubOutcome> outcome;
    m_transport.Send(std::move(request),
                     [&](SubOutcome result) { outcome = std::move(result); });
    IterateUntil([&] { return outcome.has_value(); });
    return *outcome;
  }

  /// Changes the replica and returns the number of changed replicas.
  int Set(nlohmann::json change) {
    change["address"] = m_replica.host_port;
    return CallJson("POST", m_control + "set", change.dump())
        .value("replicas", 0);
  }

  nlohmann::json Counts() { return CallJson("GET", m_control + "counts"); }

  TestFolder m_folder;
  ProgramRun m_run;
  std::string m_control;
  Address m_replica;
  GlibScheduler m_scheduler;
  SoupUpstreamTransport m_transport{
      SoupUpstreamTransportOptions{.scheduler = &m_scheduler}};
  SubRequestId m_last_id = 0;
};

TEST_F(StandinTest, AnswersAndCountsTheRunsOfEachRequestId) {
  SubRequest request;
  request.request_id = "booking-1";
  const SubOutcome first = Send(request);
  EXPECT_EQ(first.kind, SubOutcomeKind::kAnswered);
  EXPECT_EQ(first.echoed_id, 1);
  EXPECT_EQ(first.body, Send(request).body);
  EXPECT_EQ(Counts()["runs_by_request_id"]["booking-1"], 2);
  m_run.Terminate();
  EXPECT_EQ(m_run.ExitCode(), 0);
}

TEST_F(StandinTest, ServesANewerIndexVersionAfterItIsPublished) {
  SubRequest newer;
  newer.snapshot = {1, 2};
  EXPECT_EQ(Send(newer).kind, SubOutcomeKind::kSnapshotUnavailable);
  EXPECT_EQ(Set({{"index_version", 2}}), 1);
  EXPECT_EQ(Send(newer).report.newest_version, 2);
  EXPECT_EQ(Send({}).kind, SubOutcomeKind::kAnswered);
  EXPECT_EQ(Set({{"oldest_index_version", 2}}), 1);
  EXPECT_EQ(Send({}).kind, SubOutcomeKind::kSnapshotUnavailable);
}

TEST_F(StandinTest, CrashesOnTheMarkedRequestAndRestartsOnCommand) {
  SubRequest poison;
  poison.body = "poison";
  EXPECT_EQ(Send(poison).kind, SubOutcomeKind::kConnectionLost);
  EXPECT_EQ(Send({}).kind, SubOutcomeKind::kNotConnected);
  EXPECT_EQ(Counts()["totals"]["crashes"], 1);
  EXPECT_EQ(Set({{"down", false}}), 1);
  EXPECT_EQ(Send({}).kind, SubOutcomeKind::kAnswered);
}

TEST_F(StandinTest, SilentConnectionsStaySilentWhileNewOnesAreAnswered) {
  EXPECT_EQ(Send({}).kind, SubOutcomeKind::kAnswered);
  EXPECT_EQ(Set({{"silence_connections", true}}), 1);
  SubRequest kept;
  kept.timeout = milliseconds(50);
  EXPECT_EQ(Send(kept).kind, SubOutcomeKind::kTimedOut);
  SubRequest fresh;
  fresh.fresh_connection = true;
  EXPECT_EQ(Send(fresh).kind, SubOutcomeKind::kAnswered);
  EXPECT_EQ(Counts()["totals"]["silenced"], 1);
}

TEST_F(StandinTest, ShedsBeyondItsSlotsAndQueue) {
  EXPECT_EQ(Set({{"median_ms", 600000}, {"slots", 1}, {"queue", 1}}), 1);
  SubRequest request;
  request.timeout = milliseconds(50);
  EXPECT_EQ(Send(request).kind, SubOutcomeKind::kTimedOut);
  EXPECT_EQ(Send(request).kind, SubOutcomeKind::kTimedOut);
  EXPECT_EQ(Send({}).kind, SubOutcomeKind::kNotStarted);
  EXPECT_EQ(Counts()["totals"]["shed"], 1);
}

TEST_F(StandinTest, ReportsDrainingAndTheInverseOfItsLoad) {
  EXPECT_EQ(Set({{"draining", true}, {"load_report", "opposite"}}), 1);
  const SubOutcome outcome = Send({});
  EXPECT_TRUE(outcome.report.draining);
  // An idle replica with one slot and no queue reports its capacity of 1.
  EXPECT_EQ(outcome.report.load, 1);
}

TEST_F(StandinTest, RefusesInvalidChanges) {
  for (const char* body :
       {"", "[]", "{", R"({"slotz":1})", R"({"slots":-1})", R"({"down":"yes"})",
        R"({"load_report":"fancy"})", R"({"straggler_share":2})"}) {
    EXPECT_EQ(CallJson("POST", m_control + "set", body).value("kind", ""),
              "malformed_request")
        << body;
  }
}

}  // namespace
}  // namespace chicoryvale
