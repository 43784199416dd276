#include "adapters/disk_storage.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <filesystem>
#include <memory>
#include <string>
#include <utility>

#include "fakes/fake_replication_network.h"
#include "fakes/fake_scheduler.h"
#include "replication/control_state_machine.h"
#include "replication/replica_node.h"

namespace chicoryvale {
namespace {

/// Creates a folder and removes it with its content at the end of its lifetime.
class TemporaryFolder {
 public:
  TemporaryFolder() {
    std::string path = std::filesystem::temp_directory_path() / "diskXXXXXX";
    m_path = mkdtemp(path.data());
  }
  ~TemporaryFolder() { std::filesystem::remove_all(m_path); }
  TemporaryFolder(const TemporaryFolder&) = delete;
  TemporaryFolder& operator=(const TemporaryFolder&) = delete;
  [[nodiscard]] const std::string& Path() const { return m_path; }

 private:
  std::string m_path;
};

std::unique_ptr<DiskStorage> MakeStorage(const std::string& path) {
  auto made = DiskStorage::Make(path);
  EXPECT_TRUE(made) << made.error().message;
  return std::move(*made);
}

TEST(DiskStorageTest, AppendsTruncatesRenamesAndRemovesFiles) {
  const TemporaryFolder folder;
  const auto storage = MakeStorage(folder.Path() + "/data");
  auto file = storage->Open("a");
  ASSERT_TRUE(file);
  ASSERT_TRUE((*file)->Append("hello "));
  ASSERT_TRUE((*file)->Append("world"));
  ASSERT_TRUE((*file)->Sync());
  EXPECT_EQ(*storage->Read("a"), "hello world");
  ASSERT_TRUE(storage->Truncate("a", 5));
  ASSERT_TRUE(storage->Open("b"));
  ASSERT_TRUE(storage->Rename("a", "b"));
  ASSERT_TRUE(storage->SyncFolder());
  EXPECT_EQ(*storage->Read("b"), "hello");
  // The open file keeps its identity after the rename and appends after the
  // truncated content.
  ASSERT_TRUE((*file)->Append("!"));
  EXPECT_EQ(*storage->Read("b"), "hello!");
  EXPECT_EQ(storage->List()->size(), 1U);
  ASSERT_TRUE(storage->Remove("b"));
  EXPECT_TRUE(storage->List()->empty());
}

TEST(DiskStorageTest, ReportsFailures) {
  const TemporaryFolder folder;
  const auto storage = MakeStorage(folder.Path());
  EXPECT_EQ(storage->Read("none").error().kind, ErrorKind::kStorageFailed);
  EXPECT_EQ(storage->Remove("none").error().kind, ErrorKind::kStorageFailed);
  EXPECT_FALSE(storage->Rename("none", "b"));
  EXPECT_FALSE(storage->Truncate("none", 0));
  EXPECT_FALSE(DiskStorage::Make(folder.Path() + "/no/such"));
  // Writes to /dev/full always fail because the device is full.
  std::filesystem::create_symlink("/dev/full", folder.Path() + "/full");
  auto full = storage->Open("full");
  ASSERT_TRUE(full);
  EXPECT_EQ((*full)->Append("x").error().kind, ErrorKind::kStorageFailed);
  EXPECT_EQ((*full)->Sync().error().kind, ErrorKind::kStorageFailed);
}

TEST(DiskStorageTest, RejectsASecondOwnerOfTheFolder) {
  const TemporaryFolder folder;
  auto storage = MakeStorage(folder.Path());
  EXPECT_FALSE(DiskStorage::Make(folder.Path()));
  storage.reset();
  EXPECT_TRUE(DiskStorage::Make(folder.Path()));
}

TEST(DiskStorageTest, ReplicaRecoversItsStateAfterARestart) {
  const TemporaryFolder folder;
  FakeScheduler scheduler;
  FakeReplicationNetwork network(&scheduler, 1);
  ReplicaOptions options;
  options.address = {"127.0.0.1:7000"};
  options.initial_members = {options.address};
  options.may_form_group = true;
  options.snapshot_threshold_entries = 20;
  std::uint64_t hash = 0;
  for (int run = 0; run < 2; ++run) {
    options.seed = 5 + run;
    const auto storage = MakeStorage(folder.Path());
    FakeReplicationTransport transport(&network, options.address);
    ControlStateMachine machine;
    auto node = ReplicaNode::Make(
        options, {&scheduler, storage.get(), &transport, &machine});
    ASSERT_TRUE(node);
    ASSERT_TRUE(scheduler.RunUntil(
        [&] { return (*node)->Status().role == ReplicaRole::kLeader; }));
    scheduler.RunFor(seconds(1));
    if (run == 1) {
      EXPECT_EQ(machine.Hash(), hash);
      EXPECT_EQ(machine.Config().Config().version, 100U);
      return;
    }
    for (std::uint64_t version = 0; version < 100; ++version) {
      (*node)->Propose(
          EncodeCommand(Change{std::to_string(version), version, "",
                               ApplySchema{"s" + std::to_string(version)}}),
          ProposalEnd::kKnownToQuorum,
          [](const Result<std::string>& result) { EXPECT_TRUE(result); });
      scheduler.RunFor(milliseconds(1));
    }
    hash = machine.Hash();
  }
}

}  // namespace
}  // namespace chicoryvale
