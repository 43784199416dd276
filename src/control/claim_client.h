#ifndef CHICORYVALE_SRC_CONTROL_CLAIM_CLIENT_H_
#define CHICORYVALE_SRC_CONTROL_CLAIM_CLIENT_H_

#include <array>
#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "base/counters.h"
#include "ports/claim_port.h"
#include "ports/peer_transport.h"
#include "ports/scheduler.h"

namespace chicoryvale {

/// Events of a ClaimClient.
enum class ClaimClientCounter : std::uint8_t {
  kCommandsStarted,
  kCommandsAnswered,
  kRetriedNotLeader,
  kRetriedNoQuorum,
  kRetriedUnreachable,
  kRetriedTimedOut,
  kRetriedOther,
  kClaimsTimedOut,
  kSettlementsGivenUp,
};

template <>
struct CounterNames<ClaimClientCounter> {
  static constexpr std::array<std::string_view, 9> kNames = {
      "commands_started",  "commands_answered",   "retried_not_leader",
      "retried_no_quorum", "retried_unreachable", "retried_timed_out",
      "retried_other",     "claims_timed_out",    "settlements_given_up",
  };
};

/// Dependencies and settings of a ClaimClient. The pointees must outlive it.
struct ClaimClientOptions {
  Scheduler* scheduler = nullptr;
  PeerTransport* transport = nullptr;
  /// Peer addresses of the control VMs; not empty.
  std::vector<Address> control_addresses;
  /// Unique for this entry and for this run of its process.
  std::string entry_id;
};

/// Sends claim commands to the control group: a command is tried at one control
/// VM after another until one of them commits it or its deadline passes.
/// Commands are idempotent, so one is retried safely when its answer was lost.
/// Not thread safe.
class ClaimClient : public ClaimPort {
 public:
  explicit ClaimClient(ClaimClientOptions options);
  ~ClaimClient() override;
  ClaimClient(const ClaimClient&) = delete;
  ClaimClient& operator=(const ClaimClient&) = delete;

  [[nodiscard]] const CounterSet<ClaimClientCounter>& Counters() const {
    return m_counters;
  }

  /// Returns the number of commands that are neither committed nor given up.
  [[nodiscard]] std::size_t Pending() const { return m_commands.size(); }

 protected:
  void OnClaim(const ClaimTicket& ticket, Duration timeout,
               Callback callback) override;
  void OnRelease(const ClaimTicket& ticket) override;
  void OnRecordOutcome(const ClaimTicket& ticket, std::string outcome) override;

 private:
  using CommandId = std::uint64_t;

  /// A command that is retried until its deadline.
  struct PendingCommand {
    std::string bytes;
    TimePoint deadline{};
    /// Empty for commands for whose result no caller waits.
    Callback callback;
    TimerId retry_timer = 0;
    TimerId deadline_timer = 0;
  };

  [[nodiscard]] ClaimCommand MakeCommand(ClaimAction action,
                                         const ClaimTicket& ticket) const;
  void StartCommand(const ClaimCommand& command, Duration timeout,
                    Callback callback);
  void SendCommand(CommandId id);
  void OnAnswer(CommandId id, std::size_t target,
                const Result<std::string>& answer);
  void Retry(CommandId id, std::size_t failed_target,
             ClaimClientCounter reason);
  void OnDeadline(CommandId id);
  void Complete(CommandId id, Result<ClaimResult> result);

  ClaimClientOptions m_options;
  CounterSet<ClaimClientCounter> m_counters;
  std::map<CommandId, PendingCommand> m_commands;
  CommandId m_last_command_id = 0;
  /// Index in `control_addresses` of the VM that gets the next attempt.
  std::size_t m_preferred_target = 0;
};

}  // namespace chicoryvale

#endif  // CHICORYVALE_SRC_CONTROL_CLAIM_CLIENT_H_
