#ifndef CHICORYVALE_SRC_CLAIMS_CLAIM_COMMAND_H_
#define CHICORYVALE_SRC_CLAIMS_CLAIM_COMMAND_H_

#include <cstdint>
#include <string>
#include <string_view>

#include "chicoryvale/error.h"
#include "claims/request_id.h"

namespace chicoryvale {

/// Identifies one arrival of a request at one run of one entry process. Only
/// the arrival that owns the claim may dispatch the request.
struct ClaimOwner {
  /// Identifies the entry and its run, so it differs after a restart. At most
  /// kMaxEntryIdBytes long.
  std::string entry_id;
  /// Unique among the arrivals of requests at that run.
  std::uint64_t arrival_id = 0;
  bool operator==(const ClaimOwner&) const = default;

  template <class Archive>
  void serialize(Archive& archive) {  // NOLINT(readability-identifier-naming)
    archive(entry_id, arrival_id);
  }
};

/// Maximum length of an entry id.
inline constexpr std::size_t kMaxEntryIdBytes = 64;

enum class ClaimAction : std::uint8_t {
  /// Claims the exclusive right to dispatch the request.
  kClaim,
  /// Releases the claim: the owner has not dispatched the request and never
  /// will.
  kRelease,
  /// Records the outcome, with which resends are answered.
  kRecordOutcome,
};

/// A replicated command for a request that may run at most once.
struct ClaimCommand {
  ClaimAction action = ClaimAction::kClaim;
  /// Wall clock of the leader that proposed the command, Unix milliseconds.
  std::uint64_t leader_unix_ms = 0;
  RequestId request_id;
  /// Hash of the request's workspace, method and body.
  std::uint64_t fingerprint = 0;
  ClaimOwner owner;
  /// kRecordOutcome: the answer that a resend of the request gets.
  std::string outcome;
  bool operator==(const ClaimCommand&) const = default;

  template <class Archive>
  void serialize(Archive& archive) {  // NOLINT(readability-identifier-naming)
    archive(action, leader_unix_ms, request_id, fingerprint, owner, outcome);
  }
};

/// The status of an applied claim command.
enum class ClaimStatus : std::uint8_t {
  /// kClaim: the owner may dispatch the request, once.
  kGranted,
  /// kRelease, kRecordOutcome: the command was applied, now or before.
  kDone,
  /// Another arrival owns the claim; the request may have run.
  kClaimedByOther,
  /// The request ran; `outcome` is its answer.
  kRecorded,
  /// The request ran; its answer was not stored, because it was too large or
  /// because all stored answers together would have exceeded their limit.
  kRecordedWithoutOutcome,
  /// The request id is older than the retention period, so whether the request
  /// ran is unknown.
  kExpired,
  /// The request id was used before for a request with another fingerprint.
  kIdReused,
  /// The time of the request id is too far ahead of the leader's clock, or the
  /// owner is malformed.
  kInvalid,
  /// The owner released this claim before.
  kReleased,
  /// kRelease, kRecordOutcome: the sender does not own the claim, or the claim
  /// is no longer in a state that allows the action.
  kNotOwner,
  /// The table has its maximum number of claims; the request did not run.
  kTableFull,
};

/// The result of a claim command.
struct ClaimResult {
  ClaimStatus status = ClaimStatus::kInvalid;
  /// kRecorded: the recorded outcome.
  std::string outcome;
  bool operator==(const ClaimResult&) const = default;

  template <class Archive>
  void serialize(Archive& archive) {  // NOLINT(readability-identifier-naming)
    archive(status, outcome);
  }
};

/// Returns the name of `status`, for example "granted". Thread safe.
std::string_view ClaimStatusName(ClaimStatus status);

/// Returns the error that a caller gets for `status`; it also tells whether the
/// request ran. Precondition: `status` is not kGranted, kDone or kRecorded.
/// Thread safe.
Error ClaimError(ClaimStatus status);

/// Returns the serialized form of `command`, which is equal for equal commands.
std::string EncodeClaim(const ClaimCommand& command);

/// Decodes the result of EncodeClaim into `*command`. Returns false if `bytes`
/// are damaged.
bool DecodeClaim(std::string_view bytes, ClaimCommand* command);

}  // namespace chicoryvale

#endif  // CHICORYVALE_SRC_CLAIMS_CLAIM_COMMAND_H_
