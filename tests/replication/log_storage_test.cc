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

LogStorage::Opened MustOpen(FakeStorage* storage, NodeId fresh_id = 1) {
  auto opened = LogStorage::Open(storage, fresh_id);
  EXPECT_TRUE(opened);
  return std::move(*opened);
}

LogEntry Entry(LogIndex index, Term term) {
  return {index, term, EntryKind::kCommand, "data " + std::to_string(index)};
}

/// What one step of the script makes durable.
struct View {
  GroupId group = 0;
  Term term = 0;
  LogIndex snapshot = 0;
  LogIndex first = 0;
  std::vector<Term> terms;
  bool operator==(const View&) const = default;
};

View Look(const LogStorage& log) {
  View view{log.Identity().group_id,
            log.State().term,
            log.Snapshot().index,
            log.FirstIndex(),
            {}};
  for (LogIndex i = log.FirstIndex(); i <= log.LastIndex(); ++i) {
    view.terms.push_back(log.EntryAt(i).term);
  }
  return view;
}

using Step = Result<void> (*)(LogStorage* log);

/// Every kind of change, each made durable.
const std::vector<Step> kScript = {
    [](LogStorage* log) { return log->AdoptGroup(9); },
    [](LogStorage* log) {
      log->SetHardState({1, 5});
      for (LogIndex i = 1; i <= 6; ++i) log->Append(Entry(i, 1));
      return log->Sync();
    },
    [](LogStorage* log) {
      log->SetHardState({2, 0});
      log->Append(Entry(5, 2));
      return log->Sync();
    },
    [](LogStorage* log) {
      return log->Compact({4, 1, {}, "four"}, 2);
    },
    [](LogStorage* log) {
      log->Append(Entry(6, 2));
      return log->Sync();
    },
    [](LogStorage* log) {
      return log->InstallSnapshot({5, 2, {}, "five"});
    },
    [](LogStorage* log) {
      return log->InstallSnapshot({9, 3, {}, "nine"});
    },
    [](LogStorage* log) {
      log->Append(Entry(10, 3));
      return log->Sync();
    },
};

// Each operation of the script fails once; afterwards the log holds what the
// last finished step made durable, or what the interrupted step would have.
TEST(LogStorageTest, FaultAtEveryOperationLosesNothingSynced) {
  for (const Fault fault :
       {Fault::kCrash, Fault::kFailedSync, Fault::kFullDisk}) {
    bool finished = false;
    for (std::uint64_t at = 0; !finished; ++at) {
      for (std::uint64_t seed = 1; seed <= 20; ++seed) {
        SCOPED_TRACE("operation " + std::to_string(at) + " seed " +
                     std::to_string(seed));
        std::mt19937_64 random(seed);
        FakeStorage storage;
        LogStorage::Opened opened = MustOpen(&storage);
        storage.FailAfter(at, fault);
        View before = Look(*opened.log);
        View after = before;
        finished = true;
        for (const Step& step : kScript) {
          before = Look(*opened.log);
          const bool done = step(opened.log.get()).has_value();
          after = Look(*opened.log);
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
        const View found = Look(*opened.log);
        EXPECT_TRUE(found == after || (!finished && found == before));
        EXPECT_EQ(Look(*MustOpen(&storage, 3).log), found);
      }
    }
  }
}

/// A log of three frames; returns the sizes of the file after each.
std::vector<std::size_t> WriteThreeFrames(FakeStorage* storage) {
  LogStorage::Opened opened = MustOpen(storage);
  std::vector<std::size_t> sizes = {storage->SizeOf(kState)};
  for (LogIndex i = 1; i <= 2; ++i) {
    opened.log->Append(Entry(i, 1));
    EXPECT_TRUE(opened.log->Sync());
    sizes.push_back(storage->SizeOf(kState));
  }
  return sizes;
}

TEST(LogStorageTest, TornTailIsCutAtEveryLength) {
  FakeStorage measured;
  const auto sizes = WriteThreeFrames(&measured);
  for (std::size_t size = sizes[1]; size < sizes[2]; ++size) {
    FakeStorage storage;
    WriteThreeFrames(&storage);
    storage.CutRaw(kState, size);
    LogStorage::Opened opened = MustOpen(&storage, 2);
    EXPECT_EQ(opened.recovery, size == sizes[1] ? LogRecovery::kClean
                                                : LogRecovery::kTornTailCut);
    EXPECT_EQ(opened.log->Identity().node_id, 1U);
    EXPECT_EQ(opened.log->LastIndex(), 1U);
    EXPECT_EQ(storage.SizeOf(kState), sizes[1]);
  }
}

TEST(LogStorageTest, ZerosAfterTheLastFrameAreATornTail) {
  FakeStorage storage;
  WriteThreeFrames(&storage);
  storage.AppendRaw(kState, std::string(100, '\0'));
  LogStorage::Opened opened = MustOpen(&storage, 2);
  EXPECT_EQ(opened.recovery, LogRecovery::kTornTailCut);
  EXPECT_EQ(opened.log->LastIndex(), 2U);
}

TEST(LogStorageTest, FlippedBitAnywhereTakesTheIdentityAway) {
  FakeStorage measured;
  const auto sizes = WriteThreeFrames(&measured);
  for (std::size_t offset = 0; offset < sizes[2]; ++offset) {
    FakeStorage storage;
    WriteThreeFrames(&storage);
    storage.FlipBit(kState, offset);
    const LogStorage::Opened opened = MustOpen(&storage, 2);
    EXPECT_EQ(opened.recovery, LogRecovery::kDamaged) << offset;
    EXPECT_EQ(opened.log->Identity(), (ReplicaIdentity{2, 0, true})) << offset;
    EXPECT_EQ(opened.log->LastIndex(), 0U);
    // The mark survives the next start.
    EXPECT_TRUE(MustOpen(&storage, 3).log->Identity().replaces_damaged_state);
  }
}

TEST(LogStorageTest, CrashWhileSettingADamagedStateAsideKeepsTheMark) {
  for (std::uint64_t at = 0; at < 8; ++at) {
    std::mt19937_64 random(at + 1);
    FakeStorage storage;
    WriteThreeFrames(&storage);
    storage.FlipBit(kState, 20);
    storage.FailAfter(at, Fault::kCrash);
    const bool opened = LogStorage::Open(&storage, 2).has_value();
    EXPECT_EQ(opened, !storage.Crashed());
    storage.Restart(&random);
    const LogStorage::Opened again = MustOpen(&storage, 3);
    EXPECT_TRUE(again.log->Identity().replaces_damaged_state) << at;
    EXPECT_NE(again.log->Identity().node_id, 1U) << at;
  }
}

TEST(LogStorageTest, MembershipFollowsTheLog) {
  FakeStorage storage;
  LogStorage::Opened opened = MustOpen(&storage);
  LogStorage& log = *opened.log;
  const GroupMembership one{{{1, {"a:1"}, true, 0}}};
  const GroupMembership two{{{2, {"b:1"}, true, 0}}};
  log.Append({1, 1, EntryKind::kMembership, Encode(one)});
  log.Append({2, 1, EntryKind::kMembership, Encode(two)});
  EXPECT_EQ(log.Membership(), two);
  EXPECT_EQ(log.MembershipAt(1), one);
  log.Append(Entry(2, 2));
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
