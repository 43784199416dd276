// Runs of real processes: kills, stops, wiped data, cuts. They wait on events.

#include <glib.h>
#include <gtest/gtest.h>

#include <array>
#include <csignal>
#include <string>
#include <thread>
#include <vector>

#include "process/cluster.h"

namespace chicoryvale {
namespace {

constexpr int kGroupSize = 3;
constexpr char kDuesService[] = R"([[service]]
name = "sangh.DuesOffice"
replicas_per_shard = 4
availability_zones = ["a", "b"]
)";
constexpr char kStallService[] = R"([[service]]
name = "sangh.StallBooking"
replicas_per_shard = 2
availability_zones = ["a", "b"]
)";

// A request id of now; `number` tells ids of one test apart.
std::string NewRequestId(int number) {
  std::array<char, 33> text{};
  const gint64 unix_ms = g_get_real_time() / 1000;
  g_snprintf(text.data(), text.size(), "%012lx%020x",
             static_cast<guint64>(unix_ms), number);
  return text.data();
}

std::vector<CallHeader> MakerHeaders() {
  return {{"X-Chicoryvale-Workspace", "makers"},
          {"X-Chicoryvale-Deadline-Ms", "10000"}};
}

HttpAnswer AskDues(Cluster& cluster, int entry,
                   const std::string& member = "m1") {
  return PostJson(cluster.Entry(entry).AddressOf("callers"),
                  "/sangh.DuesOffice/Lookup", {{"member_id", member}},
                  MakerHeaders());
}

HttpAnswer Book(Cluster& cluster, int entry, const std::string& request_id,
                const std::string& stall = "s1") {
  std::vector<CallHeader> headers = MakerHeaders();
  headers.push_back({"X-Chicoryvale-Request-Id", request_id});
  return PostJson(cluster.Entry(entry).AddressOf("callers"),
                  "/sangh.StallBooking/Book",
                  {{"stall_id", stall}, {"maker", "x"}}, headers);
}

class DeploymentTest : public testing::Test {
 protected:
  void StartGroup() {
    for (int i = 0; i < kGroupSize; ++i) {
      m_cluster.StartControl(i, kGroupSize);
    }
  }

  std::uint64_t Version() {
    std::string out;
    EXPECT_EQ(m_cluster.Ctl({"--json", "status"}, &out), 0) << out;
    const auto status = nlohmann::json::parse(out, nullptr, false);
    if (!status.is_object()) return 0;
    return std::stoull(status["version"].get<std::string>());
  }

  // Index of the control VM that leads.
  int Leader() {
    std::string out;
    EXPECT_EQ(m_cluster.Ctl({"--json", "status"}, &out), 0) << out;
    const auto status = nlohmann::json::parse(out, nullptr, false);
    for (int i = 0; i < kGroupSize; ++i) {
      if (status["leader"] == m_cluster.PeerAddress(Cluster::ControlName(i))) {
        return i;
      }
    }
    ADD_FAILURE() << "no leader: " << out;
    return 0;
  }

  void WaitForVersion(int entry, std::int64_t version) {
    WaitFor([&] {
      return m_cluster.EntryMetric(entry, "entry_config_version") >= version;
    });
  }

  Cluster m_cluster;
};

TEST_F(DeploymentTest, AcceptedChangesOutliveKilledControlVms) {
  StartGroup();
  m_cluster.StartUpstreams("sangh", kDuesService);
  m_cluster.Deploy("sangh", {"sangh.DuesOffice"});
  const std::vector<std::string> publish = {
      "--operation-id", "op-1",    "--expected-version", "2",
      "index",          "publish", "sangh.DuesOffice",   "7"};
  std::string first;
  ASSERT_EQ(m_cluster.Ctl(publish, &first), 0) << first;
  m_cluster.Control(Leader()).Signal(SIGKILL);
  // A resend through a new leader gets the first answer, without effect.
  std::string again;
  EXPECT_EQ(m_cluster.Ctl(publish, &again), 0) << again;
  EXPECT_EQ(again, first);
  EXPECT_EQ(Version(), 3U);
  for (int i = 0; i < kGroupSize; ++i) {
    m_cluster.Control(i).Signal(SIGKILL);
    m_cluster.Control(i).Wait();
  }
  StartGroup();
  EXPECT_EQ(Version(), 3U);
  EXPECT_EQ(m_cluster.Ctl(publish, &again), 0);
  EXPECT_EQ(again, first);
  EXPECT_EQ(Version(), 3U);
}

