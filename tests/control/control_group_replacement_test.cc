// Replacements of control VMs by empty ones at other addresses, with real
// replicas and reconcilers on virtual time.
#include <gtest/gtest.h>

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "control/control_group_reconciler.h"
#include "fakes/recording_log.h"
#include "replication/membership_plan.h"
#include "replication/replica_group.h"

namespace chicoryvale {
namespace {

/// Time after the start of its successor at which a lost VM no longer counts as
/// lost, as the smallest deployment of the users' platform states it.
constexpr Duration kCatchUpTime = seconds(4);

/// The members as all control VMs see them. The test sets their states.
class ScriptedMembers : public MemberView {
 public:
  std::vector<Member> members;

 protected:
  [[nodiscard]] std::vector<Member> OnMembers() const override {
    return members;
  }
  [[nodiscard]] const MemberInfo& OnSelf() const override { return m_self; }
  [[nodiscard]] bool OnOwnLeaseHeld() const override { return false; }
  void OnAddListener(Listener) override {}

 private:
  MemberInfo m_self;
};

/// ControlGroup that passes membership changes to one replica.
class NodeControlGroup : public ControlGroup {
 public:
  explicit NodeControlGroup(ReplicaNode* node) : m_node(node) {}

 protected:
  void OnPropose(const Change&, ChangeCallback) override {}
  void OnReadConfig(ConfigCallback) override {}
  void OnChangeMember(const Address& remove, const Address& add,
                      MemberCallback callback) override {
    GroupMemberChange change;
    change.add = add;
    change.remove = remove;
    m_node->ChangeMembers(
        change, [callback = std::move(callback)](const Result<void>& done) {
          if (done) {
            callback(std::uint64_t{1});
          } else {
            callback(tl::unexpected<Error>(done.error()));
          }
        });
  }
  void OnRefreshNodes(std::function<void()>) override {}
  [[nodiscard]] ControlStatus OnStatus() const override { return {}; }

 private:
  ReplicaNode* m_node;
};

/// A control group whose VMs are lost and replaced. The membership still shows
/// a lost VM as alive for `detection_delay`.
class ReplacementModel {
 public:
  ReplacementModel(std::size_t size, std::size_t spares, std::uint64_t seed)
      : m_group(size, seed, spares), m_reconcilers(size + spares) {
    for (std::size_t i = 0; i < size; ++i) StartVm(i);
  }

  [[nodiscard]] ReplicaGroup& Group() { return m_group; }

  /// Starts the process of the VM `i`, which the membership shows as alive from
  /// then on.
  void StartVm(std::size_t i) {
    m_group.Start(i);
    ReplicaNode* node = m_group.vms[i]->node.get();
    ASSERT_NE(node, nullptr);
    Reconciling& reconciling = m_reconcilers[i];
    reconciling.group = std::make_unique<NodeControlGroup>(node);
    reconciling.reconciler = std::make_unique<ControlGroupReconciler>(
        ControlGroupReconciler::Dependencies{.scheduler = &m_group.scheduler,
                                             .members = &m_members,
                                             .group = reconciling.group.get(),
                                             .log = &m_log},
        [node] { return node->Status(); });
    reconciling.reconciler->Start();
    SetState(i, MemberState::kAlive);
  }

  /// Loses the VM `i` with its disk for good.
  void LoseVm(std::size_t i) {
    m_reconcilers[i] = {};
    m_group.Wipe(i);
  }

  /// Kills the process of the VM `i`, whose disk stays.
  void CrashVm(std::size_t i) {
    m_reconcilers[i] = {};
    m_group.Crash(i);
  }

  void SetState(std::size_t i, MemberState state) {
    const Address& address = m_group.vms[i]->address;
    const auto found = std::ranges::find(
        m_members.members, address,
        [](const Member& member) { return member.info.address; });
    if (found != m_members.members.end()) {
      found->state = state;
      return;
    }
    m_members.members.push_back(
        {{address.host_port, address, "z", MemberRole::kControl}, state, 1});
  }

