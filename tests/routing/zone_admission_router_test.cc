// Requests that all entries of a zone admit together: what the router does with
// the decisions.

#include <gtest/gtest.h>

#include <map>
#include <string>
#include <utility>
#include <vector>

#include "routing/one_replica_entry.h"

namespace chicoryvale {
namespace {

/// ZoneAdmission that leaves each request open until the test decides.
class OpenZoneAdmission : public ZoneAdmission {
 public:
  std::vector<ZoneAdmissionRequest> requests;
  std::map<AdmissionId, Callback> pending;
  std::vector<AdmittedOutcome> outcomes;
  int cancelled = 0;

  void Decide(const ZoneAdmissionDecision& decision) {
    for (auto& [id, callback] : std::exchange(pending, {})) callback(decision);
  }

 protected:
  void OnSubmit(AdmissionId id, const ZoneAdmissionRequest& request,
                Callback callback) override {
    requests.push_back(request);
    pending.emplace(id, std::move(callback));
  }
  void OnFinish(AdmissionId /*id*/, AdmittedOutcome outcome) override {
    outcomes.push_back(outcome);
  }
  void OnCancel(AdmissionId id) override {
    cancelled += static_cast<int>(pending.erase(id));
  }
};

class ZoneAdmissionRouterTest : public OneReplicaEntryTest {
 protected:
  ZoneAdmissionRouterTest() {
    m_entry.context.zone_admission = &m_admission;
    MakeRouter();
    SetWorkspaces({{Named("k")}});
  }

  static Workspace Named(const std::string& key) {
    Workspace workspace;
    workspace.name = "a";
    workspace.keys = {key};
    workspace.priority = 3;
    return workspace;
  }

  void SetWorkspaces(std::optional<std::vector<Workspace>> workspaces) {
    RoutingConfig config;
    Route scattered = ScatteredRoute();
    scattered.path_prefix = "/all/";
    scattered.scatter.shards = {"one"};
    config.routes = {RouteToOne("/one/"), scattered};
    config.workspaces = std::move(workspaces);
    SetConfig(config);
  }

  OpenZoneAdmission m_admission;
};

TEST_F(ZoneAdmissionRouterTest, EachRequestIsSentOnceItIsAdmitted) {
  for (const std::string path : {"/one/x", "/all/x"}) {
    const std::size_t sends = m_entry.transport.Sends().size();
    Send(path, "k");
    m_scheduler.RunFor(milliseconds(50));
    EXPECT_EQ(m_entry.transport.Sends().size(), sends);
    m_admission.Decide({true, {}});
    m_scheduler.RunFor(milliseconds(20));
    ASSERT_TRUE(m_answer);
    EXPECT_FALSE(m_answer->error);
    // The time that it waited counts.
    EXPECT_LE(m_entry.transport.Sends().back().time_left, milliseconds(350));
    const ZoneAdmissionRequest& asked = m_admission.requests.back();
    EXPECT_EQ(asked.group, "one");
    EXPECT_EQ(asked.workspace, "a");
    EXPECT_EQ(asked.priority, 3U);
  }
  EXPECT_EQ(m_admission.outcomes,
            std::vector<AdmittedOutcome>(2, AdmittedOutcome::kServedInTime));
}

TEST_F(ZoneAdmissionRouterTest, ARefusedRequestHasNotRun) {
  Send("/one/x", "k");
  m_admission.Decide({false, milliseconds(200)});
  ExpectRefusedUnsent(ErrorKind::kOverloaded);
  EXPECT_GE(m_answer->retry_after, milliseconds(200));
}

// A request that waits while its key is removed must not run.
TEST_F(ZoneAdmissionRouterTest, ARequestWhoseKeyIsGoneIsNotSent) {
  Send("/one/x", "k");
  SetWorkspaces({{Named("other")}});
  m_admission.Decide({true, {}});
  ExpectRefusedUnsent(ErrorKind::kNoConfiguration);
  EXPECT_EQ(m_admission.outcomes,
            std::vector<AdmittedOutcome>{AdmittedOutcome::kUnknown});
}

TEST_F(ZoneAdmissionRouterTest, ACallerThatDisconnectsLeavesTheQueue) {
  const std::uint64_t query = Send("/one/x", "k");
  GuardedRouter().CancelOnDisconnect(query);
  EXPECT_EQ(m_admission.cancelled, 1);
  EXPECT_EQ(GuardedRouter().InFlight(), 0U);
}

// Deployments without workspaces are served as before.
TEST_F(ZoneAdmissionRouterTest, WithoutWorkspacesNothingIsAsked) {
  SetWorkspaces(std::nullopt);
  Send("/one/x");
  Send("/all/x");
  EXPECT_TRUE(m_admission.requests.empty());
  EXPECT_EQ(m_entry.transport.Sends().size(), 2U);
}

}  // namespace
}  // namespace chicoryvale