TEST_F(DeploymentTest, AFrozenLeaderAnswersNothingAsCurrentWhenItWakes) {
  StartGroup();
  m_cluster.StartUpstreams("sangh", kDuesService);
  m_cluster.Deploy("sangh", {"sangh.DuesOffice"});
  const int frozen = Leader();
  const std::string frozen_address =
      m_cluster.Control(frozen).AddressOf("operators");
  m_cluster.Control(frozen).Signal(SIGSTOP);
  std::string out;
  ASSERT_EQ(m_cluster.Ctl({"index", "publish", "sangh.DuesOffice", "9"}, &out),
            0);
  m_cluster.Control(frozen).Signal(SIGCONT);
  // Whatever it answers now, it is not the version of before.
  const HttpAnswer answer = PostJson(
      frozen_address, "/chicoryvale.Cluster/Status", nlohmann::json::object(),
      {{"Authorization",
        "Bearer secret-of-the-process-tests-0123456789abcdef"}});
  if (answer.status == 200) {
    EXPECT_EQ(answer.body["version"], "3");
  } else {
    EXPECT_EQ(answer.body["ran"], "no") << answer.body;
  }
  EXPECT_EQ(Version(), 3U);
}

TEST_F(DeploymentTest, AWipedControlVmComesBackWithoutFormingAGroup) {
  StartGroup();
  m_cluster.StartUpstreams("sangh", kDuesService);
  m_cluster.Deploy("sangh", {"sangh.DuesOffice"});
  const int wiped = Leader();
  m_cluster.Control(wiped).Signal(SIGKILL);
  m_cluster.Control(wiped).Wait();
  m_cluster.WipeControl(wiped);
  m_cluster.StartControl(wiped, kGroupSize);
  EXPECT_EQ(Version(), 2U);
  // Once it counts again, another VM may fail. Until then the group of two
  // voters may not lose one.
  const int second = (wiped + 1) % kGroupSize;
  WaitFor([&] {
    const std::string text =
        GetText(m_cluster.Control(wiped).AddressOf("metrics"), "/metrics");
    return text.find("control_config_version 2") != std::string::npos &&
           text.find("control_voter 1") != std::string::npos;
  });
  m_cluster.Control(second).Signal(SIGKILL);
  EXPECT_EQ(m_cluster.Ctl({"index", "publish", "sangh.DuesOffice", "9"}), 0);
  EXPECT_EQ(Version(), 3U);
}

TEST_F(DeploymentTest, ARestartedEntryTakesTheHighestVersionOfItsPeers) {
  StartGroup();
  m_cluster.StartUpstreams("sangh", kDuesService);
  m_cluster.Deploy("sangh", {"sangh.DuesOffice"});
  for (int entry = 0; entry < 3; ++entry) {
    m_cluster.StartEntry(entry, kGroupSize);
  }
  for (int entry = 0; entry < 3; ++entry) WaitForVersion(entry, 2);
  EXPECT_EQ(AskDues(m_cluster, 1).headers["X-Chicoryvale-Config"], "2");
  for (int i = 0; i < kGroupSize; ++i) m_cluster.Control(i).Signal(SIGKILL);
  m_cluster.Entry(1).Signal(SIGKILL);
  m_cluster.Entry(1).Wait();
  m_cluster.StartEntry(1, kGroupSize);
  // Until it has a configuration it refuses, and runs nothing.
  const HttpAnswer early = AskDues(m_cluster, 1);
  if (early.status != 200) {
    EXPECT_EQ(early.body["kind"], "no_configuration") << early.body;
    EXPECT_EQ(early.body["ran"], "no");
  }
  WaitForVersion(1, 2);
  const HttpAnswer late = AskDues(m_cluster, 1);
  EXPECT_EQ(late.status, 200) << late.body;
  EXPECT_EQ(late.headers.at("X-Chicoryvale-Config"), "2; unconfirmed");
}

