#include "replication/replicated_control_group.h"

#include <gtest/gtest.h>

#include <optional>

#include "fakes/fake_network.h"
#include "fakes/fake_scheduler.h"
#include "fakes/fake_storage.h"

namespace chicoryvale {
namespace {

constexpr std::uint64_t kSeed = 11;

TEST(ReplicatedControlGroupTest,
     HighestLoggedVersionIncludesUncommittedChanges) {
  FakeScheduler scheduler;
  FakeNetwork network(&scheduler, kSeed);
  FakeStorage storage;
  const Address self{"10.0.0.1:7000"};
  network.SetState(self, NodeState::kRunning);
  FakePeerTransport peers(&network, self, &scheduler);
  ReplicaOptions options;
  options.address = self;
  options.initial_members = {self};
  options.may_form_group = true;
  options.seed = kSeed;
  auto group = ReplicatedControlGroup::Make(
      options, {.scheduler = &scheduler, .storage = &storage, .peers = &peers});
  ASSERT_TRUE(group) << group.error().message;
  ASSERT_TRUE(scheduler.RunUntil([&group] {
    return (*group)->Node().Status().role == ReplicaRole::kLeader;
  }));
  std::optional<Result<ChangeResult>> result;
  const Change change{"a", 0, "", ApplySchema{"text"}};
  (*group)->Propose(change, [&result](Result<ChangeResult> change_result) {
    result = std::move(change_result);
  });
  // An entry process that restarts now must not take the older version for the
  // newest one.
  EXPECT_EQ((*group)->Config().version, 0U);
  EXPECT_EQ((*group)->HighestLoggedVersion(), 1U);
  ASSERT_TRUE(scheduler.RunUntil([&result] { return result.has_value(); }));
  ASSERT_TRUE(*result);
  EXPECT_EQ((*result)->outcome, ChangeOutcome::kAccepted);
  EXPECT_EQ((*group)->Config().version, 1U);
  EXPECT_EQ((*group)->HighestLoggedVersion(), 1U);
}

}  // namespace
}  // namespace chicoryvale
