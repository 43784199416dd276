#include <gtest/gtest.h>

#include <functional>
#include <string>
#include <vector>

#include "replication/replica_group.h"

namespace chicoryvale {
namespace {

/// A group of `members` with a placed service, and a client that waits for the
/// result of each change.
class Fixture {
 public:
  explicit Fixture(std::size_t members, std::size_t spares = 0,
                   std::uint64_t seed = 11)
      : group(members, seed, spares) {
    group.StartAll();
    ApplyChange();
  }

  /// Applies one change through the current leader.
  void ApplyChange() {
    const auto leader = group.AwaitLeader();
    ASSERT_TRUE(leader) << group.Describe();
    const auto result = group.Propose(
        *leader, version == 0 ? PlacementChange()
                              : LimitsChange("c" + std::to_string(version),
                                             version, 1 + version % 7));
    ASSERT_TRUE(result) << result.error().message;
    ASSERT_EQ(std::get<ChangeResult>(*result).outcome,
              ChangeOutcome::kAccepted);
    ++version;
  }

  ReplicaNode& Node(std::size_t i) { return *group.vms[i]->node; }

  /// Returns the index of a VM that is not the leader.
  std::size_t Follower() { return (*group.AwaitLeader() + 1) % 3; }

  /// Checks that every VM has applied all changes.
  void ExpectAllChangesApplied() {
    ASSERT_TRUE(group.AwaitAgreement()) << group.Describe();
    const auto& machine = group.vms[*group.Leader()]->machine->Inner();
    EXPECT_EQ(machine.Config().Config().version, version);
  }

