#include "control/claim_client.h"

#include <algorithm>
#include <cassert>
#include <utility>

#include "base/codec.h"
#include "control/claim_messages.h"

namespace chicoryvale {
namespace {

constexpr Duration kAttemptTimeout = milliseconds(1000);
constexpr Duration kRetryPause = milliseconds(50);

// A claim that nobody waits for is settled within the claims' retention.
constexpr Duration kSettlementTimeout = std::chrono::minutes(30);

// A failure to settle leaves the claim standing: resends are told that the
// request may have run. The bound keeps an entry that is cut off from
// collecting commands without end.
constexpr std::size_t kMaxPending = 65'536;

ClaimClientCounter ReasonOf(ErrorKind kind) {
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
  assert(!m_options.control.empty());
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

void ClaimClient::OnGiveBack(const ClaimTicket& ticket) {
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
  command.owner = {m_options.entry_id, ticket.attempt};
  return command;
}

void ClaimClient::StartCommand(const ClaimCommand& command, Duration timeout,
                               Callback callback) {
  m_counters.Add(ClaimClientCounter::kCommandsStarted);
  const CommandId id = ++m_last_id;
  PendingCommand& pending = m_commands[id];
  pending.bytes = EncodeClaim(command);
  pending.deadline = m_options.scheduler->Now() + timeout;
  pending.callback = std::move(callback);
  pending.deadline_timer =
      m_options.scheduler->Schedule(timeout, [this, id] { OnDeadline(id); });
  if (m_commands.size() > kMaxPending && !pending.callback) {
    return OnDeadline(id);
  }
  Try(id);
}

void ClaimClient::Try(CommandId id) {
  PendingCommand& pending = m_commands.at(id);
  pending.retry_timer = 0;
  const Duration left = pending.deadline - m_options.scheduler->Now();
  const std::size_t target = m_preferred;
  m_options.peers->Call(m_options.control[target], PeerChannel::kClaims,
                        pending.bytes, std::min(kAttemptTimeout, left),
                        [this, id, target](const Result<std::string>& answer) {
                          OnAnswer(id, target, answer);
                        });
}

void ClaimClient::OnAnswer(CommandId id, std::size_t target,
                           const Result<std::string>& answer) {
  if (!m_commands.contains(id)) return;
  if (!answer) return Retry(id, target, ReasonOf(answer.error().kind));
  ClaimReply reply;
  if (!Decode(*answer, &reply)) {
    return Retry(id, target, ClaimClientCounter::kRetriedOther);
  }
  if (!reply.has_result) {
    return Retry(id, target, ReasonOf(static_cast<ErrorKind>(reply.error)));
  }
  Complete(id, std::move(reply.result));
}

void ClaimClient::Retry(CommandId id, std::size_t failed_target,
                        ClaimClientCounter reason) {
  m_counters.Add(reason);
  // Of many commands that failed at one VM, the first moves the preference.
  if (m_preferred == failed_target) {
    m_preferred = (m_preferred + 1) % m_options.control.size();
  }
  m_commands.at(id).retry_timer =
      m_options.scheduler->Schedule(kRetryPause, [this, id] { Try(id); });
}

void ClaimClient::OnDeadline(CommandId id) {
  const bool awaited = static_cast<bool>(m_commands.at(id).callback);
  m_counters.Add(awaited ? ClaimClientCounter::kClaimsTimedOut
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
