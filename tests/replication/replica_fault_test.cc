#include <gtest/gtest.h>

#include <functional>
#include <string>
#include <vector>

#include "replication/replica_group.h"

namespace chicoryvale {
namespace {

/// A group of `members` with a placed service, and a client that waits for
/// each answer.
class Fixture {
 public:
  explicit Fixture(std::size_t members, std::size_t spares = 0,
                   std::uint64_t seed = 11)
      : group(members, seed, spares) {
    group.StartAll();
    Change();
  }

  /// Applies one change at whoever leads.
  void Change() {
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

  /// Returns a VM that does not lead.
  std::size_t Follower() { return (*group.AwaitLeader() + 1) % 3; }

  /// Checks that every VM has all changes.
  void ExpectWhole() {
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

TEST(ReplicaFaultTest, IsolatedLeaderAnswersNothingAsCurrent) {
  for (const CutCase& c : {CutCase{"incoming", true, false},
                           {"outgoing", false, true},
                           {"both", true, true}}) {
    SCOPED_TRACE(c.name);
    Fixture f(3);
    const std::size_t old = *f.group.AwaitLeader();
    for (const auto& vm : f.group.vms) {
      const Address& self = f.group.vms[old]->address;
      if (c.incoming) f.group.network.Cut(vm->address, self);
      if (c.outgoing) f.group.network.Cut(self, vm->address);
    }
    std::vector<Error> refused;
    std::size_t reads = 0;
    const auto ask = [&] {
      f.Node(old).Read([&](const Result<LogIndex>& read) {
        ++reads;
        ASSERT_FALSE(read);
        refused.push_back(read.error());
      });
    };
    ask();
    const auto lost = f.group.Propose(old, LimitsChange("lost", f.version, 3));
    ASSERT_FALSE(lost);
    EXPECT_EQ(lost.error().ran, Ran::kMaybe);
    f.group.scheduler.RunFor(seconds(600));
    ask();
    f.group.scheduler.RunFor(seconds(5));
    EXPECT_EQ(reads, 2U);
    EXPECT_EQ(refused.back().kind, ErrorKind::kNotLeader);
    EXPECT_NE(f.Node(old).Status().role, ReplicaRole::kLeader);
    // Where the leader could still send, the others may have committed it.
    ASSERT_TRUE(f.group.Propose(*f.group.AwaitLeader(),
                                LimitsChange("lost", f.version, 3)));
    ++f.version;
    f.Change();
    // Its return changes neither the leader nor the term.
    const std::size_t leader = *f.group.Leader();
    const Term term = f.Node(leader).Status().term;
    f.group.network.HealAll();
    f.group.scheduler.RunFor(seconds(30));
    EXPECT_EQ(f.group.Leader(), leader);
    EXPECT_EQ(f.Node(leader).Status().term, term);
    f.ExpectWhole();
  }
}

// All processes lose power: until there is a leader, entries that start know no
// configuration and refuse every caller.
TEST(ReplicaFaultTest, AGroupThatStartsAgainHasALeaderWithinOneSecond) {
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

// A process that starts again in a group with a leader campaigns early, in
// vain.
TEST(ReplicaFaultTest, AReplicaThatStartsAgainDisturbsNoLeader) {
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

TEST(ReplicaFaultTest, FollowersNameTheLeader) {
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

TEST(ReplicaFaultTest, NoQuorumAnswersMaybeAndTheResendTellsTheTruth) {
  Fixture f(3);
  const std::size_t old = *f.group.AwaitLeader();
  f.group.Isolate(old);
  const Change change = LimitsChange("resent", f.version, 3);
  const auto lost = f.group.Propose(old, change);
  ASSERT_FALSE(lost);
  EXPECT_EQ(lost.error().kind, ErrorKind::kNoQuorum);
  f.group.network.HealAll();
  const auto resent = f.group.Propose(*f.group.AwaitLeader(), change);
  ASSERT_TRUE(resent);
  const auto again = f.group.Propose(*f.group.AwaitLeader(), change);
  ++f.version;
  EXPECT_EQ(std::get<ChangeResult>(*resent), std::get<ChangeResult>(*again));
  EXPECT_EQ(std::get<ChangeResult>(*resent).version, f.version);
  f.ExpectWhole();
}

// Loses the disk of one VM, waits until it counts again, and loses the disk of
// another at once: each pair of the three.
TEST(ReplicaFaultTest, SecondDiskLostJustAfterTheRepairLosesNothing) {
  for (std::size_t first = 0; first < 3; ++first) {
    for (std::size_t second = 0; second < 3; ++second) {
      Fixture f(3);
      for (int i = 0; i < 30; ++i) f.Change();
      const NodeId before = f.Node(first).Status().identity.node_id;
      f.group.Wipe(first);
      f.group.Start(first);
      f.ExpectWhole();
      EXPECT_NE(f.Node(first).Status().identity.node_id, before);
      EXPECT_EQ(f.Node(first).Status().membership.members.size(), 3U);
      f.group.Wipe(second);
      f.Change();
      f.group.Start(second);
      f.ExpectWhole();
    }
  }
}

TEST(ReplicaFaultTest, WipedReplicaCountsInNoQuorumBeforeItHasTheLog) {
  Fixture f(3);
  const std::size_t leader = *f.group.AwaitLeader();
  const std::size_t wiped = f.Follower();
  const std::size_t down = 3 - leader - wiped;
  // The only other holder of the log is down: the wiped one cannot stand in.
  f.group.Crash(down);
  f.group.Wipe(wiped);
  f.group.Start(wiped);
  f.group.scheduler.RunFor(seconds(120));
  EXPECT_FALSE(f.group.Leader());
  EXPECT_NE(f.Node(wiped).Status().role, ReplicaRole::kFollower);
  f.group.Start(down);
  f.ExpectWhole();
}

TEST(ReplicaFaultTest, LearnerIsNotPromotedWhileItLacksTheLog) {
  Fixture f(3);
  for (int i = 0; i < 30; ++i) f.Change();
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
  for (int i = 0; i < 30; ++i) f.Change();
  f.group.scheduler.RunFor(seconds(60));
  EXPECT_EQ(f.group.Leader(), leader);
  EXPECT_FALSE(IsVoter(membership(), id));
  f.group.network.HealAll();
  f.ExpectWhole();
}

// A learner has the log of a leader that could not commit its addition and is
// gone: the next leader, who knows nothing of it, adds it again.
TEST(ReplicaFaultTest, LearnerOfALostChangeIsAddedAgain) {
  Fixture f(5);
  const std::size_t old = *f.group.AwaitLeader();
  const std::size_t wiped = (old + 1) % 5;
  f.group.Wipe(wiped);
  for (const auto& vm : f.group.vms) {
    if (vm == f.group.vms[wiped]) continue;
    f.group.network.Cut(f.group.vms[old]->address, vm->address);
  }
  f.group.Start(wiped);
  ASSERT_TRUE(f.group.RunUntil(
      [&] { return f.Node(wiped).Status().role == ReplicaRole::kLearner; }));
  f.group.Crash(old);
  f.group.network.HealAll();
  EXPECT_TRUE(f.group.RunUntil(
      [&] { return f.Node(wiped).Status().role == ReplicaRole::kFollower; }));
  f.Change();
  f.group.Start(old);
  f.ExpectWhole();
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
    f.Change();
    f.ExpectWhole();
  }
}

TEST(ReplicaFaultTest, DamagedLogComesBackAsALearner) {
  Fixture f(3);
  for (int i = 0; i < 5; ++i) f.Change();
  ASSERT_TRUE(f.group.AwaitAgreement());
  const std::size_t damaged = f.Follower();
  const NodeId before = f.Node(damaged).Status().identity.node_id;
  f.group.Crash(damaged);
  f.group.vms[damaged]->storage.FlipBit("state", 100);
  f.group.Start(damaged);
  EXPECT_EQ(f.Node(damaged).Status().role, ReplicaRole::kUnformed);
  EXPECT_NE(f.Node(damaged).Status().identity.node_id, before);
  EXPECT_TRUE(f.group.RunUntil(
      [&] { return f.Node(damaged).Status().role == ReplicaRole::kLearner; }));
  f.ExpectWhole();
}

TEST(ReplicaFaultTest, OperatorReplacesAMemberByASpareVm) {
  for (const std::size_t leaving : {0U, 1U, 2U}) {
    for (const bool is_down : {false, true}) {
      Fixture f(3, 1);
      for (int i = 0; i < 20; ++i) f.Change();
      if (is_down) f.group.Crash(leaving);
      GroupMemberChange change;
      change.add = f.group.vms[3]->address;
      change.remove = f.group.vms[leaving]->address;
      // The second time it is a resend of a change that has taken place.
      for (int sent = 0; sent < 2; ++sent) {
        std::optional<Result<void>> answer;
        f.Node(*f.group.AwaitLeader())
            .ChangeMembers(
                change, [&](Result<void> done) { answer = std::move(done); });
        EXPECT_TRUE(f.group.RunUntil([&] { return answer.has_value(); }));
        EXPECT_TRUE(answer->has_value()) << answer->error().message;
        f.ExpectWhole();
        const auto status = f.Node(3).Status();
        EXPECT_EQ(status.membership.members.size(), 3U);
        EXPECT_TRUE(IsVoter(status.membership, status.identity.node_id));
        f.Change();
      }
    }
  }
}

TEST(ReplicaFaultTest, MemberChangesAreRefusedWithTheirReason) {
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
    std::optional<Result<void>> answer;
    f.Node(*f.group.AwaitLeader())
        .ChangeMembers(c.change,
                       [&](Result<void> done) { answer = std::move(done); });
    ASSERT_TRUE(f.group.RunUntil([&] { return answer.has_value(); }));
    ASSERT_FALSE(answer->has_value());
    EXPECT_EQ(answer->error().kind, c.kind) << answer->error().message;
    EXPECT_EQ(answer->error().ran, Ran::kNo);
  }
}

TEST(ReplicaFaultTest, FailedDiskEndsTheReplica) {
  using Fault = FakeStorage::Fault;
  for (const Fault fault : {Fault::kFailedSync, Fault::kFullDisk}) {
    for (std::uint64_t at = 0; at < 2; ++at) {
      Fixture f(3);
      const std::size_t old = *f.group.AwaitLeader();
      std::size_t failures = 0;
      f.Node(old).SetFailureCallback([&](const Error& error) {
        EXPECT_EQ(error.kind, ErrorKind::kStorageFailed);
        ++failures;
      });
      f.group.vms[old]->storage.FailAfter(at, fault);
      const auto lost = f.group.Propose(old, LimitsChange("x", f.version, 3));
      ASSERT_FALSE(lost);
      EXPECT_EQ(lost.error().kind, ErrorKind::kStorageFailed);
      EXPECT_EQ(lost.error().ran, Ran::kMaybe);
      EXPECT_EQ(failures, 1U);
      EXPECT_EQ(f.Node(old).Status().role, ReplicaRole::kFailed);
      // The entry had left before the sync: the others may have committed it.
      f.group.vms[old]->storage.FailAfter(0, Fault::kNone);
      f.group.Crash(old);
      f.group.Start(old);
      ASSERT_TRUE(f.group.Propose(*f.group.AwaitLeader(),
                                  LimitsChange("x", f.version, 3)));
      ++f.version;
      f.ExpectWhole();
    }
  }
}

// Crashes one VM at each operation on its disk while changes, compactions and
// the repair of another VM go on.
TEST(ReplicaFaultTest, CrashAtEveryWriteAndSyncLosesNothing) {
  for (std::size_t crashing = 0; crashing < 3; ++crashing) {
    bool struck = true;
    for (std::uint64_t at = 0; struck; ++at) {
      SCOPED_TRACE("VM " + std::to_string(crashing) + " operation " +
                   std::to_string(at));
      Fixture f(3, 0, at + 1);
      FakeStorage& storage = f.group.vms[crashing]->storage;
      storage.FailAfter(at, FakeStorage::Fault::kCrash);
      struck = false;
      for (int i = 0; i < 30; ++i) {
        const auto leader = f.group.AwaitLeader();
        ASSERT_TRUE(leader);
        const Change change =
            LimitsChange("c" + std::to_string(i), f.version, 3);
        auto result = f.group.Propose(*leader, change);
        if (storage.Crashed()) {
          struck = true;
          f.group.Crash(crashing);
          f.group.Start(crashing);
        }
        if (!result) result = f.group.Propose(*f.group.AwaitLeader(), change);
        ASSERT_TRUE(result) << result.error().message;
        ASSERT_EQ(std::get<ChangeResult>(*result).version, ++f.version);
      }
      f.ExpectWhole();
    }
  }
}

}  // namespace
}  // namespace chicoryvale
