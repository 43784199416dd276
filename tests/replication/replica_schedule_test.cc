#include <gtest/gtest.h>

#include <cstdlib>
#include <iostream>

#include "replication/replica_group.h"

namespace chicoryvale {
namespace {

/// What the schedules of one part reached; guards against idle schedules.
struct Coverage {
  std::uint64_t accepted = 0;
  std::uint64_t conflicts = 0;
  std::uint64_t disks_lost = 0;
  std::uint64_t members_replaced = 0;
  std::uint64_t snapshots_installed = 0;
  std::uint64_t reads_answered = 0;
  std::uint64_t leaders_resigned = 0;
};

/// One random schedule of faults over a group, with clients that race, resend
/// and claim. Ends with all faults healed.
class Schedule {
 public:
  Schedule(std::uint64_t seed, Coverage* coverage)
      : m_coverage(coverage),
        m_group(seed % 5 == 0 ? 5 : 3, seed),
        m_random(seed * 31) {
    m_group.network.loss_percent = m_random() % 20;
    m_group.network.double_percent = m_random() % 20;
    m_group.network.slow_percent = m_random() % 5;
  }

  void Run() {
    constexpr int kSteps = 80;
    m_group.StartAll();
    m_changes.push_back(PlacementChange());
    // Every second schedule lets its faults strike the forming of the group.
    if (m_random() % 2 == 0) {
      m_group.AwaitLeader();
      ProposeAt(m_group.Leader().value_or(0));
    }
    for (int step = 0; step < kSteps; ++step) {
      Act();
      m_group.scheduler.RunFor(milliseconds(m_random() % 250));
      m_group.ReapFailed();
    }
    Heal();
    CheckEnd();
  }

 private:
  std::size_t AnyVm() { return m_random() % m_group.vms.size(); }

  void Act() {
    const std::uint64_t dice = m_random() % 20;
    const std::size_t i = AnyVm();
    if (dice < 8) {
      ProposeAt(m_random() % 4 == 0 ? i : m_group.Leader().value_or(i));
    } else if (dice < 10) {
      ReadAt(m_group.Leader().value_or(i));
    } else if (dice == 10) {
      m_group.network.Cut(m_group.vms[i]->address,
                          m_group.vms[AnyVm()]->address);
    } else if (dice == 11) {
      m_group.Isolate(i);
    } else if (dice < 15) {
      m_group.network.HealAll();
    } else if (dice == 15) {
      m_group.Crash(i);
    } else if (dice == 16) {
      BreakDiskOf(i);
    } else if (dice < 19) {
      for (std::size_t vm = 0; vm < m_group.vms.size(); ++vm) m_group.Start(vm);
    } else {
      LoseDiskOf(i);
    }
  }

  void BreakDiskOf(std::size_t i) {
    using Fault = FakeStorage::Fault;
    const Fault faults[] = {Fault::kCrash, Fault::kCrash, Fault::kFailedSync,
                            Fault::kFullDisk};
    m_group.vms[i]->storage.FailAfter(m_random() % 12, faults[m_random() % 4]);
  }

  // A disk may be lost only while every voter is whole and something is
  // committed: then the group has repaired what was lost before, and its
  // founding is on more than one disk.
  void LoseDiskOf(std::size_t i) {
    if (!IsWhole()) return;
    ++m_coverage->disks_lost;
    ReplicaVm& vm = *m_group.vms[i];
    if (m_random() % 2 == 0) {
      m_group.Wipe(i);
      return;
    }
    m_group.Crash(i);
    vm.storage.FlipBit("state", m_random() % vm.storage.SizeOf("state"));
  }

  [[nodiscard]] bool IsWhole() const {
    const auto leader = m_group.Leader();
    if (!leader) return false;
    const ReplicaStatus status = m_group.vms[*leader]->node->Status();
    std::size_t in_term = 0;
    for (const auto& vm : m_group.vms) {
      if (!vm->node) return false;
      if (vm->node->Status().term == status.term) ++in_term;
    }
    return in_term == m_group.vms.size() && status.commit_index > 1 &&
           status.membership_committed &&
           std::ranges::all_of(
               status.membership.members, [this](const GroupMember& member) {
                 const ReplicaVm& vm = *m_group.VmAt(member.address);
                 return member.voter &&
                        vm.node->Status().identity.node_id == member.node_id;
               });
  }

  void ProposeAt(std::size_t i) {
    if (!m_group.vms[i]->node) return;
    const std::uint64_t dice = m_random() % 4;
    ControlCommand command = m_changes[m_random() % m_changes.size()];
    if (dice == 0) {
      ClaimCommand claim;
      claim.leader_unix_ms = 1000;
      claim.request_id = {1000 << 16, m_random() % 3};
      claim.owner = {"entry", m_random() % 9};
      command = claim;
    } else if (dice != 1) {
      m_changes.push_back(LimitsChange("c" + std::to_string(m_changes.size()),
                                       m_version, 1 + m_random() % 9));
      command = m_changes.back();
    }
    m_group.vms[i]->node->Propose(
        EncodeCommand(command),
        [this, command](const Result<std::string>& answer) {
          if (answer) Check(command, *answer);
        });
  }

