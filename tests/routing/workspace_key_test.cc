// Requests whose callers identify their workspace by a key: who is served, and
// what replicas are told.

#include <gtest/gtest.h>

#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "routing/one_replica_entry.h"

namespace chicoryvale {
namespace {

constexpr char kKey[] = "key-of-a";

class WorkspaceKeyTest : public OneReplicaEntryTest {
 protected:
  WorkspaceKeyTest() {
    SetWorkspaces({{Named("a", {kKey}), Named("b", {"key-of-b"})}});
  }

  static Workspace Named(const std::string& name,
                         const std::vector<std::string>& keys) {
    Workspace workspace;
    workspace.name = name;
    workspace.keys = keys;
    return workspace;
  }

  void SetWorkspaces(std::optional<std::vector<Workspace>> workspaces) {
    RoutingConfig config;
    config.routes = {RouteToOne("/one/"), RouteToOne("/open/")};
    config.routes.back().is_public = true;
    Route scattered = ScatteredRoute();
    scattered.path_prefix = "/all/";
    scattered.scatter.shards = {"one"};
    config.routes.push_back(scattered);
    config.workspaces = std::move(workspaces);
    SetConfig(config);
  }

  void ExpectServedFor(const std::optional<std::string>& workspace) {
    m_scheduler.RunFor(milliseconds(20));
    ASSERT_TRUE(m_answer);
    EXPECT_FALSE(m_answer->error);
    ASSERT_FALSE(m_entry.transport.Sends().empty());
    const OpaqueRequest& sent = *m_entry.transport.Sends().back().request;
    EXPECT_EQ(sent.workspace, workspace);
    EXPECT_TRUE(sent.headers.empty()) << "the key was passed on";
  }

  void ExpectRefused(ErrorKind kind) const {
    ExpectRefusedUnsent(kind);
    EXPECT_EQ(m_answer->error->message.find(kKey), std::string::npos);
  }
};

// Replicas ran requests without a workspace, and with the key of the caller.
TEST_F(WorkspaceKeyTest, ReplicasGetTheWorkspaceInPlaceOfTheKey) {
  Send("/one/x", kKey);
  ExpectServedFor("a");
  Send("/all/x", "key-of-b");
  ExpectServedFor("b");
}

TEST_F(WorkspaceKeyTest, PublicRoutesNeedNoKey) {
  Send("/open/x", "");
  ExpectServedFor(std::nullopt);
  Send("/open/x", "unknown");
  ExpectServedFor(std::nullopt);
  Send("/open/x", kKey);
  ExpectServedFor("a");
}

TEST_F(WorkspaceKeyTest, AnUnknownKeyIsRefusedOnceTheConfigurationIsConfirmed) {
  for (const char* key : {"", "unknown"}) {
    Send("/one/x", key);
    EXPECT_FALSE(m_answer);
    Confirm(true);
    ExpectRefused(ErrorKind::kUnauthenticated);
  }
  EXPECT_EQ(m_entry.counters.Get(RoutingCounter::kRefusedUnknownKey), 2U);
}

// A 401 is final for callers, so an entry that may be behind must not send it.
TEST_F(WorkspaceKeyTest, AnUnknownKeyIsNotRefusedForGoodByAnOldConfiguration) {
  Send("/one/x", "new");
  Confirm(false);
  ExpectRefused(ErrorKind::kNoConfiguration);
  EXPECT_GT(m_answer->retry_after, Duration::zero());
}

TEST_F(WorkspaceKeyTest, AKeyThatArrivesMeanwhileIsServed) {
  Send("/one/x", "new");
  SetWorkspaces({{Named("c", {"new"})}});
  Confirm(true);
  ExpectServedFor("c");
}

TEST_F(WorkspaceKeyTest, ARemovedKeyIsNoLongerServed) {
  SetWorkspaces({{Named("b", {"key-of-b"})}});
  Send("/one/x", kKey);
  Confirm(true);
  ExpectRefused(ErrorKind::kUnauthenticated);
}

// A request that waited for its admission was sent for a workspace that had
// lost the key meanwhile.
TEST_F(WorkspaceKeyTest, AWaitingRequestIsJudgedAgainWhenItIsAdmitted) {
  m_entry.transport.SetBehaviour([](const ReplicaSend& send) {
    return ReplicaBehaviour{milliseconds(10), SignedAnswer(send.replica_id),
                            true};
  });
  std::size_t sent = 0;
  do {
    sent = m_entry.transport.Sends().size();
    Send("/all/x", kKey);
  } while (m_entry.transport.Sends().size() > sent);
  ASSERT_FALSE(m_answer) << "the last request waits";
  SetWorkspaces({{Named("c", {kKey})}});
  GuardedRouter().CancelOnDisconnect(1);
  ASSERT_TRUE(m_answer && m_answer->error);
  EXPECT_EQ(m_answer->error->kind, ErrorKind::kNoConfiguration);
  EXPECT_EQ(m_entry.transport.Sends().size(), sent);
}

// Without workspaces, the headers are the caller's own and mean nothing here.
TEST_F(WorkspaceKeyTest, WithoutWorkspacesHeadersPassUnchanged) {
  SetWorkspaces(std::nullopt);
  Send("/one/x", kKey);
  m_scheduler.RunFor(milliseconds(20));
  ASSERT_EQ(m_entry.transport.Sends().size(), 1U);
  const OpaqueRequest& sent = *m_entry.transport.Sends()[0].request;
  ASSERT_EQ(sent.headers.size(), 1U);
  EXPECT_EQ(sent.headers[0].value, kKey);
  EXPECT_FALSE(sent.workspace);
}

TEST(RelayRequestMessageTest, HasAWorkspaceOnlyIfOneIsSet) {
  RelayRequestMessage message;
  const std::size_t plain_bytes = Encode(message).size();
  message.workspace = "a";
  const std::string bytes = Encode(message);
  EXPECT_GT(bytes.size(), plain_bytes);
  RelayRequestMessage decoded;
  ASSERT_TRUE(Decode(bytes, &decoded));
  EXPECT_EQ(decoded.workspace, "a");
  ASSERT_TRUE(Decode(Encode(RelayRequestMessage{}), &decoded));
}

}  // namespace
}  // namespace chicoryvale
