#ifndef CHICORYVALE_SRC_CONFIG_CONFIG_DISTRIBUTOR_H_
#define CHICORYVALE_SRC_CONFIG_CONFIG_DISTRIBUTOR_H_

#include <array>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <string_view>
#include <vector>

#include "base/counters.h"
#include "chicoryvale/error.h"
#include "config/cluster_config.h"
#include "config/config_history.h"
#include "config/config_recovery.h"
#include "config/distribution_message.h"
#include "ports/member_view.h"
#include "ports/peer_gossip.h"
#include "ports/peer_transport.h"
#include "ports/scheduler.h"

namespace chicoryvale {

/// How far a process may rely on its configuration.
enum class ConfigStatus : std::uint8_t {
  /// None is in force; requests are refused with kNoConfiguration.
  kNone,
  /// The highest among the peers that can be reached; no control quorum was.
  kUnconfirmed,
  /// Once at least what a control quorum knew.
  kConfirmed,
};

inline constexpr std::array<std::string_view, 3> kConfigStatusNames = {
    "none", "unconfirmed", "confirmed"};

enum class DistributionCounter : std::uint8_t {
  kAdopted,
  kAdoptedFullConfig,
  kRefusedOlder,
  kRefusedDamaged,
  kConflictingHash,
  kPulls,
  kPullsFailed,
  kPullsBusy,
  kServedDeltas,
  kServedFullConfig,
  kServedBytes,
  kServesRefused,
  kMalformedRequests,
};

template <>
struct CounterNames<DistributionCounter> {
  static constexpr std::array<std::string_view, 13> kNames = {
      "config_adopted",
      "config_adopted_whole",
      "config_refused_older",
      "config_refused_damaged",
      "config_conflicting_hash",
      "config_pulls",
      "config_pulls_failed",
      "config_pulls_busy",
      "config_served_steps",
      "config_served_whole",
      "config_served_bytes",
      "config_serves_refused",
      "config_malformed_requests",
  };
};

/// Settings of a ConfigDistributor. The pointers outlive it.
struct DistributorOptions {
  MemberRole role = MemberRole::kEntry;
  RecoveryOptions recovery;
  /// Of this process: sources in it are preferred.
  std::string availability_zone;
  std::uint64_t random_seed = 0;
  Duration pull_timeout = seconds(2);
  /// Mean pause after a pull that failed.
  Duration retry_pause = milliseconds(100);
  std::size_t max_history_bytes = std::size_t{4} * 1024 * 1024;
  /// Bytes served at once, and refilled in each second.
  std::uint64_t serve_burst_bytes = std::uint64_t{8} * 1024 * 1024;
  std::uint64_t serve_bytes_per_second = std::uint64_t{2} * 1024 * 1024;
};

/// Keeps the highest configuration and spreads it: each process gossips the
/// digest of what it has; one that lacks it pulls the steps, or the whole, from
/// a random peer that has it, of the own availability zone if there is one,
/// since bytes between zones are dear. Control VMs only offer what is committed
/// and pull nothing. Versions only rise. An entry has no configuration in force
/// until ConfigRecovery says which version it must reach and it has reached it.
/// Source: Demers et al., "Epidemic Algorithms for Replicated Database
/// Maintenance", 1987. Not thread safe: used only on the event loop.
class ConfigDistributor {
 public:
  using Listener =
      std::function<void(const ClusterConfig& config, ConfigStatus status)>;
  using KnownVersionCallback = std::function<std::uint64_t()>;

  /// kMalformedRequest for bad options.
  static Result<std::unique_ptr<ConfigDistributor>> Make(
      DistributorOptions options);
  ~ConfigDistributor();
  ConfigDistributor(const ConfigDistributor&) = delete;
  ConfigDistributor& operator=(const ConfigDistributor&) = delete;

  /// Begins to serve peers and, as an entry, to recover and to pull.
  void Start();

  /// Replaces the control VMs that are asked after a start.
  void SetControlAddresses(const std::vector<Address>& control_addresses) {
    m_recovery.SetControlAddresses(control_addresses);
  }

  /// Takes a committed configuration, at a control VM. False, without effect,
  /// if its version is not higher than the present one.
  bool Offer(const ClusterConfig& config);

  /// Sets what a control VM answers as the highest version in its log,
  /// committed or not. Without it, the present version is answered.
  void SetKnownVersionCallback(KnownVersionCallback known);

  /// Sets the function called when a configuration comes into force, and when
  /// its status changes.
  void SetListener(Listener listener) { m_listener = std::move(listener); }

  /// Returns the configuration in force, or nullptr. Invalid after the next
  /// change.
  [[nodiscard]] const ClusterConfig* config() const {
    return m_status == ConfigStatus::kNone ? nullptr : &m_config;
  }
  [[nodiscard]] ConfigStatus status() const { return m_status; }
  [[nodiscard]] const ConfigDigest& digest() const { return m_digest; }
  [[nodiscard]] const CounterSet<DistributionCounter>& counters() const {
    return m_counters;
  }

 private:
  /// A process that has a higher version.
  struct Source {
    ConfigDigest digest;
    /// It is in the own availability zone, as far as is known.
    bool near = false;
  };

  explicit ConfigDistributor(DistributorOptions options);

  // Adopting.
  void Adopt(ClusterConfig config, std::uint64_t hash);
  void Announce();
  void SetStatus(ConfigStatus status);
  void OnRecoveryRound(const RecoveryRound& round);
  void FinishRecovery();

  // Pulling.
  void NoteSource(const Address& from, bool near, const ConfigDigest& digest);
  [[nodiscard]] Address PickSource();
  void PullIfBehind();
  void OnPulled(const Address& from, const Result<std::string>& bytes);
  bool AdoptAnswer(const DistributionAnswer& answer);
  bool AdoptSteps(const std::vector<ConfigDelta>& steps);
  bool AdoptWhole(const DistributionAnswer& answer);
  void RetryLater();

  // Serving.
  void OnRequest(const std::string& bytes,
                 const PeerTransport::Responder& respond);
  [[nodiscard]] DistributionAnswer AnswerPull(const ConfigDigest& have);
  bool HasServeBudget();
  void TakeServeBudget(std::size_t bytes);

  DistributorOptions m_options;
  Scheduler* m_scheduler;
  std::mt19937_64 m_random;
  ConfigRecovery m_recovery;
  std::optional<RecoveryRound> m_round;
  std::size_t m_rounds = 0;
  ClusterConfig m_config;
  ConfigDigest m_digest;
  ConfigStatus m_status = ConfigStatus::kNone;
  ConfigHistory m_history;
  KnownVersionCallback m_known_version;
  Listener m_listener;
  /// Peers that had a higher version when last heard.
  std::map<Address, Source> m_sources;
  bool m_pulling = false;
  bool m_ask_for_whole = false;
  TimerId m_retry_timer = 0;
  double m_serve_budget_bytes;
  TimePoint m_serve_refilled{};
  CounterSet<DistributionCounter> m_counters;
  std::shared_ptr<int> m_alive = std::make_shared<int>(0);
};

}  // namespace chicoryvale

#endif  // CHICORYVALE_SRC_CONFIG_CONFIG_DISTRIBUTOR_H_
