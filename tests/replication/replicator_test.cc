#include "replication/replicator.h"

#include <gtest/gtest.h>

#include "fakes/fake_storage.h"

namespace chicoryvale {
namespace {

// After a restart a replica knows of no commit but its snapshot's and may skip
// a whole term: its refusal then names an index below what it holds.
TEST(ReplicatorTest, RefusalBelowTheAgreedIndexResumesAfterIt) {
  FakeStorage storage;
  const auto opened = LogStorage::Open(&storage, 1);
  LogStorage& log = *opened->log;
  LogSnapshot first;
  first.index = 1;
  first.membership.members = {{1, {"a:1"}, true, 0}, {2, {"b:1"}, true, 0}};
  ASSERT_TRUE(log.FormGroup(9, first));
  for (LogIndex i = 2; i <= 9; ++i) log.Append({i, 3, EntryKind::kEmpty, {}});
  Replicator replicator(&log, 1, {});
  replicator.UpdateMembers(TimePoint());
  replicator.OnAppendReply(2, {true, 7, 0}, TimePoint());
  replicator.OnAppendReply(2, {false, 1, 0}, TimePoint());
  const auto content = replicator.NextContent(2, 1);
  ASSERT_TRUE(content);
  EXPECT_EQ(std::get<AppendRequest>(*content).prev_index, 7U);
}

}  // namespace
}  // namespace chicoryvale