  /// Runs for `duration` while the disk of the VM `i` takes no bytes and
  /// changes are proposed. The process ends at each failed write, and starts
  /// again.
  void RunWithFullDisk(std::size_t i, Duration duration) {
    m_group.vms[i]->storage.SetFull(true);
    const TimePoint end = m_group.scheduler.Now() + duration;
    while (m_group.scheduler.Now() < end) {
      ProposeChange();
      RunFor(milliseconds(250));
      RestartFailedVms();
    }
    m_group.vms[i]->storage.SetFull(false);
    RestartFailedVms();
  }

  /// Proposes a change at the leader, if there is one.
  void ProposeChange() {
    const auto leader = m_group.Leader();
    if (!leader) return;
    m_group.vms[*leader]->node->Propose(
        EncodeCommand(PlacementChange()), ProposalEnd::kKnownToQuorum,
        [this](const Result<std::string>& result) {
          if (result) m_accepted_at = m_group.scheduler.Now();
        });
  }

  /// Time of the last accepted change.
  [[nodiscard]] TimePoint AcceptedAt() const { return m_accepted_at; }

  /// Makes the members forget the VM `i`, as they do after a restart of all.
  void Forget(std::size_t i) {
    std::erase_if(m_members.members, [&](const Member& member) {
      return member.info.address == m_group.vms[i]->address;
    });
  }

  void RunFor(Duration duration) { m_group.scheduler.RunFor(duration); }

  /// Returns whether the VM `i` is a voter of the group as its leader knows it.
  [[nodiscard]] bool IsVoter(std::size_t i) const {
    const GroupMembership membership =
        m_group.vms[*m_group.Leader()]->node->Status().membership;
    const GroupMember* member =
        FindMemberAt(membership, m_group.vms[i]->address);
    return member != nullptr && member->voter;
  }

  /// Returns how many more VMs the group can lose and still elect a leader;
  /// negative if it can't elect one now.
  [[nodiscard]] int SpareVoters() const {
    const auto leader = m_group.Leader();
    if (!leader) return -1;
    const GroupMembership membership =
        m_group.vms[*leader]->node->Status().membership;
    const auto live_voters = std::ranges::count_if(
        membership.members,
        [&](const auto& member) { return member.voter && IsRunning(member); });
    return static_cast<int>(live_voters) -
           static_cast<int>(QuorumSize(membership));
  }

 private:
  struct Reconciling {
    std::unique_ptr<NodeControlGroup> group;
    std::unique_ptr<ControlGroupReconciler> reconciler;
  };

  /// Ends the processes whose disk has failed, and starts all that have ended.
  void RestartFailedVms() {
    for (std::size_t i = 0; i < m_group.vms.size(); ++i) {
      ReplicaVm& vm = *m_group.vms[i];
      const bool failed =
          vm.node && vm.node->Status().role == ReplicaRole::kFailed;
      if (failed) CrashVm(i);
      if (vm.node) continue;
      m_group.Start(i);
      if (vm.node) StartVm(i);
    }
  }

  [[nodiscard]] bool IsRunning(const GroupMember& member) const {
    const ReplicaVm* vm = m_group.VmAt(member.address);
    return vm->node && vm->node->Status().identity.node_id == member.node_id;
  }

