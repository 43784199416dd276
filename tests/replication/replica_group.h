#ifndef CHICORYVALE_TESTS_REPLICATION_REPLICA_GROUP_H_
#define CHICORYVALE_TESTS_REPLICATION_REPLICA_GROUP_H_

#include <gtest/gtest.h>

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <utility>
#include <vector>

#include "base/hash.h"
#include "fakes/fake_replication_network.h"
#include "fakes/fake_scheduler.h"
#include "fakes/fake_storage.h"
#include "replication/control_state_machine.h"
#include "replication/replica_node.h"

namespace chicoryvale {

/// Checks that the replicas of a test group agree: at most one leader in each
/// term, and the same command and state at each index.
class AgreementChecker {
 public:
  /// Records that `node` is the leader of `term`, and checks that `term` has no
  /// other leader.
  void RecordLeader(Term term, NodeId node) {
    const auto [entry, added] = m_leaders.emplace(term, node);
    EXPECT_TRUE(added || entry->second == node) << "two leaders in " << term;
  }

  /// Records that a replica applied `command` at `index`, after which the hash
  /// of its state is `state_hash`. Checks that all replicas agree.
  void OnApply(LogIndex index, std::string_view command,
               std::uint64_t state_hash) {
    const std::pair applied(HashBytes(command), state_hash);
    const auto [entry, added] = m_applied.emplace(index, applied);
    EXPECT_TRUE(added || entry->second == applied) << "logs differ: " << index;
  }

  /// Checks that `state_hash` is the hash of the state of a replica that has
  /// applied the log up to `index`.
  void CheckState(LogIndex index, std::uint64_t state_hash) const {
    const auto after = m_applied.upper_bound(index);
    if (after == m_applied.begin()) return;
    EXPECT_EQ(std::prev(after)->second.second, state_hash)
        << "state at " << index;
  }

 private:
  std::map<Term, NodeId> m_leaders;
  std::map<LogIndex, std::pair<std::uint64_t, std::uint64_t>> m_applied;
};

/// A ControlStateMachine that reports each applied command to an
/// AgreementChecker.
class CheckedStateMachine : public StateMachine {
 public:
  explicit CheckedStateMachine(AgreementChecker* checker)
      : m_checker(checker) {}
  [[nodiscard]] const ControlStateMachine& Inner() const { return m_inner; }

 protected:
  std::string OnApply(LogIndex index, std::string_view command) override {
    std::string result = m_inner.Apply(index, command);
    m_checker->OnApply(index, command, m_inner.Hash());
    return result;
  }
  [[nodiscard]] std::string OnSnapshot() const override {
    return m_inner.Snapshot();
  }
  bool OnRestore(std::string_view bytes) override {
    return m_inner.Restore(bytes);
  }

 private:
  AgreementChecker* m_checker;
  ControlStateMachine m_inner;
};

/// One VM of a test group. Its disk outlives its process.
struct ReplicaVm {
  Address address;
  FakeStorage storage;
  std::unique_ptr<FakeReplicationTransport> transport;
  std::unique_ptr<CheckedStateMachine> machine;
  /// Null while the process is not running.
  std::unique_ptr<ReplicaNode> node;
};

/// Replicas on virtual time with fake disks and a fake network. Checks the
/// invariants of AgreementChecker throughout the run.
class ReplicaGroup {
 public:
  /// `spares` is the number of VMs in addition to the initial `members`.
  ReplicaGroup(std::size_t members, std::uint64_t seed, std::size_t spares = 0)
      : random(seed), network(&scheduler, seed ^ 0x5eed) {
    for (std::size_t i = 0; i < members + spares; ++i) {
      auto vm = std::make_unique<ReplicaVm>();
      vm->address = {"127.0.0." + std::to_string(i + 1) + ":7000"};
      if (i < members) options.initial_members.push_back(vm->address);
      vms.push_back(std::move(vm));
    }
    options.may_form_group = true;
    options.snapshot_threshold_entries = 12;
    options.trailing_entries = 4;
    options.replicator.snapshot_chunk_bytes = 512;
    options.replicator.max_append_bytes = 512;
    network.SetObserver([this](const std::string& bytes) { Observe(bytes); });
  }

  void StartAll() {
    for (std::size_t i = 0; i < vms.size(); ++i) Start(i);
  }

  /// Starts the process of VM `i` if it is not running. The process does not
  /// start if its disk fails.
  void Start(std::size_t i) {
    ReplicaVm& vm = *vms[i];
    if (vm.node) return;
    vm.transport =
        std::make_unique<FakeReplicationTransport>(&network, vm.address);
    vm.machine = std::make_unique<CheckedStateMachine>(&checker);
    ReplicaOptions vm_options = options;
    vm_options.address = vm.address;
    vm_options.seed = random();
    auto made = ReplicaNode::Make(
        vm_options,
        {&scheduler, &vm.storage, vm.transport.get(), vm.machine.get()});
    if (!made) {
      vm.storage.Restart(&random);
      return;
    }
    vm.node = std::move(*made);
    checker.CheckState(vm.node->Status().applied_index,
                       vm.machine->Inner().Hash());
  }

  /// Kills the process of VM `i`. Unsynced data may be lost.
  void Crash(std::size_t i) {
    vms[i]->node.reset();
    vms[i]->storage.Restart(&random);
  }

  /// Kills the process of VM `i` and loses its disk.
  void Wipe(std::size_t i) {
    vms[i]->node.reset();
    vms[i]->storage.Wipe();
  }

  /// Kills the processes whose disk has failed, as the control daemon does.
  void CrashFailedReplicas() {
    for (std::size_t i = 0; i < vms.size(); ++i) {
      const bool failed =
          vms[i]->node && vms[i]->node->Status().role == ReplicaRole::kFailed;
      if (failed) Crash(i);
    }
  }

