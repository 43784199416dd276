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

/// Dependencies and settings of a ConfigRecovery. The pointees outlive it.
struct RecoveryOptions {
  /// Addresses of control VMs, as listed in the settings. The other voters of
  /// the group are learned from their answers.
  std::vector<Address> control_addresses;
  Scheduler* scheduler = nullptr;
  PeerTransport* transport = nullptr;
  PeerGossip* gossip = nullptr;
  /// Maximum number of random members that are drawn in a round to get a
  /// request. In a larger group, asking more is not needed: the configuration
  /// spreads among the members, so those asked already have it.
  std::size_t peers_per_round = 64;
  /// Timeout of a request in the first round. Like the pause, it doubles with
  /// each round: when all processes restart, the control VMs are available
  /// after a short time, and requests that they missed are not answered.
  Duration first_request_timeout = milliseconds(250);
  Duration max_request_timeout = seconds(1);
  /// Delay between the end of the first round and the start of the next one.
  Duration first_round_pause = milliseconds(100);
  Duration max_round_pause = milliseconds(500);
};

/// The result of one round of version requests.
struct RecoveryRound {
  /// Whether more than half of the voters of the control group answered.
  bool has_quorum = false;
  /// Number of members and control VMs that answered.
  std::size_t answer_count = 0;
  /// The minimum version to reach. With a quorum it is at least the highest
  /// version that any voter in the quorum knows. Without one it is the
  /// highest version that any peer has.
  std::uint64_t min_version = 0;
};

/// Determines the version that a newly started process must have before it may
/// serve. A version is accepted only after a quorum of the voters has synced
/// it, so every quorum contains a voter that knows it. The voters themselves
/// tell who the voters are: the newest membership among the answers counts, and
/// a VM without it, for example one that has lost its disk, counts in no
/// quorum. Members change one at a time, so a quorum of an older membership has
/// a VM that knows the next one. Not thread safe: used only on the event loop.
class ConfigRecovery {
 public:
  using RoundCallback = std::function<void(const RecoveryRound& round)>;
  using SourceCallback =
      std::function<void(const Address& from, const ConfigDigest& digest)>;

  /// `on_source` is called for each answer, and `on_round` after each round and
  /// as soon as a quorum has answered.
  ConfigRecovery(RecoveryOptions options, SourceCallback on_source,
                 RoundCallback on_round);
  ~ConfigRecovery();
  ConfigRecovery(const ConfigRecovery&) = delete;
  ConfigRecovery& operator=(const ConfigRecovery&) = delete;

  /// Replaces the addresses of the control VMs, from the next round on.
  void SetControlAddresses(std::vector<Address> control_addresses) {
    m_options.control_addresses = std::move(control_addresses);
  }

  /// Starts the first round. Further rounds follow until Stop is called.
  void Start();

  /// Starts no further round. The result of an open round is not reported.
  void Stop();

 private:
  struct Round;

  void BeginRound();
  /// Requests the versions that `to` has and knows, once in a round.
  void Query(const Address& to, const std::shared_ptr<Round>& round);
  void OnAnswer(const Address& from, const std::string& bytes,
                const std::shared_ptr<Round>& round);
  void FinishRound(const Round& round);
  void ReportRound(const Round& round);

  RecoveryOptions m_options;
  SourceCallback m_on_source;
  RoundCallback m_on_round;
  TimerId m_timer = 0;
  std::uint32_t m_round_count = 0;
  bool m_running = false;
  /// Expires with this object, so that later callbacks do nothing.
  std::shared_ptr<int> m_alive = std::make_shared<int>(0);
};

}  // namespace chicoryvale

#endif  // CHICORYVALE_SRC_CONFIG_CONFIG_RECOVERY_H_
