#ifndef CHICORYVALE_TESTS_FAKES_FAKE_CLAIMS_H_
#define CHICORYVALE_TESTS_FAKES_FAKE_CLAIMS_H_

#include <cstdint>
#include <string>
#include <utility>

#include "claims/claim_table.h"
#include "ports/claim_port.h"
#include "ports/scheduler.h"

namespace chicoryvale {

/// How the next claims of a FakeClaims fail.
enum class FakeClaimFailure : std::uint8_t {
  kNone,
  /// The claim is refused and not committed.
  kNoQuorum,
  /// The claim is committed, but the answer is an error.
  kAnswerLost,
  /// The claim is committed, but the answer arrives after two seconds.
  kAnsweredLate,
  /// The claim is neither committed nor answered.
  kNeverAnswered,
};

/// ClaimPort of one entry that applies commands to a ClaimTable which several
/// entries share. Answers arrive on the virtual time of the scheduler.
class FakeClaims : public ClaimPort {
 public:
  FakeClaims(Scheduler* scheduler, ClaimTable* table, std::string entry_id)
      : m_scheduler(scheduler),
        m_table(table),
        m_entry_id(std::move(entry_id)) {}

  /// Sets how claims fail from now on; kNone makes them succeed.
  void SetFailure(FakeClaimFailure failure) { m_failure = failure; }

  /// Wall-clock time of the simulated leader.
  static constexpr std::uint64_t kLeaderUnixMs = 1700000000000;

 protected:
  void OnClaim(const ClaimTicket& ticket, Duration /*timeout*/,
               Callback callback) override {
    if (m_failure == FakeClaimFailure::kNeverAnswered) return;
    const bool late = m_failure == FakeClaimFailure::kAnsweredLate;
    const Duration delay = late ? Duration(seconds(2)) : milliseconds(2);
    Result<ClaimResult> result =
        MakeError(ErrorKind::kNoQuorum, "no quorum answers");
    if (m_failure != FakeClaimFailure::kNoQuorum) {
      ClaimResult committed = Apply(ClaimAction::kClaim, ticket, "");
      if (m_failure != FakeClaimFailure::kAnswerLost) result = committed;
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
    command.leader_unix_ms = kLeaderUnixMs;
    command.request_id = ticket.request_id;
    command.fingerprint = ticket.fingerprint;
    command.owner = {m_entry_id, ticket.arrival_id};
    command.outcome = std::move(outcome);
    return m_table->Apply(command);
  }

  Scheduler* m_scheduler;
  ClaimTable* m_table;
  std::string m_entry_id;
  FakeClaimFailure m_failure = FakeClaimFailure::kNone;
};

}  // namespace chicoryvale

#endif  // CHICORYVALE_TESTS_FAKES_FAKE_CLAIMS_H_
