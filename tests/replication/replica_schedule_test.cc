#include <gtest/gtest.h>

#include <cstdlib>
#include <iostream>

#include "replication/replica_group.h"

namespace chicoryvale {
namespace {

/// Events in all schedules of one partition. The test checks them to guard
/// against schedules in which nothing happens.
struct ScheduleTotals {
  std::uint64_t accepted = 0;
  std::uint64_t conflicts = 0;
  std::uint64_t disks_lost = 0;
  std::uint64_t membership_changes = 0;
  std::uint64_t snapshots_installed = 0;
  std::uint64_t reads_completed = 0;
  std::uint64_t leaders_stepped_down = 0;
};

/// One random schedule of faults in a group, with clients that send concurrent
/// changes, retries and claims. All faults are healed at the end.
class Schedule {
 public:
  Schedule(std::uint64_t seed, ScheduleTotals* totals)
      : m_totals(totals),
        m_group(seed % 5 == 0 ? 5 : 3, seed),
        m_random(seed * 31) {
    m_group.network.loss_percent = m_random() % 20;
    m_group.network.duplicate_percent = m_random() % 20;
    m_group.network.slow_percent = m_random() % 5;
  }

  void Run() {
    constexpr int kSteps = 80;
    m_group.StartAll();
    m_changes.push_back(PlacementChange());
    // In half of the schedules, faults already occur while the group forms.
    if (m_random() % 2 == 0) {
      m_group.AwaitLeader();
      ProposeAt(m_group.Leader().value_or(0));
    }
    for (int step = 0; step < kSteps; ++step) {
      RunRandomAction();
      m_group.scheduler.RunFor(milliseconds(m_random() % 250));
      m_group.CrashFailedReplicas();
    }
    HealFaults();
    CheckFinalState();
  }

 private:
  std::size_t AnyVm() { return m_random() % m_group.vms.size(); }