  TimePoint m_accepted_at{};
  RecordingLog m_log;
  ScriptedMembers m_members;
  ReplicaGroup m_group;
  std::vector<Reconciling> m_reconcilers;
};

// Guards against a group that keeps a lost voter because its successor joined
// before the loss was detected, and that the next loss therefore ends.
TEST(ControlGroupReplacementTest, LostVoterLeavesAfterItsSuccessorHasJoined) {
  for (const std::size_t size : {3U, 4U, 5U, 6U}) {
    const int tolerance = (static_cast<int>(size) - 1) / 2;
    for (std::uint64_t seed = 1; seed <= 8; ++seed) {
      constexpr std::size_t kReplacements = 4;
      ReplacementModel model(size, kReplacements, seed);
      ASSERT_TRUE(model.Group().AwaitLeader());
      model.RunFor(seconds(2));
      std::mt19937_64 random(seed);
      for (std::size_t i = 0; i < kReplacements; ++i) {
        const std::size_t leader = *model.Group().Leader();
        // The oldest VM, or the leader where that one is to be replaced too.
        const std::size_t lost = random() % 2 == 0 && leader >= i ? leader : i;
        if (!model.Group().vms[lost]->node) continue;
        model.LoseVm(lost);
        model.RunFor(seconds(2));
        model.StartVm(size + i);
        model.RunFor(kCatchUpTime);
        ASSERT_GE(model.SpareVoters(), tolerance)
            << "size " << size << " seed " << seed << " replacement " << i
            << model.Group().Describe();
        model.RunFor(seconds(4));
        model.SetState(lost, MemberState::kDead);
        model.RunFor(seconds(10));
      }
    }
  }
}

// Guards against the same with a lost disk after the replacement: the VM starts
// again at its address, empty.
TEST(ControlGroupReplacementTest, GroupOutlivesADiskLostAfterAReplacement) {
  for (const std::size_t size : {3U, 4U, 5U}) {
    for (std::uint64_t seed = 1; seed <= 8; ++seed) {
      ReplacementModel model(size, 1, seed);
      ASSERT_TRUE(model.Group().AwaitLeader());
      model.RunFor(seconds(2));
      model.LoseVm(0);
      model.RunFor(seconds(2));
      model.StartVm(size);
      model.RunFor(kCatchUpTime);
      const std::size_t emptied = 1 + seed % (size - 1);
      model.LoseVm(emptied);
      model.RunFor(seconds(1));
      model.StartVm(emptied);
      model.RunFor(kCatchUpTime);
      EXPECT_GE(model.SpareVoters(), (static_cast<int>(size) - 1) / 2)
          << "size " << size << " seed " << seed << model.Group().Describe();
    }
  }
}

// Guards against a lost voter that stays because the members that knew of it
// have restarted since, so that none of them can report it as dead.
TEST(ControlGroupReplacementTest, ForgottenVoterIsReplaced) {
  ReplacementModel model(3, 1, 7);
  ASSERT_TRUE(model.Group().AwaitLeader());
  model.RunFor(seconds(2));
  const std::size_t leader = *model.Group().Leader();
  const std::size_t lost = (leader + 1) % 3;
  model.LoseVm(lost);
  model.Forget(lost);
  model.RunFor(seconds(60));
  model.StartVm(3);
  model.RunFor(kCatchUpTime);
  EXPECT_EQ(model.SpareVoters(), 1) << model.Group().Describe();
}

// Guards against a planned replacement that leaves the replaced VM as a voter,
// because the new VM was added before the old one left.
TEST(ControlGroupReplacementTest, VoterThatLeavesAfterItsSuccessorJoined) {
  for (const std::size_t size : {3U, 5U}) {
    ReplacementModel model(size, 1, 9);
    ASSERT_TRUE(model.Group().AwaitLeader());
    model.RunFor(seconds(2));
    model.StartVm(size);
    model.RunFor(seconds(4));
    model.SetState(0, MemberState::kLeft);
    model.LoseVm(0);
    model.RunFor(kCatchUpTime);
    EXPECT_EQ(model.SpareVoters(), static_cast<int>(size - 1) / 2)
        << model.Group().Describe();
  }
}

// Guards against a lost voter that stays because the leader asks the same VM
// again and again, which is shown as alive and doesn't reply.
TEST(ControlGroupReplacementTest, ASilentCandidateDoesNotBlockAnotherOne) {
  for (std::uint64_t seed = 1; seed <= 8; ++seed) {
    ReplacementModel model(5, 2, seed);
    ASSERT_TRUE(model.Group().AwaitLeader());
    model.RunFor(seconds(2));
    model.SetState(5, MemberState::kAlive);
    model.LoseVm((*model.Group().Leader() + 1) % 5);
    model.RunFor(seconds(1));
    model.StartVm(6);
    model.RunFor(kCatchUpTime);
    EXPECT_EQ(model.SpareVoters(), 2)
        << "seed " << seed << model.Group().Describe();
  }
}

// Guards against a VM that can't become a voter again after it was replaced:
// its successor still named it as replaced, and removed it once it was one.
TEST(ControlGroupReplacementTest, AReplacedVmThatReturnsBecomesAVoterAgain) {
  for (const std::size_t size : {3U, 5U}) {
    for (std::uint64_t seed = 1; seed <= 8; ++seed) {
      ReplacementModel model(size, 1, seed);
      ASSERT_TRUE(model.Group().AwaitLeader());
      model.RunFor(seconds(2));
      model.CrashVm(0);
      model.RunFor(kCatchUpTime);
      model.StartVm(size);
      model.RunFor(kCatchUpTime);
      ASSERT_FALSE(model.IsVoter(0)) << model.Group().Describe();
      model.StartVm(0);
      model.RunFor(seconds(10));
      for (int i = 0; i < 20; ++i) {
        ASSERT_TRUE(model.IsVoter(0))
            << "size " << size << " seed " << seed << model.Group().Describe();
        model.RunFor(milliseconds(300));
      }
    }
  }
}

// Reported by operators of a similar system: disks were full for some seconds,
// one after another, and changes were refused long after the last had room.
TEST(ControlGroupReplacementTest, ChangesAreAcceptedAfterDisksWereFullInTurn) {
  for (const auto& [size, spares] :
       std::vector<std::pair<std::size_t, std::size_t>>{
           {3, 0}, {4, 0}, {5, 1}, {7, 1}}) {
    for (std::uint64_t seed = 1; seed <= 6; ++seed) {
      ReplacementModel model(size, spares, seed);
      for (std::size_t i = size; i < size + spares; ++i) model.StartVm(i);
      ASSERT_TRUE(model.Group().AwaitLeader());
      model.RunFor(seconds(2));
      std::mt19937_64 random(seed);
      for (std::size_t i = 0; i < 2 * (size + spares); ++i) {
        model.RunWithFullDisk(i % (size + spares),
                              milliseconds(500 + random() % 3500));
        model.RunFor(milliseconds(random() % 500));
      }
      model.RunFor(kCatchUpTime);
      const TimePoint end = model.Group().scheduler.Now();
      model.ProposeChange();
      model.RunFor(seconds(1));
      EXPECT_GE(model.AcceptedAt(), end)
          << "size " << size << " seed " << seed << model.Group().Describe();
      EXPECT_GE(model.SpareVoters(), (static_cast<int>(size) - 1) / 2)
          << "size " << size << " seed " << seed << model.Group().Describe();
    }
  }
}

// A voter that is away for a moment stays in a group that it cannot leave
// without a loss of tolerance.
TEST(ControlGroupReplacementTest, GroupOfOddSizeKeepsAVoterThatMayReturn) {
  ReplacementModel model(3, 0, 5);
  ASSERT_TRUE(model.Group().AwaitLeader());
  model.RunFor(seconds(2));
  const std::size_t away = (*model.Group().Leader() + 1) % 3;
  model.CrashVm(away);
  model.SetState(away, MemberState::kDead);
  model.RunFor(seconds(30));
  EXPECT_EQ(model.SpareVoters(), 0) << model.Group().Describe();
  model.StartVm(away);
  model.RunFor(seconds(5));
  EXPECT_EQ(model.SpareVoters(), 1) << model.Group().Describe();
}

}  // namespace
}  // namespace chicoryvale
