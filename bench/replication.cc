// Measures the cost of the control group: messages and bytes while idle and per
// committed change, processor time per commit, and size and processor time of
// snapshots at the target size of 18,000 replicas. Messages are calls of the
// peer transport and their answers. Frame headers and TCP are not counted.

#include <algorithm>
#include <cstdint>
#include <cstdio>
#include <ctime>
#include <iterator>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "fakes/fake_network.h"
#include "fakes/fake_scheduler.h"
#include "fakes/fake_storage.h"
#include "replication/control_state_machine.h"
#include "replication/peer_replication_transport.h"
#include "replication/replica_node.h"

namespace chicoryvale {
namespace {

constexpr char kService[] = "macchie.EyepieceDesk";
constexpr Duration kPeerCallTimeout = seconds(1);

double CpuSeconds() {
  return static_cast<double>(std::clock()) / CLOCKS_PER_SEC;
}

Change MakeLimitsChange(std::uint64_t version) {
  return {"operation-" + std::to_string(version), version, kService,
          SetLimits{{static_cast<std::uint32_t>(1 + version % 7), 9}}};
}

/// Returns shards with two replicas each, `replicas` in total.
std::vector<ShardConfig> MakeShards(std::size_t replicas) {
  std::vector<ShardConfig> shards(replicas / 2);
  for (std::size_t i = 0; i < replicas; ++i) {
    const std::string address = "10." + std::to_string(i / 65536) + "." +
                                std::to_string(i / 256 % 256) + "." +
                                std::to_string(i % 256) + ":9000";
    shards[i / 2].replicas.push_back({{address}, "zone-a", false});
  }
  return shards;
}

/// A control VM with its replica of the control group.
struct Vm {
  Vm(FakeNetwork* network, FakeScheduler* scheduler, const Address& self,
     const std::vector<Address>& members)
      : peers(network, self, scheduler), transport(&peers, kPeerCallTimeout) {
    ReplicaOptions options;
    options.address = self;
    options.initial_members = members;
    options.may_form_group = true;
    options.seed = std::hash<std::string>()(self.host_port);
    node = std::move(*ReplicaNode::Make(
        options, {scheduler, &storage, &transport, &machine}));
  }

  FakeStorage storage;
  FakePeerTransport peers;
  PeerReplicationTransport transport;
  ControlStateMachine machine;
  std::unique_ptr<ReplicaNode> node;
};

/// A control group on virtual time.
class Group {
 public:
  explicit Group(std::size_t members) {
    std::vector<Address> addresses(members);
    for (std::size_t i = 0; i < members; ++i) {
      addresses[i] = {"127.0.0." + std::to_string(i + 1) + ":7000"};
    }
    std::ranges::transform(addresses, std::back_inserter(m_vms),
                           [&](const Address& address) {
                             return std::make_unique<Vm>(
                                 &m_network, &m_scheduler, address, addresses);
                           });
    m_scheduler.RunFor(seconds(20));
    Propose({"place", 0, kService, SetPlacement{MakeShards(40), {}, 1}});
    m_scheduler.RunFor(seconds(1));
  }

  void Propose(const Change& change) {
    const auto leader = std::ranges::find_if(m_vms, [](const auto& vm) {
      return vm->node->Status().role == ReplicaRole::kLeader;
    });
    (*leader)->node->Propose(
        EncodeCommand(change), ProposalEnd::kKnownToQuorum,
        [this](const Result<std::string>& r) { m_committed += r ? 1 : 0; });
  }

  void RunFor(Duration duration) { m_scheduler.RunFor(duration); }

  [[nodiscard]] std::uint64_t Committed() const { return m_committed; }
  [[nodiscard]] double Messages() const {
    // Each call counts twice: the call and its answer.
    return 2.0 * static_cast<double>(m_network.calls);
  }
  [[nodiscard]] double Bytes() const {
    return static_cast<double>(m_network.call_bytes);
  }
  [[nodiscard]] double Syncs() const {
    std::uint64_t syncs = 0;
    for (const auto& vm : m_vms) syncs += vm->storage.Syncs();
    return static_cast<double>(syncs);
  }

