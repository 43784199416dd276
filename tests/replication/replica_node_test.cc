#include "replication/replica_node.h"

#include <gtest/gtest.h>

#include <memory>
#include <string>
#include <utility>

#include "replication/replica_group.h"

namespace chicoryvale {
namespace {

/// Applies `count` changes through the current leader and returns the version
/// after the last one. `first_version` is the version before the first one.
std::uint64_t ApplyChanges(ReplicaGroup* group, std::uint64_t first_version,
                           std::uint64_t count) {
  for (std::uint64_t version = first_version; version < first_version + count;
       ++version) {
    const auto leader = group->AwaitLeader();
    EXPECT_TRUE(leader);
    const auto result = group->Propose(
        *leader, version == 0 ? PlacementChange()
                              : LimitsChange("c" + std::to_string(version),
                                             version, 1 + version % 7));
    EXPECT_TRUE(result);
    EXPECT_EQ(std::get<ChangeResult>(*result).outcome,
              ChangeOutcome::kAccepted);
  }
  return first_version + count;
}

TEST(ReplicaNodeTest, FormsOneGroupAndAcceptsChanges) {
  for (const std::size_t members : {1U, 3U, 5U}) {
    ReplicaGroup group(members, 7);
    group.StartAll();
    ApplyChanges(&group, 0, 3);
    EXPECT_TRUE(group.AwaitAgreement()) << members;
    for (const auto& vm : group.vms) {
      EXPECT_EQ(vm->machine->Inner().Config().Config().version, 3U);
    }
  }
}

TEST(ReplicaNodeTest, RestartAfterHundredsOfChangesRestoresTheState) {
  ReplicaGroup group(3, 8);
  group.StartAll();
  const std::uint64_t version = ApplyChanges(&group, 0, 400);
  ASSERT_TRUE(group.AwaitAgreement());
  const std::uint64_t hash = group.vms[0]->machine->Inner().Hash();
  for (std::size_t i = 0; i < 3; ++i) group.Crash(i);
  group.StartAll();
  ASSERT_TRUE(group.AwaitAgreement());
  EXPECT_EQ(group.vms[0]->machine->Inner().Hash(), hash);
  EXPECT_EQ(group.vms[0]->machine->Inner().Config().Config().version, version);
  EXPECT_GT(group.vms[0]->node->Status().snapshot_index, 300U);
  // A retry of a change from before the compaction gets its first result.
  const auto retried = group.Propose(*group.AwaitLeader(), PlacementChange());
  ASSERT_TRUE(retried);
  EXPECT_EQ(std::get<ChangeResult>(*retried),
            (ChangeResult{ChangeOutcome::kAccepted, 1, {}}));
}

// The next leader needs seconds to commit an entry. Until then no replica could
// tell that the change was committed, and entries did not receive it.
TEST(ReplicaNodeTest, AChangeIsKnownToBeCommittedWhenItsLeaderIsLost) {
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    ReplicaGroup group(5, seed);
    group.StartAll();
    const std::uint64_t version = ApplyChanges(&group, 0, 3);
    ASSERT_TRUE(group.AwaitAgreement());
    const std::size_t leader = *group.AwaitLeader();
    group.scheduler.RunFor(milliseconds(37) * seed);
    bool accepted = false;
    group.vms[leader]->node->Propose(
        EncodeCommand(LimitsChange("last", version, 5)),
        ProposalEnd::kKnownToQuorum, [&](const Result<std::string>& result) {
          accepted = result.has_value();
          // What the leader sends from now on is lost with it.
          group.Isolate(leader);
        });
    ASSERT_TRUE(group.scheduler.RunUntil([&] { return accepted; })) << seed;
    group.Wipe(leader);
    group.scheduler.RunFor(milliseconds(50));
    const auto knows = [&](const auto& vm) {
      return vm->node &&
             vm->machine->Inner().Config().Config().version == version + 1;
    };
    EXPECT_TRUE(std::ranges::any_of(group.vms, knows)) << "seed " << seed;
  }
}

/// A leader in term 3 of a group of three. The test sends the messages of one
/// follower; the other never replies. The leader's log contains an entry of
/// term 2 that may be on no other disk.
class LeaderWithScriptedPeers {
 public:
  LeaderWithScriptedPeers() {
    LogSnapshot first;
    first.index = 1;
    first.term = 1;
    first.membership.members = {{1, m_self, true, 0},
                                {2, m_replying_peer, true, 0},
                                {3, m_silent_peer, true, 0}};
    first.data = m_state_machine.Snapshot();
    const auto opened = LogStorage::Open(&m_storage, 1);
    EXPECT_TRUE(opened->log->FormGroup(kGroup, first));
    opened->log->SetHardState({2, 0});
    opened->log->Append({2, 2, EntryKind::kEmpty, {}});
    EXPECT_TRUE(opened->log->Sync());
    ReplicaOptions options;
    options.address = m_self;
    m_node = std::move(*ReplicaNode::Make(
        options, {&m_scheduler, &m_storage, &m_transport, &m_state_machine}));
    m_network.SetReceiver(m_replying_peer, [this](const std::string& bytes) {
      Envelope envelope;
      ASSERT_TRUE(DecodeEnvelope(bytes, &envelope));
      if (const auto* vote = std::get_if<VoteRequest>(&envelope.message)) {
        Reply(VoteReply{vote->pre_vote, true, envelope.term});
      }
    });
    EXPECT_TRUE(m_scheduler.RunUntil(
        [this] { return m_node->Status().role == ReplicaRole::kLeader; }));
  }

  /// Sends `message` to the leader in its term, as the replying peer.
  void Reply(Message message) {
    Envelope envelope;
    envelope.group_id = kGroup;
    envelope.from = 2;
    envelope.from_address = m_replying_peer;
    envelope.to = 1;
    envelope.term = m_node->Status().term;
    envelope.message = std::move(message);
    m_network.Send(m_replying_peer, m_self, EncodeEnvelope(envelope));
  }

  /// Acknowledges the log up to `index` as the replying peer, and returns the
  /// commit index of the leader.
  LogIndex AcknowledgeThrough(LogIndex index) {
    Reply(AppendReply{true, index, 0});
    m_scheduler.RunFor(milliseconds(10));
    return m_node->Status().commit_index;
  }

 private:
  static constexpr GroupId kGroup = 9;
  const Address m_self = {"127.0.0.1:1"};
  const Address m_replying_peer = {"127.0.0.2:1"};
  const Address m_silent_peer = {"127.0.0.3:1"};
  FakeScheduler m_scheduler;
  FakeReplicationNetwork m_network{&m_scheduler, 1};
  FakeReplicationTransport m_transport{&m_network, m_self};
  FakeStorage m_storage;
  ControlStateMachine m_state_machine;
  std::unique_ptr<ReplicaNode> m_node;
};

// Guards against the commit of an entry of an older term by counting replicas.
// A leader of a term in between may still replace the entry (figure 8 of the
// Raft paper).
TEST(ReplicaNodeTest, CommitsAnOlderTermOnlyWithAnEntryOfTheCurrentTerm) {
  LeaderWithScriptedPeers peers;
  EXPECT_EQ(peers.AcknowledgeThrough(2), 1U);
  EXPECT_EQ(peers.AcknowledgeThrough(3), 3U);
}

}  // namespace
}  // namespace chicoryvale