  /// Cuts all links from and to VM `i`.
  void Isolate(std::size_t i) {
    for (const auto& vm : vms) {
      network.Cut(vms[i]->address, vm->address);
      network.Cut(vm->address, vms[i]->address);
    }
  }

  /// Returns the index of the running leader with the highest term, if any.
  [[nodiscard]] std::optional<std::size_t> Leader() const {
    std::optional<std::size_t> leader;
    Term term = 0;
    for (std::size_t i = 0; i < vms.size(); ++i) {
      if (!vms[i]->node) continue;
      const ReplicaStatus status = vms[i]->node->Status();
      if (status.role != ReplicaRole::kLeader || status.term < term) continue;
      leader = i;
      term = status.term;
    }
    return leader;
  }

  /// Runs until `done` returns true. Returns false if it does not within
  /// `limit`.
  bool RunUntil(const std::function<bool()>& done,
                Duration limit = seconds(60)) {
    const TimePoint end = scheduler.Now() + limit;
    while (!done()) {
      if (scheduler.Now() >= end) return false;
      scheduler.RunFor(milliseconds(20));
    }
    return true;
  }

  /// Runs until a leader completes a read, and returns the index of its VM.
  /// Returns nothing if there is no such leader within 60 seconds.
  std::optional<std::size_t> AwaitLeader() {
    auto confirmed = std::make_shared<std::optional<std::size_t>>();
    RunUntil([this, confirmed] {
      const auto leader = Leader();
      if (leader) {
        vms[*leader]->node->Read(
            [confirmed, leader](const Result<LogIndex>& read) {
              if (read) *confirmed = leader;
            });
      }
      return confirmed->has_value();
    });
    return *confirmed;
  }

  /// Proposes `command` at VM `i` and runs until its callback is called.
  Result<ControlResult> Propose(std::size_t i, const ControlCommand& command) {
    auto reply = std::make_shared<std::optional<Result<ControlResult>>>();
    vms[i]->node->Propose(
        EncodeCommand(command), ProposalEnd::kKnownToQuorum,
        [reply](const Result<std::string>& result) {
          if (!result) {
            reply->emplace(tl::unexpected<Error>(result.error()));
            return;
          }
          ControlResult decoded;
          EXPECT_TRUE(DecodeResult(*result, &decoded));
          reply->emplace(decoded);
        });
    RunUntil([reply] { return reply->has_value(); }, seconds(10));
    if (!reply->has_value()) return MakeError(ErrorKind::kInternal, "no reply");
    return **reply;
  }

  /// Runs until all members run, are voters, and have applied the whole log of
  /// the leader.
  bool AwaitAgreement() {
    return RunUntil([this] {
      const auto leader = Leader();
      if (!leader) return false;
      const auto& expected = *vms[*leader];
      const ReplicaStatus status = expected.node->Status();
      return status.applied_index == status.last_index &&
             std::ranges::all_of(status.membership.members,
                                 [&](const GroupMember& member) {
                                   const auto& vm = *VmAt(member.address);
                                   return vm.node && member.voter &&
                                          vm.node->Status().identity.node_id ==
                                              member.node_id &&
                                          vm.node->Status().applied_index ==
                                              status.applied_index &&
                                          vm.machine->Inner().Hash() ==
                                              expected.machine->Inner().Hash();
                                 });
    });
  }

  [[nodiscard]] const ReplicaVm* VmAt(const Address& address) const {
    const auto found = std::ranges::find(
        vms, address, [](const auto& vm) { return vm->address; });
    return found->get();
  }

  /// Returns a line for each VM, for failure messages.
  [[nodiscard]] std::string Describe() const {
    std::string text;
    for (const auto& vm : vms) {
      text += "\n" + vm->address.host_port;
      if (!vm->node) continue;
      const ReplicaStatus status = vm->node->Status();
      text += " " + std::string(ReplicaRoleName(status.role)) + " id " +
              std::to_string(status.identity.node_id % 1000) + " term " +
              std::to_string(status.term) + " log " +
              std::to_string(status.snapshot_index) + ".." +
              std::to_string(status.last_index) + " commit " +
              std::to_string(status.commit_index) + " members";
      for (const GroupMember& member : status.membership.members) {
        text += " " + std::to_string(member.node_id % 1000) +
                (member.voter ? "" : "?") + "@" + member.address.host_port;
      }
    }
    return text;
  }

  std::mt19937_64 random;
  FakeScheduler scheduler;
  FakeReplicationNetwork network;
  AgreementChecker checker;
  ReplicaOptions options;
  std::vector<std::unique_ptr<ReplicaVm>> vms;

 private:
  void Observe(const std::string& bytes) {
    Envelope envelope;
    ASSERT_TRUE(DecodeEnvelope(bytes, &envelope));
    const bool is_from_leader =
        std::holds_alternative<AppendRequest>(envelope.message) ||
        std::holds_alternative<SnapshotChunk>(envelope.message);
    if (is_from_leader) checker.RecordLeader(envelope.term, envelope.from);
  }
};

/// Returns a change of limits that is valid once PlacementChange is applied.
inline Change LimitsChange(const std::string& id, std::uint64_t version,
                           std::uint32_t slots) {
  return {id, version, "s", SetLimits{{slots, 9}}};
}

/// Returns the first change, which places the service of LimitsChange.
inline Change PlacementChange() {
  return {"place", 0, "s", SetPlacement{{{{{{"127.0.1.1:1"}, "a"}}}}, {}, 0}};
}

}  // namespace chicoryvale

#endif  // CHICORYVALE_TESTS_REPLICATION_REPLICA_GROUP_H_