  void RunRandomAction() {
    const std::uint64_t choice = m_random() % 20;
    const std::size_t i = AnyVm();
    if (choice < 8) {
      ProposeAt(m_random() % 4 == 0 ? i : m_group.Leader().value_or(i));
    } else if (choice < 10) {
      ReadAt(m_group.Leader().value_or(i));
    } else if (choice == 10) {
      m_group.network.Cut(m_group.vms[i]->address,
                          m_group.vms[AnyVm()]->address);
    } else if (choice == 11) {
      m_group.Isolate(i);
    } else if (choice < 15) {
      m_group.network.HealAll();
    } else if (choice == 15) {
      m_group.Crash(i);
    } else if (choice == 16) {
      BreakDiskOf(i);
    } else if (choice < 19) {
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

  // A disk may be lost only while every voter is healthy and an entry is
  // committed. Then the group has repaired all earlier losses, and its initial
  // snapshot is on more than one disk.
  void LoseDiskOf(std::size_t i) {
    if (!HasOnlyHealthyVoters()) return;
    ++m_totals->disks_lost;
    ReplicaVm& vm = *m_group.vms[i];
    if (m_random() % 2 == 0) {
      m_group.Wipe(i);
      return;
    }
    m_group.Crash(i);
    vm.storage.FlipBit("state", m_random() % vm.storage.SizeOf("state"));
  }

  [[nodiscard]] bool HasOnlyHealthyVoters() const {
    const auto leader = m_group.Leader();
    if (!leader) return false;
    const ReplicaStatus status = m_group.vms[*leader]->node->Status();
    std::size_t replicas_in_term = 0;
    for (const auto& vm : m_group.vms) {
      if (!vm->node) return false;
      if (vm->node->Status().term == status.term) ++replicas_in_term;
    }
    return replicas_in_term == m_group.vms.size() && status.commit_index > 1 &&
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
    const std::uint64_t choice = m_random() % 4;
    ControlCommand command = m_changes[m_random() % m_changes.size()];
    if (choice == 0) {
      ClaimCommand claim;
      claim.leader_unix_ms = 1000;
      claim.request_id = {1000 << 16, m_random() % 3};
      claim.owner = {"entry", m_random() % 9};
      command = claim;
    } else if (choice != 1) {
      m_changes.push_back(LimitsChange("c" + std::to_string(m_changes.size()),
                                       m_version, 1 + m_random() % 9));
      command = m_changes.back();
    }
    m_group.vms[i]->node->Propose(
        EncodeCommand(command), ProposalEnd::kKnownToQuorum,
        [this, command](const Result<std::string>& reply) {
          if (reply) CheckResult(command, *reply);
        });
  }

  void CheckResult(const ControlCommand& command, const std::string& bytes) {
    ControlResult result;
    ASSERT_TRUE(DecodeResult(bytes, &result));
    if (const auto* change = std::get_if<Change>(&command)) {
      const auto& reply = std::get<ChangeResult>(result);
      const auto first = m_results.emplace(change->operation_id, reply).first;
      EXPECT_EQ(first->second, reply) << change->operation_id;
      m_version = std::max(m_version, reply.version);
      return;
    }
    if (std::get<ClaimResult>(result).status != ClaimStatus::kGranted) return;
    const auto& claim = std::get<ClaimCommand>(command);
    const auto first =
        m_claim_owners.emplace(claim.request_id, claim.owner.arrival_id).first;
    EXPECT_EQ(first->second, claim.owner.arrival_id) << "two claims granted";
  }

  // A read must return the changes whose results arrived before it started.
  void ReadAt(std::size_t i) {
    if (!m_group.vms[i]->node) return;
    m_group.vms[i]->node->Read(
        [this, i, min_version = m_version](const Result<LogIndex>& read) {
          if (!read) return;
          ++m_totals->reads_completed;
          EXPECT_GE(m_group.vms[i]->machine->Inner().Config().Config().version,
                    min_version);
        });
  }

  void HealFaults() {
    m_group.network.HealAll();
    m_group.network.loss_percent = 0;
    m_group.network.slow_percent = 0;
    m_group.network.duplicate_percent = 0;
    for (const auto& vm : m_group.vms) {
      vm->storage.FailAfter(0, FakeStorage::Fault::kNone);
      if (vm->storage.Crashed()) vm->storage.Restart(&m_group.random);
    }
    m_group.CrashFailedReplicas();
    m_group.StartAll();
  }

  void CheckFinalState() {
    ASSERT_TRUE(m_group.AwaitLeader())
        << "no leader after healing" << m_group.Describe();
    ASSERT_TRUE(m_group.AwaitAgreement())
        << "no agreement after healing" << m_group.Describe();
    std::size_t accepted = 0;
    for (const Change& change : m_changes) {
      const auto reply =
          m_group.Propose(*m_group.AwaitLeader(), ControlCommand(change));
      ASSERT_TRUE(reply) << reply.error().message;
      const auto& result = std::get<ChangeResult>(*reply);
      if (result.outcome == ChangeOutcome::kAccepted) ++accepted;
      if (result.outcome == ChangeOutcome::kVersionConflict) {
        ++m_totals->conflicts;
      }
      const auto first = m_results.find(change.operation_id);
      if (first == m_results.end()) continue;
      EXPECT_EQ(first->second, result) << change.operation_id;
    }
    const auto& machine = m_group.vms[*m_group.Leader()]->machine->Inner();
    EXPECT_EQ(machine.Config().Config().version, accepted);
    m_totals->accepted += accepted;
    for (const auto& vm : m_group.vms) AddCounters(vm->node->Counters());
  }

  void AddCounters(const CounterSet<ReplicationCounter>& counters) {
    using enum ReplicationCounter;
    m_totals->membership_changes += counters.Get(kMembershipChanges);
    m_totals->snapshots_installed += counters.Get(kSnapshotsInstalled);
    m_totals->leaders_stepped_down += counters.Get(kSteppedDownWithoutQuorum);
  }

  ScheduleTotals* m_totals;
  ReplicaGroup m_group;
  std::mt19937_64 m_random;
  std::vector<Change> m_changes;
  std::map<std::string, ChangeResult> m_results;
  std::map<RequestId, std::uint64_t> m_claim_owners;
  std::uint64_t m_version = 0;
};

class ReplicaScheduleTest : public testing::TestWithParam<std::uint64_t> {};

// Guards against changes and claims that random faults lose or apply twice.
// Runs one partition of the seeds. CHICORYVALE_SCHEDULES is the number of
// schedules in all partitions together (default 10,000), and
// CHICORYVALE_FIRST_SEED is the first seed (default 1).
TEST_P(ReplicaScheduleTest, RandomFaultsNeitherLoseNorDuplicateChanges) {
  const char* schedules = std::getenv("CHICORYVALE_SCHEDULES");    // NOLINT
  const char* first_seed = std::getenv("CHICORYVALE_FIRST_SEED");  // NOLINT
  const std::uint64_t schedules_per_partition =
      (schedules != nullptr ? std::stoull(schedules) : 10000) / 8;
  const std::uint64_t first =
      (first_seed != nullptr ? std::stoull(first_seed) : 1) +
      GetParam() * schedules_per_partition;
  std::cout << "seeds " << first << " to "
            << first + schedules_per_partition - 1 << '\n';
  ScheduleTotals totals;
  for (std::uint64_t seed = first; seed < first + schedules_per_partition;
       ++seed) {
    SCOPED_TRACE("seed " + std::to_string(seed));
    Schedule(seed, &totals).Run();
    if (HasFailure()) return;
  }
  std::cout << totals.accepted << " changes accepted, " << totals.conflicts
            << " conflicts, " << totals.disks_lost << " disks lost, "
            << totals.membership_changes << " member changes, "
            << totals.snapshots_installed << " snapshots installed, "
            << totals.reads_completed << " reads, "
            << totals.leaders_stepped_down << " resignations\n";
  EXPECT_GT(totals.accepted, schedules_per_partition);
  EXPECT_GT(totals.conflicts, 0U);
  EXPECT_GT(totals.disks_lost, 0U);
  EXPECT_GT(totals.membership_changes, 0U);
  EXPECT_GT(totals.snapshots_installed, 0U);
  EXPECT_GT(totals.reads_completed, 0U);
  EXPECT_GT(totals.leaders_stepped_down, 0U);
}

INSTANTIATE_TEST_SUITE_P(Partitions, ReplicaScheduleTest,
                         testing::Range<std::uint64_t>(0, 8));

}  // namespace
}  // namespace chicoryvale
