#include "replication/replicator.h"

#include <gtest/gtest.h>

#include "fakes/fake_storage.h"

namespace chicoryvale {
namespace {

// Guards against a next index below the match index. After a restart, the
// commit index of a replica is that of its snapshot, so its refusal may skip
// all entries of a term and name an index below entries that it has already
// acknowledged.
TEST(ReplicatorTest, RefusalBelowTheMatchIndexResumesAfterIt) {
  FakeStorage storage;
  const auto opened = LogStorage::Open(&storage, 1);
  LogStorage& log = *opened->log;
  LogSnapshot initial;
  initial.index = 1;
  initial.membership.members = {{1, {"a:1"}, true, 0}, {2, {"b:1"}, true, 0}};
  ASSERT_TRUE(log.FormGroup(9, initial));
  for (LogIndex i = 2; i <= 9; ++i) log.Append({i, 3, EntryKind::kEmpty, {}});
  Replicator replicator(&log, 1, {});
  replicator.UpdateMembers(TimePoint());
  replicator.OnAppendReply(2, {true, 7, 0}, TimePoint());
  replicator.OnAppendReply(2, {false, 1, 0}, TimePoint());
  const auto message = replicator.NextDataMessage(2, 1);
  ASSERT_TRUE(message);
  EXPECT_EQ(std::get<AppendRequest>(*message).prev_index, 7U);
}

}  // namespace
}  // namespace chicoryvale
