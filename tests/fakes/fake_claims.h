#ifndef CHICORYVALE_TESTS_FAKES_FAKE_CLAIMS_H_
#define CHICORYVALE_TESTS_FAKES_FAKE_CLAIMS_H_

#include <cstdint>
#include <string>
#include <utility>

#include "claims/claim_table.h"
#include "ports/claim_port.h"
#include "ports/scheduler.h"

namespace chicoryvale {

/// How the next claims of a FakeClaims fare.
enum class FakeClaimFault : std::uint8_t {
  kNone,
  /// Refused without a commit.
  kNoQuorum,
  /// Committed, but the answer is an error.
  kAnswerLost,
  /// Committed, but the answer comes after two seconds.
  kLate,
  /// Never committed, never answered.
  kNeverAnswered,
};

/// Claims of one entry in a table that entries share, on virtual time.
class FakeClaims : public ClaimPort {
 public:
  FakeClaims(Scheduler* scheduler, ClaimTable* table, std::string entry_id)
      : m_scheduler(scheduler),
        m_table(table),
        m_entry_id(std::move(entry_id)) {}

  void SetFault(FakeClaimFault fault) { m_fault = fault; }

  /// Wall clock of the fake leader.
  static constexpr std::uint64_t kUnixMs = 1700000000000;

 protected:
  void OnClaim(const ClaimTicket& ticket, Duration /*timeout*/,
               Callback callback) override {
    if (m_fault == FakeClaimFault::kNeverAnswered) return;
    const bool late = m_fault == FakeClaimFault::kLate;
    const Duration delay = late ? Duration(seconds(2)) : milliseconds(2);
    Result<ClaimResult> result =
        MakeError(ErrorKind::kNoQuorum, "no quorum answers");
    if (m_fault != FakeClaimFault::kNoQuorum) {
      ClaimResult committed = Apply(ClaimAction::kClaim, ticket, "");
      if (m_fault != FakeClaimFault::kAnswerLost) result = committed;
    }
    m_scheduler->Schedule(
        delay, [callback = std::move(callback), result] { callback(result); });
  }

  void OnRelease(const ClaimTicket& ticket) override {
    Apply(ClaimAction::kRelease, ticket, "");
  }

  void OnRecordOutcome(const ClaimTicket& ticket,
                       std::string outcome) override {
    Apply(ClaimAction::kRecordOutcome, ticket, std::move(outcome));
  }

 private:
  ClaimResult Apply(ClaimAction action, const ClaimTicket& ticket,
                    std::string outcome) {
    ClaimCommand command;
    command.action = action;
    command.leader_unix_ms = kUnixMs;
    command.request_id = ticket.request_id;
    command.fingerprint = ticket.fingerprint;
    command.owner = {m_entry_id, ticket.arrival_id};
    command.outcome = std::move(outcome);
    return m_table->Apply(command);
  }

  Scheduler* m_scheduler;
  ClaimTable* m_table;
  std::string m_entry_id;
  FakeClaimFault m_fault = FakeClaimFault::kNone;
};

}  // namespace chicoryvale

#endif  // CHICORYVALE_TESTS_FAKES_FAKE_CLAIMS_H_
