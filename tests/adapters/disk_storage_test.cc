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

/// A folder that is removed with its content.
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

std::unique_ptr<DiskStorage> MustMake(const std::string& path) {
  auto made = DiskStorage::Make(path);
  EXPECT_TRUE(made) << made.error().message;
  return std::move(*made);
}

TEST(DiskStorageTest, KeepsFilesAcrossItsCalls) {
  const TemporaryFolder folder;
  const auto storage = MustMake(folder.Path() + "/data");
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
  // The descriptor follows the renamed file, and appends after the cut.
  ASSERT_TRUE((*file)->Append("!"));
  EXPECT_EQ(*storage->Read("b"), "hello!");
  EXPECT_EQ(storage->List()->size(), 1U);
  ASSERT_TRUE(storage->Remove("b"));
  EXPECT_TRUE(storage->List()->empty());
}

TEST(DiskStorageTest, TellsFailures) {
  const TemporaryFolder folder;
  const auto storage = MustMake(folder.Path());
  EXPECT_EQ(storage->Read("none").error().kind, ErrorKind::kStorageFailed);
  EXPECT_EQ(storage->Remove("none").error().kind, ErrorKind::kStorageFailed);
  EXPECT_FALSE(storage->Rename("none", "b"));
  EXPECT_FALSE(storage->Truncate("none", 0));
  EXPECT_FALSE(DiskStorage::Make(folder.Path() + "/no/such"));
  // A device that is always full.
  std::filesystem::create_symlink("/dev/full", folder.Path() + "/full");
  auto full = storage->Open("full");
  ASSERT_TRUE(full);
  EXPECT_EQ((*full)->Append("x").error().kind, ErrorKind::kStorageFailed);
  EXPECT_EQ((*full)->Sync().error().kind, ErrorKind::kStorageFailed);
}

TEST(DiskStorageTest, OneProcessHoldsTheFolder) {
  const TemporaryFolder folder;
  auto storage = MustMake(folder.Path());
  EXPECT_FALSE(DiskStorage::Make(folder.Path()));
  storage.reset();
  EXPECT_TRUE(DiskStorage::Make(folder.Path()));
}

TEST(DiskStorageTest, ReplicaFindsItsStateAgain) {
  const TemporaryFolder folder;
  FakeScheduler scheduler;
  FakeReplicationNetwork network(&scheduler, 1);
  ReplicaOptions options;
  options.address = {"127.0.0.1:7000"};
  options.initial_members = {options.address};
  options.may_form_group = true;
  options.snapshot_threshold_entries = 20;
  std::uint64_t hash = 0;
  for (int start = 0; start < 2; ++start) {
    options.seed = 5 + start;
    const auto storage = MustMake(folder.Path());
    FakeReplicationTransport transport(&network, options.address);
    ControlStateMachine machine;
    auto node = ReplicaNode::Make(
        options, {&scheduler, storage.get(), &transport, &machine});
    ASSERT_TRUE(node);
    ASSERT_TRUE(scheduler.RunUntil(
        [&] { return (*node)->Status().role == ReplicaRole::kLeader; }));
    scheduler.RunFor(seconds(1));
    if (start == 1) {
      EXPECT_EQ(machine.Hash(), hash);
      EXPECT_EQ(machine.Config().Config().version, 100U);
      return;
    }
    for (std::uint64_t version = 0; version < 100; ++version) {
      (*node)->Propose(
          EncodeCommand(Change{std::to_string(version), version, "",
                               ApplySchema{"s" + std::to_string(version)}}),
          [](const Result<std::string>& result) { EXPECT_TRUE(result); });
      scheduler.RunFor(milliseconds(1));
    }
    hash = machine.Hash();
  }
}

}  // namespace
}  // namespace chicoryvale
