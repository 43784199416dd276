#include "replication/log_storage.h"

#include <gtest/gtest.h>

#include <string>
#include <utility>
#include <vector>

#include "base/codec.h"
#include "base/crc32c.h"
#include "fakes/fake_storage.h"
#include "replication/log_frame.h"

namespace chicoryvale {
namespace {

using Fault = FakeStorage::Fault;

const char kState[] = "state";

LogStorage::OpenResult MustOpen(FakeStorage* storage, NodeId new_node_id = 1) {
  auto opened = LogStorage::Open(storage, new_node_id);
  EXPECT_TRUE(opened);
  return std::move(*opened);
}

LogEntry MakeEntry(LogIndex index, Term term) {
  return {index, term, EntryKind::kCommand, "data " + std::to_string(index)};
}

/// Durable contents of a log that the test compares before and after a restart.
struct LogContents {
  GroupId group_id = 0;
  Term term = 0;
  LogIndex snapshot_index = 0;
  LogIndex first_index = 0;
  std::vector<Term> terms;
  bool operator==(const LogContents&) const = default;
};

LogContents ReadContents(const LogStorage& log) {
  LogContents contents{log.Identity().group_id,
                       log.CurrentHardState().term,
                       log.Snapshot().index,
                       log.FirstIndex(),
                       {}};
  for (LogIndex i = log.FirstIndex(); i <= log.LastIndex(); ++i) {
    contents.terms.push_back(log.EntryAt(i).term);
  }
  return contents;
}

using ChangeStep = Result<void> (*)(LogStorage* log);

/// Steps that cover every kind of change. Each step makes its changes durable.
const std::vector<ChangeStep> kSteps = {
    [](LogStorage* log) { return log->JoinGroup(9); },
    [](LogStorage* log) {
      log->SetHardState({1, 5});
      for (LogIndex i = 1; i <= 6; ++i) log->Append(MakeEntry(i, 1));
      return log->Sync();
    },
    [](LogStorage* log) {
      log->SetHardState({2, 0});
      log->Append(MakeEntry(5, 2));
      return log->Sync();
    },
    [](LogStorage* log) {
      return log->Compact({4, 1, {}, "four"}, 2);
    },
    [](LogStorage* log) {
      log->Append(MakeEntry(6, 2));
      return log->Sync();
    },
    [](LogStorage* log) {
      return log->InstallSnapshot({5, 2, {}, "five"});
    },
    [](LogStorage* log) {
      return log->InstallSnapshot({9, 3, {}, "nine"});
    },
    [](LogStorage* log) {
      log->Append(MakeEntry(10, 3));
      return log->Sync();
    },
};

// Guards against synced data that is lost when a disk operation fails. Each
// disk operation of kSteps fails once. After the restart, the log must hold the
// state after the last finished step or the state after the interrupted step.
TEST(LogStorageTest, FaultAtAnyOperationLosesNoSyncedData) {
  for (const Fault fault :
       {Fault::kCrash, Fault::kFailedSync, Fault::kFullDisk}) {
    bool finished = false;
    for (std::uint64_t operation = 0; !finished; ++operation) {
      for (std::uint64_t seed = 1; seed <= 20; ++seed) {
        SCOPED_TRACE("operation " + std::to_string(operation) + " seed " +
                     std::to_string(seed));
        std::mt19937_64 random(seed);
        FakeStorage storage;
        LogStorage::OpenResult opened = MustOpen(&storage);
        storage.FailAfter(operation, fault);
        LogContents before = ReadContents(*opened.log);
        LogContents after = before;
        finished = true;
        for (const ChangeStep& step : kSteps) {
          before = ReadContents(*opened.log);
          const bool done = step(opened.log.get()).has_value();
          after = ReadContents(*opened.log);
          if (done) continue;
          finished = false;
          EXPECT_FALSE(opened.log->Sync().has_value());
          break;
        }
        opened.log.reset();
        storage.Restart(&random);
        opened = MustOpen(&storage, 2);
        EXPECT_NE(opened.recovery, LogRecovery::kDamaged);
        EXPECT_EQ(opened.log->Identity().node_id, 1U);
        const LogContents recovered = ReadContents(*opened.log);
        EXPECT_TRUE(recovered == after || (!finished && recovered == before));
        EXPECT_EQ(ReadContents(*MustOpen(&storage, 3).log), recovered);
      }
    }
  }
}

/// Writes a log of three frames and returns the file size after each frame.
std::vector<std::size_t> WriteThreeFrames(FakeStorage* storage) {
  LogStorage::OpenResult opened = MustOpen(storage);
  std::vector<std::size_t> sizes = {storage->SizeOf(kState)};
  for (LogIndex i = 1; i <= 2; ++i) {
    opened.log->Append(MakeEntry(i, 1));
    EXPECT_TRUE(opened.log->Sync());
    sizes.push_back(storage->SizeOf(kState));
  }
  return sizes;
}

TEST(LogStorageTest, TornTailIsTruncatedAtEveryLength) {
  FakeStorage reference;
  const auto sizes = WriteThreeFrames(&reference);
  for (std::size_t size = sizes[1]; size < sizes[2]; ++size) {
    FakeStorage storage;
    WriteThreeFrames(&storage);
    storage.TruncateRaw(kState, size);
    LogStorage::OpenResult opened = MustOpen(&storage, 2);
    EXPECT_EQ(opened.recovery, size == sizes[1]
                                   ? LogRecovery::kClean
                                   : LogRecovery::kTornTailTruncated);
    EXPECT_EQ(opened.log->Identity().node_id, 1U);
    EXPECT_EQ(opened.log->LastIndex(), 1U);
    EXPECT_EQ(storage.SizeOf(kState), sizes[1]);
  }
}

TEST(LogStorageTest, ZerosAfterTheLastFrameAreATornTail) {
  FakeStorage storage;
  WriteThreeFrames(&storage);
  storage.AppendRaw(kState, std::string(100, '\0'));
  LogStorage::OpenResult opened = MustOpen(&storage, 2);
  EXPECT_EQ(opened.recovery, LogRecovery::kTornTailTruncated);
  EXPECT_EQ(opened.log->LastIndex(), 2U);
}

TEST(LogStorageTest, FlippedBitAnywhereDiscardsTheIdentity) {
  FakeStorage reference;
  const auto sizes = WriteThreeFrames(&reference);
  for (std::size_t offset = 0; offset < sizes[2]; ++offset) {
    FakeStorage storage;
    WriteThreeFrames(&storage);
    storage.FlipBit(kState, offset);
    const LogStorage::OpenResult opened = MustOpen(&storage, 2);
    EXPECT_EQ(opened.recovery, LogRecovery::kDamaged) << offset;
    EXPECT_EQ(opened.log->Identity(), (ReplicaIdentity{2, 0, true})) << offset;
    EXPECT_EQ(opened.log->LastIndex(), 0U);
    // The flag survives the next start.
    EXPECT_TRUE(MustOpen(&storage, 3).log->Identity().replaces_damaged_state);
  }
}

TEST(LogStorageTest, CrashWhileSettingDamagedStateAsideKeepsTheDamageFlag) {
  for (std::uint64_t operation = 0; operation < 8; ++operation) {
    std::mt19937_64 random(operation + 1);
    FakeStorage storage;
    WriteThreeFrames(&storage);
    storage.FlipBit(kState, 20);
    storage.FailAfter(operation, Fault::kCrash);
    const bool opened = LogStorage::Open(&storage, 2).has_value();
    EXPECT_EQ(opened, !storage.Crashed());
    storage.Restart(&random);
    const LogStorage::OpenResult reopened = MustOpen(&storage, 3);
    EXPECT_TRUE(reopened.log->Identity().replaces_damaged_state) << operation;
    EXPECT_NE(reopened.log->Identity().node_id, 1U) << operation;
  }
}

TEST(LogStorageTest, MembershipFollowsAppendsTruncationAndCompaction) {
  FakeStorage storage;
  LogStorage::OpenResult opened = MustOpen(&storage);
  LogStorage& log = *opened.log;
  const GroupMembership one{{{1, {"a:1"}, true, 0}}};
  const GroupMembership two{{{2, {"b:1"}, true, 0}}};
  log.Append({1, 1, EntryKind::kMembership, Encode(one)});
  log.Append({2, 1, EntryKind::kMembership, Encode(two)});
  EXPECT_EQ(log.Membership(), two);
  EXPECT_EQ(log.MembershipAt(1), one);
  log.Append(MakeEntry(2, 2));
  EXPECT_EQ(log.Membership(), one);
  EXPECT_EQ(log.MembershipIndex(), 1U);
  ASSERT_TRUE(log.Compact({2, 2, one, ""}, 1));
  EXPECT_EQ(log.Membership(), one);
  EXPECT_EQ(MustOpen(&storage).log->Membership(), one);
}

TEST(Crc32cTest, MatchesThePublishedCheckValue) {
  EXPECT_EQ(Crc32c("123456789"), 0xe3069283U);
}

}  // namespace
}  // namespace chicoryvale
