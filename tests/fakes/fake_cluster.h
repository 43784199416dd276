#ifndef CHICORYVALE_TESTS_FAKES_FAKE_CLUSTER_H_
#define CHICORYVALE_TESTS_FAKES_FAKE_CLUSTER_H_

#include <algorithm>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "config/config_distributor.h"
#include "fakes/fake_group.h"

namespace chicoryvale {

/// Three control VMs and entries with their ConfigDistributor on a FakeGroup.
/// Nodes 0 to 2 are the control VMs.
class FakeCluster {
 public:
  static constexpr std::size_t kControls = 3;

  /// Called when a configuration comes into force at a node.
  using Observer = std::function<void(std::size_t node, std::uint64_t version)>;

  FakeCluster(std::size_t entries, std::size_t zones, std::uint64_t seed,
              std::uint32_t lease_groups = 1)
      : group(kControls + entries, zones, seed, kControls, lease_groups),
        m_seed(seed),
        m_distributors(kControls + entries) {
    for (std::size_t i = 0; i < group.size(); ++i) StartDistributor(i);
  }

  void Crash(std::size_t i) { group.Crash(i); }

  /// Starts a crashed node as a new process. A control VM offers again what
  /// its log holds.
  void Restart(std::size_t i) {
    m_distributors[i].reset();
    group.Restart(i);
    StartDistributor(i);
    if (i < kControls && m_config.version > 0) Offer(i);
  }

  /// Accepts a change and commits it at all control VMs but `except`.
  void Change(const std::function<void(ClusterConfig*)>& edit,
              std::size_t except = kControls) {
    edit(&m_config);
    ++m_config.version;
    for (std::size_t i = 0; i < kControls; ++i) {
      if (i != except) Offer(i);
    }
  }

  /// Offers the newest configuration at one control VM.
  bool Offer(std::size_t i) { return m_distributors[i]->Offer(m_config); }

  /// Returns whether all nodes outside `except` have `version` in force.
  [[nodiscard]] bool AllHave(
      std::uint64_t version,
      const std::vector<std::size_t>& except = {}) const {
    for (std::size_t i = 0; i < m_distributors.size(); ++i) {
      if (std::ranges::find(except, i) != except.end()) continue;
      const ClusterConfig* config = m_distributors[i]->config();
      if (config == nullptr || config->version != version) return false;
    }
    return true;
  }

  /// Returns the version in force at a node, 0 for none.
  [[nodiscard]] std::uint64_t Version(std::size_t i) const {
    const ClusterConfig* config = m_distributors[i]->config();
    return config == nullptr ? 0 : config->version;
  }

  ConfigDistributor& distributor(std::size_t i) { return *m_distributors[i]; }
  [[nodiscard]] const ClusterConfig& newest() const { return m_config; }

  FakeGroup group;
  Observer observer;

 private:
  void StartDistributor(std::size_t i) {
    GroupNode& node = group.node(i);
    DistributorOptions options;
    options.role = node.info.role;
    for (std::size_t c = 0; c < kControls; ++c) {
      options.recovery.control_addresses.push_back(group.node(c).info.address);
    }
    options.recovery.scheduler = node.scheduler.get();
    options.recovery.transport = node.calls.get();
    options.recovery.gossip = node.membership.get();
    options.random_seed = m_seed * 7919 + i;
    m_distributors[i] = std::move(*ConfigDistributor::Make(options));
    m_distributors[i]->SetListener(
        [this, i](const ClusterConfig& config, ConfigStatus) {
          if (observer) observer(i, config.version);
        });
    m_distributors[i]->Start();
  }

  std::uint64_t m_seed;
  ClusterConfig m_config;
  std::vector<std::unique_ptr<ConfigDistributor>> m_distributors;
};

}  // namespace chicoryvale

#endif  // CHICORYVALE_TESTS_FAKES_FAKE_CLUSTER_H_
