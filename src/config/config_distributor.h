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
#include "config/version_lag.h"
#include "ports/event_log.h"
#include "ports/member_view.h"
#include "ports/peer_gossip.h"
#include "ports/peer_transport.h"
#include "ports/scheduler.h"

namespace chicoryvale {

/// How reliable the configuration of a process is.
enum class ConfigStatus : std::uint8_t {
  /// No configuration is in force. Requests are refused with kNoConfiguration.
  kNone,
  /// The highest version among the reachable peers, because no quorum of
  /// control VMs could be reached.
  kUnconfirmed,
  /// On an entry: at least the minimum version of a recovery round in which a
  /// quorum of control VMs answered. On a control VM: a committed version.
  kConfirmed,
};

inline constexpr std::array<std::string_view, 3> kConfigStatusNames = {
    "none", "unconfirmed", "confirmed"};

/// Events of a ConfigDistributor.
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

/// Dependencies and settings of a ConfigDistributor. The pointees outlive it.
struct DistributorOptions {
  MemberRole role = MemberRole::kEntry;
  RecoveryOptions recovery;
  /// Availability zone of this process. Sources in this zone are preferred.
  std::string availability_zone;
  std::uint64_t random_seed = 0;
  /// Receives a line while this process is behind, and for each failed pull.
  /// May be null.
  EventLog* log = nullptr;
  Duration pull_timeout = seconds(2);
  /// Time without an answer after which another source is asked as well. Leaves
  /// time for a full configuration on a slow link, and for several silent
  /// sources within the time in which a change has to be in force.
  Duration pull_patience = milliseconds(400);
  /// Maximum number of sources that are asked at the same time.
  std::size_t max_pulls_in_flight = 4;
  /// Mean delay before a failed pull is retried.
  Duration retry_pause = milliseconds(100);
  std::size_t max_history_bytes = std::size_t{4} * 1024 * 1024;
  /// Size of the token bucket that limits the bytes sent to peers, and its
  /// refill rate.
  std::uint64_t serve_burst_bytes = std::uint64_t{8} * 1024 * 1024;
  std::uint64_t serve_bytes_per_second = std::uint64_t{2} * 1024 * 1024;
};

/// Stores the configuration with the highest version and distributes it among
/// the processes. Each process gossips the digest of its configuration. A
/// process with a lower version pulls the missing deltas, or the full
/// configuration, from a random peer that has a higher version. A peer in the
/// same availability zone is preferred, because traffic between zones is
/// expensive. Control VMs offer committed configurations and never pull.
/// Versions only increase. An entry has no configuration in force until it has
/// the version that ConfigRecovery requires. Source: Demers et al., "Epidemic
/// Algorithms for Replicated Database Maintenance", 1987. Not thread safe: used
/// only on the event loop.
class ConfigDistributor {
 public:
  using Listener =
      std::function<void(const ClusterConfig& config, ConfigStatus status)>;
  using KnownVersionCallback = std::function<std::uint64_t()>;
  using GroupViewCallback = std::function<ControlGroupView()>;
  /// Receives the newest committed version, or nothing if it is not confirmed.
  using VersionCallback =
      std::function<void(std::optional<std::uint64_t> version)>;
  /// Confirms the newest committed version. With `may_forward`, a process that
  /// is not the leader of the control group asks the leader.
  using ConfirmVersion =
      std::function<void(bool may_forward, VersionCallback callback)>;

  /// Returns kMalformedRequest if a pointer in `options` is null.
  static Result<std::unique_ptr<ConfigDistributor>> Make(
      DistributorOptions options);
  ~ConfigDistributor();
  ConfigDistributor(const ConfigDistributor&) = delete;
  ConfigDistributor& operator=(const ConfigDistributor&) = delete;

  /// Starts to serve peers. On an entry, also starts recovery and pulling.
  void Start();

  /// Replaces the control VMs from which an entry recovers.
  void SetControlAddresses(const std::vector<Address>& control_addresses) {
    m_recovery.SetControlAddresses(control_addresses);
  }

  /// Adopts a committed configuration on a control VM. Returns false, without
  /// effect, if its version is not higher than the current one.
  bool Offer(const ClusterConfig& config);

  /// Sets the function that returns the highest version in the log of a control
  /// VM, committed or not. Without it, the current version is reported to
  /// peers.
  void SetKnownVersionCallback(KnownVersionCallback callback);

  /// Sets the function that returns the control group as this control VM knows
  /// it. Without it, the VM counts in no quorum of a recovering entry.
  void SetGroupViewCallback(GroupViewCallback callback) {
    m_group_view_callback = std::move(callback);
  }

  /// Sets the function with which a control VM confirms the newest committed
  /// version for peers. Without it, such requests are refused.
  void SetConfirmVersion(ConfirmVersion confirm_version) {
    m_confirm_version = std::move(confirm_version);
  }