TEST_F(DeploymentTest, AnEntryCutOffGoesOnServingAndCatchesUp) {
  StartGroup();
  m_cluster.StartUpstreams("sangh", kDuesService);
  m_cluster.Deploy("sangh", {"sangh.DuesOffice"});
  m_cluster.StartEntry(0, kGroupSize);
  WaitForVersion(0, 2);
  for (int i = 0; i < kGroupSize; ++i) m_cluster.Control(i).Signal(SIGSTOP);
  EXPECT_EQ(AskDues(m_cluster, 0).status, 200);
  for (int i = 0; i < kGroupSize; ++i) m_cluster.Control(i).Signal(SIGCONT);
  EXPECT_EQ(m_cluster.Ctl({"limits", "set", "sangh.DuesOffice", "3", "80"}), 0);
  WaitForVersion(0, 3);
  EXPECT_EQ(AskDues(m_cluster, 0).status, 200);
}

TEST_F(DeploymentTest, AnEntryThatReachesNoControlVmServesWhatItsPeersHave) {
  StartGroup();
  m_cluster.StartUpstreams("sangh", std::string(kDuesService) + kStallService);
  m_cluster.Deploy("sangh", {"sangh.DuesOffice", "sangh.StallBooking"});
  m_cluster.StartEntry(0, kGroupSize);
  std::vector<std::string> control;
  control.reserve(kGroupSize);
  for (int i = 0; i < kGroupSize; ++i) {
    control.push_back(m_cluster.PeerAddress(Cluster::ControlName(i)));
  }
  m_cluster.StartEntry(1, kGroupSize, "a", control);
  WaitForVersion(1, 3);
  const HttpAnswer answer = AskDues(m_cluster, 1);
  EXPECT_EQ(answer.status, 200) << answer.body;
  EXPECT_EQ(answer.headers.at("X-Chicoryvale-Config"), "3; unconfirmed");
  std::vector<CallHeader> headers = MakerHeaders();
  headers[1].value = "2000";
  headers.push_back({"X-Chicoryvale-Request-Id", NewRequestId(3)});
  const HttpAnswer refused =
      PostJson(m_cluster.Entry(1).AddressOf("callers"),
               "/sangh.StallBooking/Book", {{"stall_id", "s1"}}, headers);
  EXPECT_EQ(refused.body["kind"], "no_quorum") << refused.body;
  EXPECT_EQ(refused.body["ran"], "no");
}

TEST_F(DeploymentTest, AControlVmCutOffAnswersNothingAsCurrentAndCatchesUp) {
  StartGroup();
  m_cluster.StartUpstreams("sangh", kDuesService);
  m_cluster.Deploy("sangh", {"sangh.DuesOffice"});
  const int cut = Leader();
  std::vector<std::string> others;
  for (int i = 0; i < kGroupSize; ++i) {
    if (i == cut) continue;
    others.push_back(m_cluster.PeerAddress(Cluster::ControlName(i)));
  }
  m_cluster.Control(cut).Signal(SIGKILL);
  m_cluster.Control(cut).Wait();
  m_cluster.StartControl(cut, kGroupSize, others);
  EXPECT_EQ(m_cluster.Ctl({"index", "publish", "sangh.DuesOffice", "9"}), 0);
  const HttpAnswer answer =
      PostJson(m_cluster.Control(cut).AddressOf("operators"),
               "/chicoryvale.Cluster/Status", nlohmann::json::object(),
               {{"Authorization",
                 "Bearer secret-of-the-process-tests-0123456789abcdef"}});
  EXPECT_NE(answer.status, 200) << answer.body;
  EXPECT_EQ(answer.body["ran"], "no");
  m_cluster.Control(cut).Signal(SIGKILL);
  m_cluster.Control(cut).Wait();
  m_cluster.StartControl(cut, kGroupSize);
  WaitFor([&] {
    return GetText(m_cluster.Control(cut).AddressOf("metrics"), "/metrics")
               .find("control_config_version 3") != std::string::npos;
  });
}