 private:
  FakeScheduler m_scheduler;
  FakeNetwork m_network{&m_scheduler, 1};
  std::vector<std::unique_ptr<Vm>> m_vms;
  std::uint64_t m_committed = 0;
};

void MeasureGroup(std::size_t members) {
  constexpr std::uint64_t kIdleSeconds = 600;
  constexpr std::uint64_t kChanges = 2000;
  constexpr Duration kChangeInterval = milliseconds(100);
  Group group(members);
  const double followers = static_cast<double>(members - 1);
  const double idle_messages = group.Messages();
  const double idle_bytes = group.Bytes();
  group.RunFor(seconds(kIdleSeconds));
  const double message_rate = (group.Messages() - idle_messages) / kIdleSeconds;
  const double byte_rate = (group.Bytes() - idle_bytes) / kIdleSeconds;

  const double messages = group.Messages();
  const double bytes = group.Bytes();
  const double syncs = group.Syncs();
  const std::uint64_t committed = group.Committed();
  const double cpu_start_s = CpuSeconds();
  for (std::uint64_t i = 0; i < kChanges; ++i) {
    group.Propose(MakeLimitsChange(i + 1));
    group.RunFor(kChangeInterval);
  }
  const double cpu_s_per_change = (CpuSeconds() - cpu_start_s) / kChanges;
  const double duration_s = kChanges * ToSeconds(kChangeInterval);
  std::printf(
      "%7zu %12.1f %12.1f %12.1f %12.1f %12.2f %12.0f %12.2f %12.1f %9lu\n",
      members, message_rate, byte_rate, message_rate / followers,
      byte_rate / followers,
      (group.Messages() - messages - message_rate * duration_s) / kChanges,
      (group.Bytes() - bytes - byte_rate * duration_s) / kChanges,
      (group.Syncs() - syncs) / kChanges, cpu_s_per_change * 1e6,
      group.Committed() - committed);
}

void MeasureBatches(std::size_t members, std::uint64_t batch) {
  constexpr std::uint64_t kBatches = 200;
  Group group(members);
  const double messages = group.Messages();
  const double bytes = group.Bytes();
  const double syncs = group.Syncs();
  const double cpu_start_s = CpuSeconds();
  std::uint64_t version = 1;
  for (std::uint64_t i = 0; i < kBatches; ++i) {
    for (std::uint64_t j = 0; j < batch; ++j) {
      group.Propose(MakeLimitsChange(version++));
    }
    group.RunFor(milliseconds(20));
  }
  const auto changes = static_cast<double>(version - 1);
  std::printf(
      "%7zu %7lu %12.2f %12.0f %12.2f %12.1f %9lu\n", members, batch,
      (group.Messages() - messages) / changes,
      (group.Bytes() - bytes) / changes, (group.Syncs() - syncs) / changes,
      (CpuSeconds() - cpu_start_s) / changes * 1e6, group.Committed() - 1);
}

void MeasureSnapshot(std::size_t replicas, std::uint64_t operations) {
  ControlStateMachine machine;
  machine.Apply(
      1, EncodeCommand(Change{"place", 0, kService,
                              SetPlacement{MakeShards(replicas), {}, 1}}));
  double cpu_start_s = CpuSeconds();
  for (std::uint64_t i = 1; i < operations; ++i) {
    machine.Apply(i + 1, EncodeCommand(MakeLimitsChange(i)));
  }
  const double apply_s =
      (CpuSeconds() - cpu_start_s) / static_cast<double>(operations);
  cpu_start_s = CpuSeconds();
  const std::string snapshot = machine.Snapshot();
  const double encode_s = CpuSeconds() - cpu_start_s;
  cpu_start_s = CpuSeconds();
  ControlStateMachine restored;
  const bool equal =
      restored.Restore(snapshot) && restored.Hash() == machine.Hash();
  std::printf("%9zu %11lu %12zu %12.2f %12.2f %12.2f %6s\n", replicas,
              operations, snapshot.size(), apply_s * 1e6, encode_s * 1e3,
              (CpuSeconds() - cpu_start_s) * 1e3, equal ? "yes" : "no");
}

void RunBenchmark() {
  std::printf(
      "Idle, and one change at a time. The leader takes part in every "
      "message;\nprocessor time is of all members together and of the fake "
      "network.\n");
  std::printf("%7s %12s %12s %12s %12s %12s %12s %12s %12s %9s\n", "members",
              "leader msg/s", "leader B/s", "other msg/s", "other B/s",
              "msg/change", "B/change", "sync/change", "cpu us/chg", "commits");
  for (const std::size_t members : {3U, 5U, 7U}) MeasureGroup(members);
  std::printf("\nMany changes at once, heartbeats included.\n");
  std::printf("%7s %7s %12s %12s %12s %12s %9s\n", "members", "batch",
              "msg/change", "B/change", "sync/change", "cpu us/chg", "commits");
  for (const std::size_t members : {3U, 5U, 7U}) {
    MeasureBatches(members, 10);
    MeasureBatches(members, 100);
  }
  std::printf(
      "\nSnapshots: apply is for each change; restore includes a hash "
      "of both states.\n");
  std::printf("%9s %11s %12s %12s %12s %12s %6s\n", "replicas", "operations",
              "bytes", "apply us", "encode ms", "restore ms", "equal");
  MeasureSnapshot(1000, 1000);
  MeasureSnapshot(18000, 18000);
  MeasureSnapshot(18000, 65536);
}

}  // namespace
}  // namespace chicoryvale

int main() {
  chicoryvale::RunBenchmark();
  return 0;
}
