#ifndef CHICORYVALE_SRC_CONFIG_FRESHNESS_CHECK_H_
#define CHICORYVALE_SRC_CONFIG_FRESHNESS_CHECK_H_

#include <array>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "base/counters.h"
#include "config/distribution_message.h"
#include "ports/config_freshness.h"
#include "ports/member_view.h"
#include "ports/peer_transport.h"
#include "ports/scheduler.h"

namespace chicoryvale {

/// Events of a FreshnessCheck.
enum class FreshnessCounter : std::uint8_t {
  kRounds,
  kRequests,
  kRequestsFailed,
  kConfirmed,
  kNotConfirmed,
};

template <>
struct CounterNames<FreshnessCounter> {
  static constexpr std::array<std::string_view, 5> kNames = {
      "config_freshness_rounds", "config_freshness_requests",
      "config_freshness_requests_failed", "config_freshness_confirmed",
      "config_freshness_not_confirmed"};
};

/// Dependencies and settings of a FreshnessCheck. The pointees outlive it.
struct FreshnessOptions {
  Scheduler* scheduler = nullptr;
  PeerTransport* transport = nullptr;
  const MemberView* members = nullptr;
  /// Control VMs named in the settings. Those among the members are asked too.
  std::vector<Address> control_addresses;
  std::uint64_t random_seed = 0;
  /// Time for which a confirmed version counts. A change is unknown to a
  /// refusal for that long at most, which has to be well below the time in
  /// which accepted changes are in force everywhere.
  Duration max_age = seconds(1);
  /// Time for which a caller waits for the confirmation, and for the
  /// configuration if this process is behind.
  Duration max_wait = milliseconds(300);
  /// Time without an answer after which another control VM is asked as well.
  Duration patience = milliseconds(60);
  Duration request_timeout = milliseconds(300);
  /// Time after which a round that failed is repeated if callers wait.
  Duration round_pause = milliseconds(50);
  std::size_t max_requests_per_round = 6;
  std::size_t max_waiting = 1024;
};

/// Confirms the configuration in force by the version that a leader of the
/// control group has confirmed with a quorum. One confirmation serves all
/// callers for a while, so control VMs get a request from each process and
/// `max_age` at most, and none while nothing is refused. Not thread safe: used
/// only on the event loop.
class FreshnessCheck : public ConfigFreshness {
 public:
  /// Receives the digest of a control VM that has answered.
  using SourceCallback =
      std::function<void(const Address& from, const ConfigDigest& digest)>;

  FreshnessCheck(FreshnessOptions options, SourceCallback on_source);
  ~FreshnessCheck() override;
  FreshnessCheck(const FreshnessCheck&) = delete;
  FreshnessCheck& operator=(const FreshnessCheck&) = delete;

  /// Records that `version` of the configuration is in force in this process.
  void OnApplied(std::uint64_t version);

  void SetControlAddresses(std::vector<Address> control_addresses) {
    m_options.control_addresses = std::move(control_addresses);
  }

  [[nodiscard]] const CounterSet<FreshnessCounter>& Counters() const {
    return m_counters;
  }

 protected:
  void OnConfirm(Callback callback) override;

 private:
  struct Waiting {
    TimePoint deadline{};
    Callback callback;
  };

  [[nodiscard]] bool HasRecentConfirmation() const;
  [[nodiscard]] bool IsCurrent() const;
  void BeginRound();
  void AskNext();
  void OnAnswer(std::uint64_t round, const Address& from,
                const Result<std::string>& bytes);
  void EndRound();
  [[nodiscard]] std::optional<Address> PickControl();
  void ArmDeadlineTimer();
  void ReleaseExpired();
  void ReleaseIfCurrent();

  FreshnessOptions m_options;
  SourceCallback m_on_source;
  std::mt19937_64 m_random;
  std::uint64_t m_applied_version = 0;
  /// Version that a leader has confirmed, and the start of that round.
  std::uint64_t m_confirmed_version = 0;
  std::optional<TimePoint> m_confirmed_at;
  std::deque<Waiting> m_waiting;
  TimerId m_deadline_timer = 0;
  /// Number of the current round; answers to earlier ones are ignored.
  std::uint64_t m_round = 0;
  bool m_round_open = false;
  TimePoint m_round_started_at{};
  std::set<Address> m_asked;
  std::size_t m_requests_open = 0;
  TimerId m_patience_timer = 0;
  TimerId m_round_timer = 0;
  CounterSet<FreshnessCounter> m_counters;
  /// Expires with this object, so that later callbacks do nothing.
  std::shared_ptr<int> m_alive = std::make_shared<int>(0);
};

}  // namespace chicoryvale

#endif  // CHICORYVALE_SRC_CONFIG_FRESHNESS_CHECK_H_