  void Check(const ControlCommand& command, const std::string& bytes) {
    ControlResult result;
    ASSERT_TRUE(DecodeResult(bytes, &result));
    if (const auto* change = std::get_if<Change>(&command)) {
      const auto& answer = std::get<ChangeResult>(result);
      const auto first = m_answers.emplace(change->operation_id, answer).first;
      EXPECT_EQ(first->second, answer) << change->operation_id;
      m_version = std::max(m_version, answer.version);
      return;
    }
    if (std::get<ClaimResult>(result).status != ClaimStatus::kGranted) return;
    const auto& claim = std::get<ClaimCommand>(command);
    const auto first =
        m_owners.emplace(claim.request_id, claim.owner.arrival_id).first;
    EXPECT_EQ(first->second, claim.owner.arrival_id) << "two claims granted";
  }

  // What a read returns must hold all that was answered before it began.
  void ReadAt(std::size_t i) {
    if (!m_group.vms[i]->node) return;
    m_group.vms[i]->node->Read(
        [this, i, before = m_version](const Result<LogIndex>& read) {
          if (!read) return;
          ++m_coverage->reads_answered;
          EXPECT_GE(m_group.vms[i]->machine->Inner().Config().Config().version,
                    before);
        });
  }

  void Heal() {
    m_group.network.HealAll();
    m_group.network.loss_percent = 0;
    m_group.network.slow_percent = 0;
    m_group.network.double_percent = 0;
    for (const auto& vm : m_group.vms) {
      vm->storage.FailAfter(0, FakeStorage::Fault::kNone);
      if (vm->storage.Crashed()) vm->storage.Restart(&m_group.random);
    }
    m_group.ReapFailed();
    m_group.StartAll();
  }

  void CheckEnd() {
    ASSERT_TRUE(m_group.AwaitLeader())
        << "no leader after healing" << m_group.Describe();
    ASSERT_TRUE(m_group.AwaitAgreement())
        << "no agreement after healing" << m_group.Describe();
    std::size_t accepted = 0;
    for (const Change& change : m_changes) {
      const auto answer =
          m_group.Propose(*m_group.AwaitLeader(), ControlCommand(change));
      ASSERT_TRUE(answer) << answer.error().message;
      const auto& result = std::get<ChangeResult>(*answer);
      if (result.outcome == ChangeOutcome::kAccepted) ++accepted;
      if (result.outcome == ChangeOutcome::kVersionConflict) {
        ++m_coverage->conflicts;
      }
      const auto first = m_answers.find(change.operation_id);
      if (first == m_answers.end()) continue;
      EXPECT_EQ(first->second, result) << change.operation_id;
    }
    const auto& machine = m_group.vms[*m_group.Leader()]->machine->Inner();
    EXPECT_EQ(machine.Config().Config().version, accepted);
    m_coverage->accepted += accepted;
    for (const auto& vm : m_group.vms) Count(vm->node->Counters());
  }

  void Count(const CounterSet<ReplicationCounter>& counters) {
    using enum ReplicationCounter;
    m_coverage->members_replaced += counters.Get(kMembershipChanges);
    m_coverage->snapshots_installed += counters.Get(kSnapshotsInstalled);
    m_coverage->leaders_resigned += counters.Get(kSteppedDownWithoutQuorum);
  }

  Coverage* m_coverage;
  ReplicaGroup m_group;
  std::mt19937_64 m_random;
  std::vector<Change> m_changes;
  std::map<std::string, ChangeResult> m_answers;
  std::map<RequestId, std::uint64_t> m_owners;
  std::uint64_t m_version = 0;
};

class ReplicaScheduleTest : public testing::TestWithParam<std::uint64_t> {};

// The seeds of one part: CHICORYVALE_SCHEDULES schedules in all parts together
// (10,000 if it is not set), from the seed CHICORYVALE_FIRST_SEED (1).
TEST_P(ReplicaScheduleTest, RandomFaultsLoseAndDoubleNothing) {
  const char* schedules = std::getenv("CHICORYVALE_SCHEDULES");    // NOLINT
  const char* first_seed = std::getenv("CHICORYVALE_FIRST_SEED");  // NOLINT
  const std::uint64_t each =
      (schedules != nullptr ? std::stoull(schedules) : 10000) / 8;
  const std::uint64_t first =
      (first_seed != nullptr ? std::stoull(first_seed) : 1) + GetParam() * each;
  std::cout << "seeds " << first << " to " << first + each - 1 << '\n';
  Coverage coverage;
  for (std::uint64_t seed = first; seed < first + each; ++seed) {
    SCOPED_TRACE("seed " + std::to_string(seed));
    Schedule(seed, &coverage).Run();
    if (HasFailure()) return;
  }
  std::cout << coverage.accepted << " changes accepted, " << coverage.conflicts
            << " conflicts, " << coverage.disks_lost << " disks lost, "
            << coverage.members_replaced << " member changes, "
            << coverage.snapshots_installed << " snapshots installed, "
            << coverage.reads_answered << " reads, "
            << coverage.leaders_resigned << " resignations\n";
  EXPECT_GT(coverage.accepted, each);
  EXPECT_GT(coverage.conflicts, 0U);
  EXPECT_GT(coverage.disks_lost, 0U);
  EXPECT_GT(coverage.members_replaced, 0U);
  EXPECT_GT(coverage.snapshots_installed, 0U);
  EXPECT_GT(coverage.reads_answered, 0U);
  EXPECT_GT(coverage.leaders_resigned, 0U);
}

INSTANTIATE_TEST_SUITE_P(Parts, ReplicaScheduleTest,
                         testing::Range<std::uint64_t>(0, 8));

}  // namespace
}  // namespace chicoryvale
