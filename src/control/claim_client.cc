#include "control/claim_client.h"

#include <algorithm>
#include <cassert>
#include <utility>

#include "base/codec.h"
#include "control/claim_messages.h"

namespace chicoryvale {
namespace {

// Maximum time to wait for the answer of a control VM to one attempt.
constexpr Duration kAttemptTimeout = milliseconds(1000);

// Delay before a command is sent again after a failed attempt.
constexpr Duration kRetryDelay = milliseconds(50);

// Bounds the time to commit a release or an outcome, for which no caller waits.
// It equals the default retention of claims, which starts at the time of the
// request id, so the claim may be removed before this time has passed.
constexpr Duration kSettlementTimeout = std::chrono::minutes(30);

// Keeps an entry without a connection to the control VMs from collecting
// commands without bound. A release or outcome that is dropped leaves the claim
// in place, so resends are answered that the request may have run.
constexpr std::size_t kMaxPendingCommands = 65'536;

// Returns the counter of the reason for a retry after an error of `kind`.
ClaimClientCounter RetryCounterFor(ErrorKind kind) {
  switch (kind) {
    case ErrorKind::kNotLeader:
      return ClaimClientCounter::kRetriedNotLeader;
    case ErrorKind::kNoQuorum:
      return ClaimClientCounter::kRetriedNoQuorum;
    case ErrorKind::kUpstreamUnavailable:
      return ClaimClientCounter::kRetriedUnreachable;
    case ErrorKind::kDeadlineExceeded:
      return ClaimClientCounter::kRetriedTimedOut;
    default:
      return ClaimClientCounter::kRetriedOther;
  }
}

}  // namespace

ClaimClient::ClaimClient(ClaimClientOptions options)
    : m_options(std::move(options)) {
  assert(!m_options.control_addresses.empty());
}

ClaimClient::~ClaimClient() {
  for (const auto& [id, command] : m_commands) {
    m_options.scheduler->Cancel(command.retry_timer);
    m_options.scheduler->Cancel(command.deadline_timer);
  }
}

void ClaimClient::OnClaim(const ClaimTicket& ticket, Duration timeout,
                          Callback callback) {
  StartCommand(MakeCommand(ClaimAction::kClaim, ticket), timeout,
               std::move(callback));
}

void ClaimClient::OnRelease(const ClaimTicket& ticket) {
  StartCommand(MakeCommand(ClaimAction::kRelease, ticket), kSettlementTimeout,
               Callback());
}

void ClaimClient::OnRecordOutcome(const ClaimTicket& ticket,
                                  std::string outcome) {
  ClaimCommand command = MakeCommand(ClaimAction::kRecordOutcome, ticket);
  command.outcome = std::move(outcome);
  StartCommand(command, kSettlementTimeout, Callback());
}

ClaimCommand ClaimClient::MakeCommand(ClaimAction action,
                                      const ClaimTicket& ticket) const {
  ClaimCommand command;
  command.action = action;
  command.request_id = ticket.request_id;
  command.fingerprint = ticket.fingerprint;
  command.owner = {m_options.entry_id, ticket.arrival_id};
  return command;
}

void ClaimClient::StartCommand(const ClaimCommand& command, Duration timeout,
                               Callback callback) {
  m_counters.Add(ClaimClientCounter::kCommandsStarted);
  const CommandId id = ++m_last_command_id;
  PendingCommand& pending = m_commands[id];
  pending.bytes = EncodeClaim(command);
  pending.deadline = m_options.scheduler->Now() + timeout;
  pending.callback = std::move(callback);
  pending.deadline_timer =
      m_options.scheduler->Schedule(timeout, [this, id] { OnDeadline(id); });
  if (m_commands.size() > kMaxPendingCommands && !pending.callback) {
    return OnDeadline(id);
  }
  SendCommand(id);
}

void ClaimClient::SendCommand(CommandId id) {
  PendingCommand& pending = m_commands.at(id);
  pending.retry_timer = 0;
  const Duration time_left = pending.deadline - m_options.scheduler->Now();
  const std::size_t target = m_preferred_target;
  m_options.transport->Call(
      m_options.control_addresses[target], PeerChannel::kClaims, pending.bytes,
      std::min(kAttemptTimeout, time_left),
      [this, id, target](const Result<std::string>& answer) {
        OnAnswer(id, target, answer);
      });
}

void ClaimClient::OnAnswer(CommandId id, std::size_t target,
                           const Result<std::string>& answer) {
  if (!m_commands.contains(id)) return;
  if (!answer) return Retry(id, target, RetryCounterFor(answer.error().kind));
  ClaimReply reply;
  if (!Decode(*answer, &reply)) {
    return Retry(id, target, ClaimClientCounter::kRetriedOther);
  }
  if (!reply.has_result) {
    return Retry(id, target,
                 RetryCounterFor(static_cast<ErrorKind>(reply.error)));
  }
  Complete(id, std::move(reply.result));
}

void ClaimClient::Retry(CommandId id, std::size_t failed_target,
                        ClaimClientCounter reason) {
  m_counters.Add(reason);
  // When many commands fail at one VM, only the first one selects the next VM.
  if (m_preferred_target == failed_target) {
    m_preferred_target =
        (m_preferred_target + 1) % m_options.control_addresses.size();
  }
  m_commands.at(id).retry_timer = m_options.scheduler->Schedule(
      kRetryDelay, [this, id] { SendCommand(id); });
}

void ClaimClient::OnDeadline(CommandId id) {
  const bool has_waiter = static_cast<bool>(m_commands.at(id).callback);
  m_counters.Add(has_waiter ? ClaimClientCounter::kClaimsTimedOut
                            : ClaimClientCounter::kSettlementsGivenUp);
  Complete(id, MakeError(ErrorKind::kNoQuorum,
                         "no quorum of control VMs committed the claim in "
                         "time"));
}

void ClaimClient::Complete(CommandId id, Result<ClaimResult> result) {
  auto node = m_commands.extract(id);
  PendingCommand& pending = node.mapped();
  m_options.scheduler->Cancel(pending.retry_timer);
  m_options.scheduler->Cancel(pending.deadline_timer);
  if (result) m_counters.Add(ClaimClientCounter::kCommandsAnswered);
  if (pending.callback) pending.callback(std::move(result));
}

}  // namespace chicoryvale