TEST_F(DeploymentTest, ABookingResentThroughAnotherEntryRunsOnce) {
  StartGroup();
  m_cluster.StartUpstreams("sangh", kStallService);
  m_cluster.Deploy("sangh", {"sangh.StallBooking"});
  m_cluster.StartEntry(0, kGroupSize);
  m_cluster.StartEntry(1, kGroupSize);
  WaitForVersion(0, 2);
  WaitForVersion(1, 2);
  const std::string id = NewRequestId(1);
  const HttpAnswer first = Book(m_cluster, 0, id);
  ASSERT_EQ(first.status, 200) << first.body;
  const HttpAnswer again = Book(m_cluster, 1, id);
  EXPECT_EQ(m_cluster.UpstreamCounts()["runs_by_request_id"][id], 1);
  EXPECT_EQ(m_cluster.EntryMetric(0, "transport_sent") +
                m_cluster.EntryMetric(1, "transport_sent"),
            1);
  if (again.status == 200) {
    EXPECT_EQ(again.body, first.body);
  } else {
    EXPECT_EQ(again.body["ran"], "maybe") << again.body;
  }
  const HttpAnswer other = Book(m_cluster, 1, id, "s2");
  EXPECT_EQ(other.body["kind"], "request_id_reused") << other.body;
  EXPECT_EQ(m_cluster.EntryMetric(1, "transport_sent"), 0);
}

TEST_F(DeploymentTest, WithoutAQuorumABookingIsRefusedAndNotRun) {
  StartGroup();
  m_cluster.StartUpstreams("sangh", kStallService);
  m_cluster.Deploy("sangh", {"sangh.StallBooking"});
  m_cluster.StartEntry(0, kGroupSize);
  WaitForVersion(0, 2);
  m_cluster.Control(0).Signal(SIGKILL);
  m_cluster.Control(1).Signal(SIGKILL);
  std::vector<CallHeader> headers = MakerHeaders();
  headers[1].value = "3000";
  headers.push_back({"X-Chicoryvale-Request-Id", NewRequestId(2)});
  const HttpAnswer refused =
      PostJson(m_cluster.Entry(0).AddressOf("callers"),
               "/sangh.StallBooking/Book", {{"stall_id", "s1"}}, headers);
  EXPECT_EQ(refused.body["kind"], "no_quorum") << refused.body;
  EXPECT_EQ(refused.body["ran"], "no");
  EXPECT_EQ(m_cluster.EntryMetric(0, "transport_sent"), 0);
}

TEST_F(DeploymentTest, GracefulShutdownOfAnEntryCutsNoRequest) {
  StartGroup();
  m_cluster.StartUpstreams("sangh",
                           std::string(kDuesService) + "median_ms = 300\n");
  m_cluster.Deploy("sangh", {"sangh.DuesOffice"});
  m_cluster.StartEntry(0, kGroupSize);
  WaitForVersion(0, 2);
  HttpAnswer answer;
  std::thread caller([&] { answer = AskDues(m_cluster, 0); });
  WaitFor([&] { return m_cluster.EntryMetric(0, "entry_in_flight") == 1; });
  m_cluster.Entry(0).Signal(SIGTERM);
  caller.join();
  EXPECT_EQ(answer.status, 200) << answer.body;
  EXPECT_EQ(m_cluster.Entry(0).Wait(), 0);
}

