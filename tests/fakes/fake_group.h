#ifndef CHICORYVALE_TESTS_FAKES_FAKE_GROUP_H_
#define CHICORYVALE_TESTS_FAKES_FAKE_GROUP_H_

#include <algorithm>
#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include "fakes/fake_network.h"
#include "membership/membership.h"

namespace chicoryvale {

/// One node of a FakeGroup and the objects of its current process.
struct GroupNode {
  MemberInfo info;
  std::unique_ptr<FakeNodeScheduler> scheduler;
  std::unique_ptr<FakeDatagramTransport> datagrams;
  std::unique_ptr<FakePeerTransport> calls;
  std::unique_ptr<Membership> membership;
};

/// Runs one Membership per node on virtual time. Nodes are spread evenly over
/// the availability zones "a", "b" and so on. The first `control_count` nodes
/// have the control role; all nodes use the first three as seeds.
class FakeGroup {
 public:
  FakeGroup(std::size_t size, std::size_t zones, std::uint64_t seed,
            std::size_t control_count = 0, std::uint32_t lease_groups = 1)
      : m_network(&m_scheduler, seed),
        m_seed(seed),
        m_control_count(control_count),
        m_zones(zones),
        m_lease_groups(lease_groups),
        m_nodes(size) {
    for (std::size_t i = 0; i < size; ++i) Restart(i);
  }

  /// Starts node `i` as a new process with empty state and a new incarnation,
  /// also after a crash.
  void Restart(std::size_t i) {
    GroupNode& node = m_nodes[i];
    node.membership.reset();
    node.info = {.id = "n" + std::to_string(1000 + i),
                 .address = {"10.0.0." + std::to_string(i) + ":7000"},
                 .availability_zone =
                     std::string(1, static_cast<char>('a' + i % m_zones)),
                 .role = i < m_control_count ? MemberRole::kControl
                                             : MemberRole::kEntry};
    const Address& address = node.info.address;
    m_network.SetState(address, NodeState::kRunning);
    node.scheduler = std::make_unique<FakeNodeScheduler>(&m_network, address);
    node.datagrams =
        std::make_unique<FakeDatagramTransport>(&m_network, address);
    node.calls = std::make_unique<FakePeerTransport>(&m_network, address,
                                                     node.scheduler.get());
    MembershipOptions options;
    options.self = node.info;
    options.incarnation = ++m_start_count;
    for (std::size_t s = 0; s < std::min<std::size_t>(3, m_nodes.size()); ++s) {
      options.seeds.push_back({"10.0.0." + std::to_string(s) + ":7000"});
    }
    options.random_seed = m_seed * 1000003 + m_start_count;
    options.scheduler = node.scheduler.get();
    options.transport = node.datagrams.get();
    options.lease.groups_per_zone = m_lease_groups;
    node.membership = std::move(*Membership::Make(std::move(options)));
    node.membership->Start();
  }

  void Crash(std::size_t i) {
    m_network.SetState(m_nodes[i].info.address, NodeState::kCrashed);
  }

  /// Cuts or restores the link from `from` to `to`, in this direction only.
  void SetCut(std::size_t from, std::size_t to, bool cut) {
    m_network.SetCut(m_nodes[from].info.address, m_nodes[to].info.address, cut);
  }

  /// Cuts or restores all links between `zone` and the other zones, in both
  /// directions.
  void SetZoneCut(const std::string& zone, bool cut) {
    for (std::size_t i = 0; i < m_nodes.size(); ++i) {
      for (std::size_t j = 0; j < m_nodes.size(); ++j) {
        const bool in_i = m_nodes[i].info.availability_zone == zone;
        const bool in_j = m_nodes[j].info.availability_zone == zone;
        if (in_i != in_j) SetCut(i, j, cut);
      }
    }
  }

  /// Returns the state of node `j` in the member list of node `i`, or kLeft if
  /// it is not listed.
  [[nodiscard]] MemberState State(std::size_t i, std::size_t j) const {
    const Member* member = m_nodes[i].membership->Find(m_nodes[j].info.id);
    return member == nullptr ? MemberState::kLeft : member->state;
  }

  /// Returns whether all nodes that are not in `except` list node `j` with
  /// `state`.
  [[nodiscard]] bool AllBelieve(std::size_t j, MemberState state,
                                const std::vector<std::size_t>& except) const {
    for (std::size_t i = 0; i < m_nodes.size(); ++i) {
      if (std::ranges::find(except, i) != except.end()) continue;
      if (State(i, j) != state) return false;
    }
    return true;
  }

  /// Returns whether all nodes that are not in `except` list each other as
  /// alive.
  [[nodiscard]] bool AllAlive(
      const std::vector<std::size_t>& except = {}) const {
    for (std::size_t j = 0; j < m_nodes.size(); ++j) {
      if (std::ranges::find(except, j) != except.end()) continue;
      if (!AllBelieve(j, MemberState::kAlive, except)) return false;
    }
    return true;
  }

  /// Returns the sum of `counter` over all nodes.
  [[nodiscard]] std::uint64_t Sum(MembershipCounter counter) const {
    std::uint64_t sum = 0;
    for (const GroupNode& node : m_nodes) {
      sum += node.membership->counters().Get(counter);
    }
    return sum;
  }

  /// Runs until `done` returns true or `limit` has passed; returns the elapsed
  /// virtual time.
  Duration RunUntil(Duration limit, const std::function<bool()>& done) {
    constexpr Duration kStep = milliseconds(50);
    const TimePoint start = m_scheduler.Now();
    while (!done() && m_scheduler.Now() - start < limit) {
      m_scheduler.RunFor(kStep);
    }
    return m_scheduler.Now() - start;
  }

  GroupNode& node(std::size_t i) { return m_nodes[i]; }
  [[nodiscard]] std::size_t size() const { return m_nodes.size(); }
  FakeScheduler& scheduler() { return m_scheduler; }
  FakeNetwork& network() { return m_network; }

 private:
  FakeScheduler m_scheduler;
  FakeNetwork m_network;
  std::uint64_t m_seed;
  std::size_t m_control_count;
  std::size_t m_zones;
  std::uint32_t m_lease_groups;
  std::uint64_t m_start_count = 0;
  std::vector<GroupNode> m_nodes;
};

}  // namespace chicoryvale

#endif  // CHICORYVALE_TESTS_FAKES_FAKE_GROUP_H_
