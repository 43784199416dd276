// Requests of workspaces with a quota: what the router does with its verdicts.

#include <gtest/gtest.h>

#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "routing/one_replica_entry.h"

namespace chicoryvale {
namespace {

/// RequestQuota that leaves each request open until the test decides.
class OpenQuota : public RequestQuota {
 public:
  std::vector<Callback> pending;
  int given_back = 0;

  void Decide(const QuotaDecision& decision) {
    for (auto& callback : std::exchange(pending, {})) callback(decision);
  }

 protected:
  void OnAcquire(const WorkspaceQuota& quota, Callback callback) override {
    EXPECT_EQ(quota.workspace, "a");
    EXPECT_DOUBLE_EQ(quota.max_requests_per_s, 5);
    pending.push_back(std::move(callback));
  }
  void OnGiveBack(const std::string& workspace) override {
    EXPECT_EQ(workspace, "a");
    ++given_back;
  }
};

class WorkspaceQuotaTest : public OneReplicaEntryTest {
 protected:
  WorkspaceQuotaTest() {
    m_entry.context.quota = &m_quota;
    MakeRouter();
    SetWorkspaces("a");
  }

  void SetWorkspaces(const std::string& limited_name) {
    RoutingConfig config;
    config.routes = {RouteToOne("/")};
    Workspace limited;
    limited.name = limited_name;
    limited.keys = {"k"};
    limited.max_requests_per_s = 5;
    Workspace unlimited;
    unlimited.name = "unlimited";
    unlimited.keys = {"u"};
    config.workspaces = {limited, unlimited};
    SetConfig(config);
  }

  std::uint64_t Send(const std::string& key) {
    return OneReplicaEntryTest::Send("/", key);
  }

  void ExpectRefused(ErrorKind kind) const { ExpectRefusedUnsent(kind); }

  OpenQuota m_quota;
};

TEST_F(WorkspaceQuotaTest, ARequestIsSentOnceItHasAToken) {
  Send("k");
  m_scheduler.RunFor(milliseconds(50));
  EXPECT_TRUE(m_entry.transport.Sends().empty());
  m_quota.Decide({QuotaVerdict::kWithinQuota, {}});
  m_scheduler.RunFor(milliseconds(20));
  ASSERT_TRUE(m_answer);
  EXPECT_FALSE(m_answer->error);
  // The time that it waited counts.
  EXPECT_LE(m_entry.transport.Sends().at(0).time_left, milliseconds(350));
  EXPECT_EQ(m_quota.given_back, 0);
}

TEST_F(WorkspaceQuotaTest, BeyondTheQuotaItIsRefusedWithTheTimeToReturn) {
  Send("k");
  m_quota.Decide({QuotaVerdict::kOverQuota, milliseconds(200)});
  ExpectRefused(ErrorKind::kWorkspaceOverShare);
  EXPECT_EQ(PropertiesOf(m_answer->error->kind).http_status, 429);
  EXPECT_GE(m_answer->retry_after, milliseconds(200));
}

// 429 would say that the quota is used, which nobody knows.
TEST_F(WorkspaceQuotaTest, AnUnknownUseIsNoUsedQuota) {
  Send("k");
  m_quota.Decide({QuotaVerdict::kUnknown, milliseconds(300)});
  ExpectRefused(ErrorKind::kOverloaded);
}

TEST_F(WorkspaceQuotaTest, AWorkspaceWithoutAQuotaNeedsNoToken) {
  Send("u");
  EXPECT_TRUE(m_quota.pending.empty());
  EXPECT_EQ(m_entry.transport.Sends().size(), 1U);
}

TEST_F(WorkspaceQuotaTest, TheTokenOfARequestThatWasNotSentIsGivenBack) {
  m_entry.pool.SetReplicas({}, m_scheduler.Now());
  Send("k");
  m_quota.Decide({QuotaVerdict::kWithinQuota, {}});
  ExpectRefused(ErrorKind::kUpstreamUnavailable);
  EXPECT_EQ(m_quota.given_back, 1);
}

TEST_F(WorkspaceQuotaTest, TheTokenOfACallerThatHasLeftIsGivenBack) {
  const std::uint64_t number = Send("k");
  EXPECT_EQ(m_entry.guarded_router->InFlight(), 1U);
  m_entry.guarded_router->CancelOnDisconnect(number);
  EXPECT_EQ(m_entry.guarded_router->InFlight(), 0U);
  m_quota.Decide({QuotaVerdict::kWithinQuota, {}});
  EXPECT_EQ(m_quota.given_back, 1);
  EXPECT_TRUE(m_entry.transport.Sends().empty());
}

TEST_F(WorkspaceQuotaTest, AKeyThatChangesItsWorkspaceMeanwhileIsNotServed) {
  Send("k");
  SetWorkspaces("b");
  m_quota.Decide({QuotaVerdict::kWithinQuota, {}});
  ExpectRefused(ErrorKind::kNoConfiguration);
  EXPECT_EQ(m_quota.given_back, 1);
}

TEST_F(WorkspaceQuotaTest, IsAnsweredWhenTheProcessEnds) {
  Send("k");
  m_entry.guarded_router->EndAll();
  ExpectRefused(ErrorKind::kOverloaded);
}

}  // namespace
}  // namespace chicoryvale
