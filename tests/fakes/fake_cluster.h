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
#include "fakes/recording_log.h"

namespace chicoryvale {

/// Runs a ConfigDistributor on each node of a FakeGroup. Nodes 0 to 2 are the
/// control VMs, all others are entries.
class FakeCluster {
 public:
  /// Number of control VMs.
  static constexpr std::size_t kControlCount = 3;

  /// Called when a node adopts a configuration.
  using Observer = std::function<void(std::size_t node, std::uint64_t version)>;

  FakeCluster(std::size_t entry_count, std::size_t zones, std::uint64_t seed,
              std::uint32_t lease_groups = 1)
      : group(kControlCount + entry_count, zones, seed, kControlCount,
              lease_groups),
        m_seed(seed),
        m_distributors(kControlCount + entry_count) {
    for (std::size_t i = 0; i < group.size(); ++i) StartDistributor(i);
  }

  void Crash(std::size_t i) { group.Crash(i); }

  /// Starts a crashed node as a new process. A control VM offers the newest
  /// configuration again, which it would read from its replicated log.
  void Restart(std::size_t i) {
    m_distributors[i].reset();
    group.Restart(i);
    StartDistributor(i);
    if (i < kControlCount && m_config.version > 0) Offer(i);
  }

  /// Edits the configuration, increments its version and offers the result at
  /// all control VMs except node `except`.
  void Change(const std::function<void(ClusterConfig*)>& edit,
              std::size_t except = kControlCount) {
    edit(&m_config);
    ++m_config.version;
    for (std::size_t i = 0; i < kControlCount; ++i) {
      if (i != except) Offer(i);
    }
  }

  /// Offers the newest configuration to the distributor of control VM `i` and
  /// returns its answer.
  bool Offer(std::size_t i) { return m_distributors[i]->Offer(m_config); }

  /// Returns whether all nodes that are not in `except` have adopted exactly
  /// `version`.
  [[nodiscard]] bool AllHaveVersion(
      std::uint64_t version,
      const std::vector<std::size_t>& except = {}) const {
    for (std::size_t i = 0; i < m_distributors.size(); ++i) {
      if (std::ranges::find(except, i) != except.end()) continue;
      const ClusterConfig* config = m_distributors[i]->config();
      if (config == nullptr || config->version != version) return false;
    }
    return true;
  }

  /// Returns the configuration version that node `i` has adopted, or 0 if it
  /// has none.
  [[nodiscard]] std::uint64_t Version(std::size_t i) const {
    const ClusterConfig* config = m_distributors[i]->config();
    return config == nullptr ? 0 : config->version;
  }

  ConfigDistributor& distributor(std::size_t i) { return *m_distributors[i]; }
  [[nodiscard]] const ClusterConfig& newest() const { return m_config; }

  FakeGroup group;
  Observer observer;
  /// Lines of the distributors of all nodes.
  RecordingLog log;

 private:
  void StartDistributor(std::size_t i) {
    GroupNode& node = group.node(i);
    DistributorOptions options;
    options.role = node.info.role;
    for (std::size_t c = 0; c < kControlCount; ++c) {
      options.recovery.control_addresses.push_back(group.node(c).info.address);
    }
    options.recovery.scheduler = node.scheduler.get();
    options.recovery.transport = node.calls.get();
    options.recovery.gossip = node.membership.get();
    options.random_seed = m_seed * 7919 + i;
    options.log = &log;
    ControlGroupView control_group{1, options.recovery.control_addresses, {}};
    m_distributors[i] = std::move(*ConfigDistributor::Make(options));
    if (i < kControlCount) {
      control_group.voter = node.info.address;
      m_distributors[i]->SetGroupViewCallback(
          [control_group] { return control_group; });
    }
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
