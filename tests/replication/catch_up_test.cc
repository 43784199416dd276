// What a replica with an empty disk receives until it votes again, when
// commands are large and the log is long.

#include <gtest/gtest.h>

#include <cstddef>
#include <cstdint>
#include <string>

#include "replication/replica_group.h"

namespace chicoryvale {
namespace {

constexpr std::size_t kDocumentBytes = std::size_t{300} << 10;

char LetterOf(std::uint64_t version) {
  return "abcdefghijklmnopqrstuvwxyz"[version % 26];
}

/// A group of three with the log limits of a deployment.
class CatchUpTest : public testing::Test {
 protected:
  CatchUpTest() : m_group(3, 3) {
    const ReplicaOptions defaults;
    m_group.options.snapshot_threshold_entries =
        defaults.snapshot_threshold_entries;
    m_group.options.trailing_entries = defaults.trailing_entries;
    m_group.options.replicator = defaults.replicator;
    m_group.StartAll();
  }

  // Replaces the routing document `count` times. The state keeps the last one.
  void ReplaceDocuments(int count) {
    for (int i = 0; i < count; ++i) {
      const auto leader = m_group.AwaitLeader();
      ASSERT_TRUE(leader);
      ++m_version;
      Change change;
      change.operation_id = "document-" + std::to_string(m_version);
      change.payload = ReplaceRouting{
          {m_version, std::string(kDocumentBytes, LetterOf(m_version))}};
      ASSERT_TRUE(m_group.Propose(*leader, change));
    }
  }

  std::uint64_t BytesSentBy(std::size_t vm) {
    return m_group.vms[vm]->node->Counters().Get(
        ReplicationCounter::kBytesSent);
  }

  ReplicaGroup m_group;
  std::uint64_t m_version = 0;
};

// A replica that had lost its disk received the whole history of a log with
// large commands, so that the next lost disk ended the group.
TEST_F(CatchUpTest, TransfersWhatTheStateWeighsAndNotTheHistory) {
  for (const int history : {20, 200}) {
    ReplaceDocuments(history);
    const std::size_t leader = *m_group.AwaitLeader();
    const std::size_t emptied = (leader + 1) % 3;
    const std::size_t state_bytes =
        m_group.vms[leader]->machine->Inner().Snapshot().size();
    ASSERT_LT(state_bytes, 2 * kDocumentBytes);
    m_group.Wipe(emptied);
    const std::uint64_t sent_before = BytesSentBy(leader);
    m_group.Start(emptied);
    ASSERT_TRUE(m_group.AwaitAgreement()) << m_group.Describe();
    EXPECT_LT(BytesSentBy(leader) - sent_before, 8 * state_bytes)
        << history << " documents, state of " << state_bytes << " bytes";
  }
}

// The log is part of what is read at a start and rewritten at each compaction.
TEST_F(CatchUpTest, KeepsALogOfAFewTimesTheState) {
  ReplaceDocuments(100);
  const std::size_t leader = *m_group.AwaitLeader();
  const ReplicaStatus status = m_group.vms[leader]->node->Status();
  EXPECT_LT((status.last_index - status.snapshot_index) * kDocumentBytes,
            8 * kDocumentBytes);
}

// A follower that lags behind by a few entries gets these and no snapshot.
TEST_F(CatchUpTest, AFollowerThatWasAwayShortlyGetsNoSnapshot) {
  ReplaceDocuments(10);
  const std::size_t leader = *m_group.AwaitLeader();
  const std::size_t away = (leader + 1) % 3;
  m_group.Crash(away);
  ReplaceDocuments(1);
  m_group.Start(away);
  ASSERT_TRUE(m_group.AwaitAgreement());
  EXPECT_EQ(m_group.vms[away]->node->Counters().Get(
                ReplicationCounter::kSnapshotsInstalled),
            0U);
}

}  // namespace
}  // namespace chicoryvale
