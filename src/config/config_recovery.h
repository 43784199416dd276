#ifndef CHICORYVALE_SRC_CONFIG_CONFIG_RECOVERY_H_
#define CHICORYVALE_SRC_CONFIG_CONFIG_RECOVERY_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <utility>
#include <vector>

#include "base/ids.h"
#include "base/time.h"
#include "config/distribution_message.h"
#include "ports/peer_gossip.h"
#include "ports/peer_transport.h"
#include "ports/scheduler.h"

namespace chicoryvale {

/// Settings of a ConfigRecovery. The pointers outlive it.
struct RecoveryOptions {
  /// All voters of the control group, as the settings name them.
  std::vector<Address> control_addresses;
  Scheduler* scheduler = nullptr;
  PeerTransport* transport = nullptr;
  PeerGossip* gossip = nullptr;
  /// Members asked in a round, besides the control VMs. In a larger group each
  /// of them already has what the others spread among themselves.
  std::size_t peers_per_round = 64;
  Duration request_timeout = seconds(1);
  Duration round_pause = milliseconds(500);
};

/// What one round of questions found.
struct RecoveryRound {
  /// More than half of the control VMs answered.
  bool quorum = false;
  /// Members and control VMs that answered.
  std::size_t answers = 0;
  /// The version to reach: with a quorum at least the highest that any control
  /// VM of it knows; without one the highest that any peer has.
  std::uint64_t target = 0;
};

/// Finds out which version a process that has just started must reach before
/// it may serve. A version is accepted only when a quorum has synced it, so
/// that each quorum contains a control VM that knows it.
/// Not thread safe: used only on the event loop.
class ConfigRecovery {
 public:
  using RoundCallback = std::function<void(const RecoveryRound& round)>;
  using SourceCallback =
      std::function<void(const Address& from, const ConfigDigest& have)>;

  /// `on_source` is called for each answer, `on_round` after each round.
  ConfigRecovery(RecoveryOptions options, SourceCallback on_source,
                 RoundCallback on_round);
  ~ConfigRecovery();
  ConfigRecovery(const ConfigRecovery&) = delete;
  ConfigRecovery& operator=(const ConfigRecovery&) = delete;

  /// Replaces the control VMs that are asked, from the next round on.
  void SetControlAddresses(std::vector<Address> control_addresses) {
    m_options.control_addresses = std::move(control_addresses);
  }

  /// Begins with the first round; rounds follow until Stop.
  void Start();
  void Stop();

 private:
  struct Round;

  void BeginRound();
  void Query(const Address& to, bool control,
             const std::shared_ptr<Round>& round);
  void OnAnswer(const Address& from, bool control, const std::string& bytes,
                Round* round);
  void FinishRound(const Round& round);

  RecoveryOptions m_options;
  SourceCallback m_on_source;
  RoundCallback m_on_round;
  TimerId m_timer = 0;
  bool m_running = false;
  /// Expires with this object, for answers that come later.
  std::shared_ptr<int> m_alive = std::make_shared<int>(0);
};

}  // namespace chicoryvale

#endif  // CHICORYVALE_SRC_CONFIG_CONFIG_RECOVERY_H_