TEST_F(DeploymentTest, ACrashingRequestCostsAtMostTwoUpstreams) {
  constexpr int kResends = 8;
  StartGroup();
  m_cluster.StartUpstreams(
      "sangh", std::string(kDuesService) + "crash_marker = \"poison\"\n");
  m_cluster.Deploy("sangh", {"sangh.DuesOffice"});
  m_cluster.StartEntry(0, kGroupSize);
  m_cluster.StartEntry(1, kGroupSize);
  WaitForVersion(0, 2);
  WaitForVersion(1, 2);
  WaitFor([&] { return m_cluster.EntryMetric(0, "peers_members") == 5; });
  WaitFor([&] { return m_cluster.EntryMetric(1, "peers_members") == 5; });
  HttpAnswer last;
  for (int i = 0; i < kResends; ++i) {
    last = AskDues(m_cluster, i % 2, "poison");
    EXPECT_NE(last.status, 200);
    // Other requests go on meanwhile.
    EXPECT_EQ(AskDues(m_cluster, i % 2, "m" + std::to_string(i)).status, 200);
  }
  EXPECT_EQ(last.body["kind"], "quarantined") << last.body;
  EXPECT_EQ(last.body["ran"], "no");
  EXPECT_LE(m_cluster.UpstreamCounts()["totals"]["crashes"], 2);
}

TEST_F(DeploymentTest, ADrainingUpstreamGetsNoNewWorkOnceItSaidSo) {
  constexpr int kRequests = 40;
  StartGroup();
  m_cluster.StartUpstreams("sangh", kDuesService);
  m_cluster.Deploy("sangh", {"sangh.DuesOffice"});
  m_cluster.StartEntry(0, kGroupSize);
  WaitForVersion(0, 2);
  const std::string drained =
      m_cluster.UpstreamCounts()["replicas"][0]["address"];
  ASSERT_EQ(
      m_cluster.ChangeUpstreams({{"address", drained}, {"draining", true}}), 1);
  const auto runs = [&] {
    const nlohmann::json counts = m_cluster.UpstreamCounts();
    for (const auto& replica : counts["replicas"]) {
      if (replica["address"] == drained) return replica["runs"].get<int>();
    }
    return -1;
  };
  // One answer with the drain header is enough.
  WaitFor([&] { return AskDues(m_cluster, 0).status == 200 && runs() > 0; });
  const int before = runs();
  for (int i = 0; i < kRequests; ++i) {
    EXPECT_EQ(AskDues(m_cluster, 0, "m" + std::to_string(i)).status, 200);
  }
  EXPECT_EQ(runs(), before);
}

TEST_F(DeploymentTest, ConnectionsThatGoSilentCostNoRequest) {
  constexpr int kRequests = 20;
  StartGroup();
  m_cluster.StartUpstreams("sangh", kDuesService);
  m_cluster.Deploy("sangh", {"sangh.DuesOffice"});
  m_cluster.StartEntry(0, kGroupSize);
  WaitForVersion(0, 2);
  for (int i = 0; i < kRequests; ++i) AskDues(m_cluster, 0);
  ASSERT_GT(m_cluster.ChangeUpstreams({{"silence_connections", true}}), 0);
  for (int i = 0; i < kRequests; ++i) {
    const HttpAnswer answer = AskDues(m_cluster, 0);
    EXPECT_EQ(answer.status, 200) << answer.body;
  }
  EXPECT_GT(m_cluster.UpstreamCounts()["totals"]["silenced"], 0);
}

TEST_F(DeploymentTest, RefusesBadSettingsWithEveryFault) {
  const ScratchFolder folder;
  WritePrivateFile(folder.Path() + "/bad.toml",
                   "availability_zone = 1\nunknown = true\n");
  std::string out;
  EXPECT_EQ(RunProgram({"chicory-entryd", "--check", "--config",
                        folder.Path() + "/bad.toml"},
                       &out),
            2);
  EXPECT_EQ(RunProgram({"chicory-entryd", "--version"}, &out), 0);
  EXPECT_EQ(out, "chicory-entryd " CHICORYVALE_VERSION "\n");
  EXPECT_EQ(RunProgram({"chicoryctl", "no", "such", "command"}, &out), 2);
  EXPECT_EQ(RunProgram({"chicoryctl", "--check", "--config",
                        folder.Path() + "/bad.toml"},
                       &out),
            2);
  WritePrivateFile(folder.Path() + "/ctl.toml",
                   "[control]\naddresses = [\"127.0.0.1:7100\"]\n");
  EXPECT_EQ(RunProgram({"chicoryctl", "--check", "--config",
                        folder.Path() + "/ctl.toml"},
                       &out),
            0);
}

}  // namespace
}  // namespace chicoryvale