  ReplicaGroup group;
  std::uint64_t version = 0;
};

struct CutCase {
  std::string name;
  bool incoming;
  bool outgoing;
};

TEST(ReplicaFaultTest, IsolatedLeaderCompletesNoReadOrProposal) {
  for (const CutCase& c : {CutCase{"incoming", true, false},
                           {"outgoing", false, true},
                           {"both", true, true}}) {
    SCOPED_TRACE(c.name);
    Fixture f(3);
    const std::size_t old_leader = *f.group.AwaitLeader();
    for (const auto& vm : f.group.vms) {
      const Address& self = f.group.vms[old_leader]->address;
      if (c.incoming) f.group.network.Cut(vm->address, self);
      if (c.outgoing) f.group.network.Cut(self, vm->address);
    }
    std::vector<Error> read_errors;
    std::size_t reads = 0;
    const auto start_read = [&] {
      f.Node(old_leader).Read([&](const Result<LogIndex>& read) {
        ++reads;
        ASSERT_FALSE(read);
        read_errors.push_back(read.error());
      });
    };
    start_read();
    const auto failed =
        f.group.Propose(old_leader, LimitsChange("lost", f.version, 3));
    ASSERT_FALSE(failed);
    EXPECT_EQ(failed.error().ran, Ran::kMaybe);
    f.group.scheduler.RunFor(seconds(600));
    start_read();
    f.group.scheduler.RunFor(seconds(5));
    EXPECT_EQ(reads, 2U);
    EXPECT_EQ(read_errors.back().kind, ErrorKind::kNotLeader);
    EXPECT_NE(f.Node(old_leader).Status().role, ReplicaRole::kLeader);
    // If the leader could still send, the other replicas may have committed it.
    ASSERT_TRUE(f.group.Propose(*f.group.AwaitLeader(),
                                LimitsChange("lost", f.version, 3)));
    ++f.version;
    f.ApplyChange();
    // The return of the old leader changes neither the leader nor the term.
    const std::size_t leader = *f.group.Leader();
    const Term term = f.Node(leader).Status().term;
    f.group.network.HealAll();
    f.group.scheduler.RunFor(seconds(30));
    EXPECT_EQ(f.group.Leader(), leader);
    EXPECT_EQ(f.Node(leader).Status().term, term);
    f.ExpectAllChangesApplied();
  }
}

// Guards against a slow election after all processes have lost power. Until
// there is a leader, entry processes that start have no configuration and
// refuse every caller.
TEST(ReplicaFaultTest, RestartedGroupElectsALeaderWithinOneSecond) {
  for (const std::size_t members : {3U, 4U, 7U}) {
    for (std::uint64_t seed = 1; seed <= 20; ++seed) {
      Fixture fixture(members, 0, seed);
      ReplicaGroup& group = fixture.group;
      for (std::size_t i = 0; i < members; ++i) group.Crash(i);
      group.StartAll();
      const TimePoint start = group.scheduler.Now();
      ASSERT_TRUE(group.AwaitLeader()) << group.Describe();
      EXPECT_LE(group.scheduler.Now() - start, seconds(1))
          << members << " members, seed " << seed;
    }
  }
}

// Guards against an unneeded election. A process that restarts in a group with
// a leader starts a pre-vote early, and the other replicas must refuse it.
TEST(ReplicaFaultTest, RestartedReplicaDoesNotDisruptTheLeader) {
  Fixture fixture(3);
  ReplicaGroup& group = fixture.group;
  const auto leader = group.AwaitLeader();
  ASSERT_TRUE(leader);
  const Term term = fixture.Node(*leader).Status().term;
  for (int i = 0; i < 10; ++i) {
    group.Crash((*leader + 1) % 3);
    group.Start((*leader + 1) % 3);
    group.scheduler.RunFor(milliseconds(900));
  }
  EXPECT_EQ(group.Leader(), leader);
  EXPECT_EQ(fixture.Node(*leader).Status().term, term);
}

TEST(ReplicaFaultTest, FollowerErrorNamesTheLeader) {
  Fixture f(3);
  const std::size_t leader = *f.group.AwaitLeader();
  f.group.scheduler.RunFor(seconds(1));
  const auto result =
      f.group.Propose(f.Follower(), LimitsChange("x", f.version, 3));
  ASSERT_FALSE(result);
  EXPECT_EQ(result.error().kind, ErrorKind::kNotLeader);
  EXPECT_EQ(result.error().ran, Ran::kNo);
  EXPECT_EQ(result.error().message,
            "the leader is " + f.group.vms[leader]->address.host_port);
}

TEST(ReplicaFaultTest, LostQuorumReportsMaybeAndRetryReturnsTheResult) {
  Fixture f(3);
  const std::size_t old_leader = *f.group.AwaitLeader();
  f.group.Isolate(old_leader);
  const Change change = LimitsChange("resent", f.version, 3);
  const auto failed = f.group.Propose(old_leader, change);
  ASSERT_FALSE(failed);
  EXPECT_EQ(failed.error().kind, ErrorKind::kNoQuorum);
  f.group.network.HealAll();
  const auto retried = f.group.Propose(*f.group.AwaitLeader(), change);
  ASSERT_TRUE(retried);
  const auto second_retry = f.group.Propose(*f.group.AwaitLeader(), change);
  ++f.version;
  EXPECT_EQ(std::get<ChangeResult>(*retried),
            std::get<ChangeResult>(*second_retry));
  EXPECT_EQ(std::get<ChangeResult>(*retried).version, f.version);
  f.ExpectAllChangesApplied();
}

// Guards against lost changes when a second disk fails right after the repair
// of the first. For each pair of the three VMs, the first VM loses its disk,
// and as soon as it is a voter again, the second VM loses its disk.
TEST(ReplicaFaultTest, SecondDiskLossRightAfterARepairLosesNoChange) {
  for (std::size_t first = 0; first < 3; ++first) {
    for (std::size_t second = 0; second < 3; ++second) {
      Fixture f(3);
      for (int i = 0; i < 30; ++i) f.ApplyChange();
      const NodeId old_node_id = f.Node(first).Status().identity.node_id;
      f.group.Wipe(first);
      f.group.Start(first);
      f.ExpectAllChangesApplied();
      EXPECT_NE(f.Node(first).Status().identity.node_id, old_node_id);
      EXPECT_EQ(f.Node(first).Status().membership.members.size(), 3U);
      f.group.Wipe(second);
      f.ApplyChange();
      f.group.Start(second);
      f.ExpectAllChangesApplied();
    }
  }
}

TEST(ReplicaFaultTest, WipedReplicaCountsInNoQuorumUntilItHasTheLog) {
  Fixture f(3);
  const std::size_t leader = *f.group.AwaitLeader();
  const std::size_t wiped = f.Follower();
  const std::size_t down = 3 - leader - wiped;
  // The only other replica with the log is down. The wiped replica must not
  // complete the quorum in its place.
  f.group.Crash(down);
  f.group.Wipe(wiped);
  f.group.Start(wiped);
  f.group.scheduler.RunFor(seconds(120));
  EXPECT_FALSE(f.group.Leader());
  EXPECT_NE(f.Node(wiped).Status().role, ReplicaRole::kFollower);
  f.group.Start(down);
  f.ExpectAllChangesApplied();
}

TEST(ReplicaFaultTest, LearnerIsNotPromotedWhileItLacksTheLog) {
  Fixture f(3);
  for (int i = 0; i < 30; ++i) f.ApplyChange();
  const std::size_t leader = *f.group.AwaitLeader();
  const std::size_t wiped = f.Follower();
  f.group.Wipe(wiped);
  f.group.Start(wiped);
  const Address& address = f.group.vms[wiped]->address;
  const NodeId id = f.Node(wiped).Status().identity.node_id;
  const auto membership = [&] { return f.Node(leader).Status().membership; };
  ASSERT_TRUE(f.group.scheduler.RunUntil(
      [&] { return FindMember(membership(), id) != nullptr; }));
  f.group.network.Cut(f.group.vms[leader]->address, address);
  for (int i = 0; i < 30; ++i) f.ApplyChange();
  f.group.scheduler.RunFor(seconds(60));
  EXPECT_EQ(f.group.Leader(), leader);
  EXPECT_FALSE(IsVoter(membership(), id));
  f.group.network.HealAll();
  f.ExpectAllChangesApplied();
}

// Guards against a learner that stays without a group. A leader adds the
// learner and sends it the log, but fails before the addition is committed. The
// next leader, whose log does not contain the learner, must add it again.
TEST(ReplicaFaultTest, LearnerFromAnUncommittedChangeIsAddedAgain) {
  Fixture f(5);
  const std::size_t old_leader = *f.group.AwaitLeader();
  const std::size_t wiped = (old_leader + 1) % 5;
  f.group.Wipe(wiped);
  for (const auto& vm : f.group.vms) {
    if (vm == f.group.vms[wiped]) continue;
    f.group.network.Cut(f.group.vms[old_leader]->address, vm->address);
  }
  f.group.Start(wiped);
  ASSERT_TRUE(f.group.RunUntil(
      [&] { return f.Node(wiped).Status().role == ReplicaRole::kLearner; }));
  f.group.Crash(old_leader);
  f.group.network.HealAll();
  EXPECT_TRUE(f.group.RunUntil(
      [&] { return f.Node(wiped).Status().role == ReplicaRole::kFollower; }));
  f.ApplyChange();
  f.group.Start(old_leader);
  f.ExpectAllChangesApplied();
}

TEST(ReplicaFaultTest, WipedReplicaFormsNoSecondGroup) {
  for (std::size_t wiped = 0; wiped < 3; ++wiped) {
    Fixture f(3);
    f.group.Wipe(wiped);
    f.group.Isolate(wiped);
    f.group.Start(wiped);
    f.group.scheduler.RunFor(seconds(600));
    EXPECT_EQ(f.Node(wiped).Status().role, ReplicaRole::kUnformed);
    f.group.network.HealAll();
    f.ApplyChange();
    f.ExpectAllChangesApplied();
  }
}

TEST(ReplicaFaultTest, ReplicaWithDamagedLogRejoinsAsALearner) {
  Fixture f(3);
  for (int i = 0; i < 5; ++i) f.ApplyChange();
  ASSERT_TRUE(f.group.AwaitAgreement());
  const std::size_t damaged = f.Follower();
  const NodeId old_node_id = f.Node(damaged).Status().identity.node_id;
  f.group.Crash(damaged);
  f.group.vms[damaged]->storage.FlipBit("state", 100);
  f.group.Start(damaged);
  EXPECT_EQ(f.Node(damaged).Status().role, ReplicaRole::kUnformed);
  EXPECT_NE(f.Node(damaged).Status().identity.node_id, old_node_id);
  // The replica may be a learner for a few milliseconds only.
  const auto role = [&] { return f.Node(damaged).Status().role; };
  const TimePoint end = f.group.scheduler.Now() + seconds(60);
  while (role() == ReplicaRole::kUnformed && f.group.scheduler.Now() < end) {
    f.group.scheduler.RunFor(milliseconds(1));
  }
  EXPECT_EQ(role(), ReplicaRole::kLearner);
  f.ExpectAllChangesApplied();
}

TEST(ReplicaFaultTest, OperatorReplacesAMemberWithASpareVm) {
  for (const std::size_t leaving : {0U, 1U, 2U}) {
    for (const bool is_down : {false, true}) {
      Fixture f(3, 1);
      for (int i = 0; i < 20; ++i) f.ApplyChange();
      if (is_down) f.group.Crash(leaving);
      GroupMemberChange change;
      change.add = f.group.vms[3]->address;
      change.remove = f.group.vms[leaving]->address;
      // The second request is a retry of a change that is already in effect.
      for (int sent = 0; sent < 2; ++sent) {
        std::optional<Result<void>> reply;
        f.Node(*f.group.AwaitLeader())
            .ChangeMembers(change,
                           [&](Result<void> done) { reply = std::move(done); });
        EXPECT_TRUE(f.group.RunUntil([&] { return reply.has_value(); }));
        EXPECT_TRUE(reply->has_value()) << reply->error().message;
        f.ExpectAllChangesApplied();
        const auto status = f.Node(3).Status();
        EXPECT_EQ(status.membership.members.size(), 3U);
        EXPECT_TRUE(IsVoter(status.membership, status.identity.node_id));
        f.ApplyChange();
      }
    }
  }
}

TEST(ReplicaFaultTest, RefusedMemberChangesReportTheReason) {
  Fixture f(3, 1);
  const Address spare = f.group.vms[3]->address;
  const Address member = f.group.vms[0]->address;
  f.group.Crash(3);
  struct Case {
    GroupMemberChange change;
    ErrorKind kind;
  };
  const std::vector<Case> cases = {
      {{99, spare, member}, ErrorKind::kVersionConflict},
      {{std::nullopt, spare, {"127.0.0.9:1"}}, ErrorKind::kInvalidChange},
      {{std::nullopt, spare, member}, ErrorKind::kUpstreamUnavailable},
      {{std::nullopt, spare, {}}, ErrorKind::kUpstreamUnavailable},
      {{std::nullopt, member, f.group.vms[1]->address},
       ErrorKind::kInvalidChange},
  };
  for (const Case& c : cases) {
    std::optional<Result<void>> reply;
    f.Node(*f.group.AwaitLeader())
        .ChangeMembers(c.change,
                       [&](Result<void> done) { reply = std::move(done); });
    ASSERT_TRUE(f.group.RunUntil([&] { return reply.has_value(); }));
    ASSERT_FALSE(reply->has_value());
    EXPECT_EQ(reply->error().kind, c.kind) << reply->error().message;
    EXPECT_EQ(reply->error().ran, Ran::kNo);
  }
}

TEST(ReplicaFaultTest, DiskFailureStopsTheReplica) {
  using Fault = FakeStorage::Fault;
  for (const Fault fault : {Fault::kFailedSync, Fault::kFullDisk}) {
    for (std::uint64_t operation = 0; operation < 2; ++operation) {
      Fixture f(3);
      const std::size_t old_leader = *f.group.AwaitLeader();
      std::size_t failures = 0;
      f.Node(old_leader).SetFailureCallback([&](const Error& error) {
        EXPECT_EQ(error.kind, ErrorKind::kStorageFailed);
        ++failures;
      });
      f.group.vms[old_leader]->storage.FailAfter(operation, fault);
      const auto failed =
          f.group.Propose(old_leader, LimitsChange("x", f.version, 3));
      ASSERT_FALSE(failed);
      EXPECT_EQ(failed.error().kind, ErrorKind::kStorageFailed);
      EXPECT_EQ(failed.error().ran, Ran::kMaybe);
      EXPECT_EQ(failures, 1U);
      EXPECT_EQ(f.Node(old_leader).Status().role, ReplicaRole::kFailed);
      // The leader sent the entry before the sync, so the other replicas may
      // have committed it.
      f.group.vms[old_leader]->storage.FailAfter(0, Fault::kNone);
      f.group.Crash(old_leader);
      f.group.Start(old_leader);
      ASSERT_TRUE(f.group.Propose(*f.group.AwaitLeader(),
                                  LimitsChange("x", f.version, 3)));
      ++f.version;
      f.ExpectAllChangesApplied();
    }
  }
}

// Guards against changes lost in a crash. One VM crashes at each operation on
// its disk, while changes and compactions are in progress.
TEST(ReplicaFaultTest, CrashAtAnyDiskOperationLosesNoChange) {
  for (std::size_t crashing = 0; crashing < 3; ++crashing) {
    bool crashed = true;
    for (std::uint64_t operation = 0; crashed; ++operation) {
      SCOPED_TRACE("VM " + std::to_string(crashing) + " operation " +
                   std::to_string(operation));
      Fixture f(3, 0, operation + 1);
      FakeStorage& storage = f.group.vms[crashing]->storage;
      storage.FailAfter(operation, FakeStorage::Fault::kCrash);
      crashed = false;
      for (int i = 0; i < 30; ++i) {
        const auto leader = f.group.AwaitLeader();
        ASSERT_TRUE(leader);
        const Change change =
            LimitsChange("c" + std::to_string(i), f.version, 3);
        auto result = f.group.Propose(*leader, change);
        if (storage.Crashed()) {
          crashed = true;
          f.group.Crash(crashing);
          f.group.Start(crashing);
        }
        if (!result) result = f.group.Propose(*f.group.AwaitLeader(), change);
        ASSERT_TRUE(result) << result.error().message;
        ASSERT_EQ(std::get<ChangeResult>(*result).version, ++f.version);
      }
      f.ExpectAllChangesApplied();
    }
  }
}

/// Time after which a VM outside the group knows a leader that the others know.
constexpr Duration kLeaderKnownTarget = seconds(2);

// A control VM beyond the maximum number of voters refused all requests of
// operators and entries, because it knew no leader.
TEST(ReplicaFaultTest, AVmOutsideTheGroupKnowsTheLeader) {
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    SCOPED_TRACE("seed " + std::to_string(seed));
    Fixture f(3, 1, seed);
    const auto knows_leader = [&f] {
      const auto leader = f.group.Leader();
      return leader &&
             f.Node(3).Status().leader == f.group.vms[*leader]->address;
    };
    ASSERT_TRUE(f.group.AwaitLeader());
    EXPECT_TRUE(f.group.RunUntil(knows_leader, kLeaderKnownTarget));
    f.group.Crash(*f.group.Leader());
    ASSERT_TRUE(f.group.AwaitLeader());
    EXPECT_TRUE(f.group.RunUntil(knows_leader, kLeaderKnownTarget));
  }
}

// A control VM that was replaced while it was silent refused all requests once
// it was back, because it knew no leader.
TEST(ReplicaFaultTest, ARemovedVmKnowsTheLeader) {
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    SCOPED_TRACE("seed " + std::to_string(seed));
    Fixture f(3, 1, seed);
    const std::size_t removed = f.Follower();
    f.group.Isolate(removed);
    GroupMemberChange change;
    change.add = f.group.vms[3]->address;
    change.remove = f.group.vms[removed]->address;
    std::optional<Result<void>> reply;
    f.Node(*f.group.AwaitLeader())
        .ChangeMembers(change,
                       [&](Result<void> done) { reply = std::move(done); });
    ASSERT_TRUE(f.group.RunUntil([&] { return reply.has_value(); }));
    f.group.scheduler.RunFor(seconds(10));
    f.group.network.HealAll();
    const auto knows_leader = [&] {
      const auto leader = f.group.Leader();
      return leader &&
             f.Node(removed).Status().leader == f.group.vms[*leader]->address;
    };
    EXPECT_TRUE(f.group.RunUntil(knows_leader, kLeaderKnownTarget))
        << f.group.Describe();
  }
}

