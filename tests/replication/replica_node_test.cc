#include "replication/replica_node.h"

#include <gtest/gtest.h>

#include "replication/replica_group.h"

namespace chicoryvale {
namespace {

/// Applies `count` changes at whoever leads; returns the version after them.
std::uint64_t Fill(ReplicaGroup* group, std::uint64_t from,
                   std::uint64_t count) {
  for (std::uint64_t version = from; version < from + count; ++version) {
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
  return from + count;
}

TEST(ReplicaNodeTest, FormsOneGroupAndAcceptsChanges) {
  for (const std::size_t members : {1U, 3U, 5U}) {
    ReplicaGroup group(members, 7);
    group.StartAll();
    Fill(&group, 0, 3);
    EXPECT_TRUE(group.AwaitAgreement()) << members;
    for (const auto& vm : group.vms) {
      EXPECT_EQ(vm->machine->Inner().Config().Config().version, 3U);
    }
  }
}

TEST(ReplicaNodeTest, RestartAfterHundredsOfChangesRestoresTheState) {
  ReplicaGroup group(3, 8);
  group.StartAll();
  const std::uint64_t version = Fill(&group, 0, 400);
  ASSERT_TRUE(group.AwaitAgreement());
  const std::uint64_t before = group.vms[0]->machine->Inner().Hash();
  for (std::size_t i = 0; i < 3; ++i) group.Crash(i);
  group.StartAll();
  ASSERT_TRUE(group.AwaitAgreement());
  EXPECT_EQ(group.vms[0]->machine->Inner().Hash(), before);
  EXPECT_EQ(group.vms[0]->machine->Inner().Config().Config().version, version);
  EXPECT_GT(group.vms[0]->node->Status().snapshot_index, 300U);
  // A resend from before the compaction gets its first answer.
  const auto resent = group.Propose(*group.AwaitLeader(), PlacementChange());
  ASSERT_TRUE(resent);
  EXPECT_EQ(std::get<ChangeResult>(*resent),
            (ChangeResult{ChangeOutcome::kAccepted, 1, {}}));
}

}  // namespace
}  // namespace chicoryvale