  /// Records that the peer `from` has the configuration of `digest`, as gossip
  /// does. Has no effect on a control VM.
  void OnDigest(const Address& from, const ConfigDigest& digest) {
    if (m_options.role != MemberRole::kControl) {
      RecordSource(from, false, digest);
    }
  }

  /// Sets the function that is called when a configuration comes into force,
  /// and when its status changes.
  void SetListener(Listener listener) { m_listener = std::move(listener); }

  /// Returns the configuration in force, or nullptr if there is none. The
  /// pointer is invalid after the next change.
  [[nodiscard]] const ClusterConfig* config() const {
    return m_status == ConfigStatus::kNone ? nullptr : &m_config;
  }
  [[nodiscard]] ConfigStatus status() const { return m_status; }
  [[nodiscard]] const ConfigDigest& digest() const { return m_digest; }
  [[nodiscard]] const CounterSet<DistributionCounter>& counters() const {
    return m_counters;
  }

  /// Returns the newer versions that this process has heard of.
  [[nodiscard]] const VersionLag& Lag() const { return m_lag; }

  /// Returns for how long this process has known of the oldest version that it
  /// lacks.
  [[nodiscard]] Duration BehindFor() const {
    return m_lag.BehindFor(m_scheduler->Now());
  }

 private:
  /// A peer that has a higher version.
  struct Source {
    ConfigDigest digest;
    /// Whether the peer is known to be in the availability zone of this
    /// process.
    bool in_same_zone = false;
  };

  /// A request for a newer version that has not been answered.
  struct Pull {
    TimePoint asked_at{};
    /// Version in force when it was sent.
    std::uint64_t version = 0;
  };

  explicit ConfigDistributor(DistributorOptions options);

  // Adopting configurations.
  void Adopt(ClusterConfig config, std::uint64_t hash);
  void NotifyListener();
  void SetStatus(ConfigStatus status);
  void OnRecoveryRound(const RecoveryRound& round);
  void FinishRecoveryIfReached();

  // Pulling from peers.
  void RecordSource(const Address& from, bool in_same_zone,
                    const ConfigDigest& digest);
  /// Returns a source that is not being asked, if there is one.
  [[nodiscard]] std::optional<Address> PickSource();
  /// Asks a source unless one is being asked that may still answer soon.
  void PullIfBehind();
  void StartPull(const Address& from);
  [[nodiscard]] bool IsAwaitingAnswer() const;
  void ArmPatienceTimer();
  void OnPullAnswer(const Address& from, const Result<std::string>& bytes);
  bool AdoptAnswer(DistributionAnswer answer);
  bool AdoptDeltas(std::vector<ConfigDelta> deltas);
  bool AdoptFull(const DistributionAnswer& answer);
  void ScheduleRetry();

  // Reporting that this process is behind.
  void ArmLagTimer(Duration delay);
  void ReportLag();
  void ReportCaughtUp(Duration behind_for);
  void LogFailedPull(const Address& from, const Pull& pull,
                     std::string_view reason);

  // Serving peers.
  void OnRequest(const std::string& bytes,
                 const PeerTransport::Responder& respond);
  void AnswerConfirmedVersion(bool may_forward,
                              const PeerTransport::Responder& respond);
  [[nodiscard]] DistributionAnswer AnswerPull(
      const ConfigDigest& requester_digest);
  /// Refills the budget and returns whether it is positive.
  bool HasServeBudget();
  void SpendServeBudget(std::size_t bytes);

  DistributorOptions m_options;
  Scheduler* m_scheduler;
  std::mt19937_64 m_random;
  ConfigRecovery m_recovery;
  std::optional<RecoveryRound> m_round;
  TimePoint m_started_at{};
  ClusterConfig m_config;
  ConfigDigest m_digest;
  ConfigStatus m_status = ConfigStatus::kNone;
  ConfigHistory m_history;
  KnownVersionCallback m_known_version_callback;
  GroupViewCallback m_group_view_callback;
  ConfirmVersion m_confirm_version;
  Listener m_listener;
  /// Peers whose last digest had a higher version.
  std::map<Address, Source> m_sources;
  /// The open pulls by the source that is asked.
  std::map<Address, Pull> m_pulls;
  TimerId m_patience_timer = 0;
  VersionLag m_lag;
  TimerId m_lag_timer = 0;
  /// Whether the log has a line on the present lag.
  bool m_lag_reported = false;
  bool m_request_full_config = false;
  TimerId m_retry_timer = 0;
  double m_serve_budget_bytes;
  TimePoint m_serve_budget_refilled_at{};
  CounterSet<DistributionCounter> m_counters;
  /// Expires with this object, so that later callbacks do nothing.
  std::shared_ptr<int> m_alive = std::make_shared<int>(0);
};

}  // namespace chicoryvale

#endif  // CHICORYVALE_SRC_CONFIG_CONFIG_DISTRIBUTOR_H_