/// Time without a leader that leaves an accepted change the time to spread.
constexpr Duration kLeaderlessTarget = seconds(3);

// A leader falls silent while a voter that has lost its disk comes back.
TEST(ReplicaFaultTest, AGroupOfSevenHasALeaderSoonAfterItFallsSilent) {
  for (std::uint64_t seed = 1; seed <= 50; ++seed) {
    SCOPED_TRACE("seed " + std::to_string(seed));
    Fixture f(7, 1, seed);
    const std::size_t silent = *f.group.AwaitLeader();
    const std::size_t wiped = (silent + 1) % 7;
    f.group.Wipe(wiped);
    f.group.Start(wiped);
    f.group.scheduler.RunFor(milliseconds(20 * (seed % 25)));
    f.group.Isolate(silent);
    const TimePoint silent_at = f.group.scheduler.Now();
    const auto has_new_leader = [&] {
      const auto leader = f.group.Leader();
      return leader && *leader != silent;
    };
    ASSERT_TRUE(f.group.RunUntil(has_new_leader)) << f.group.Describe();
    ASSERT_TRUE(f.group.AwaitLeader());
    EXPECT_LT(f.group.scheduler.Now() - silent_at, kLeaderlessTarget);
  }
}

}  // namespace
}  // namespace chicoryvale
