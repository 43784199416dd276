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
  /// Names the entry and its run: differs after a restart. At most
  /// kMaxEntryIdBytes bytes.
  std::string entry_id;
  /// Differs for each arrival of a request at that run.
  std::uint64_t arrival_id = 0;
  bool operator==(const ClaimOwner&) const = default;

  template <class Archive>
  void serialize(Archive& archive) {  // NOLINT(readability-identifier-naming)
    archive(entry_id, arrival_id);
  }
};

/// Longest accepted entry id.
inline constexpr std::size_t kMaxEntryIdBytes = 64;

enum class ClaimAction : std::uint8_t {
  /// Takes the one right to dispatch the request.
  kClaim,
  /// Gives the right back: the owner has not dispatched and never will.
  kRelease,
  /// Records the outcome for resends.
  kRecordOutcome,
};

/// One replicated command about a request that may run at most once.
struct ClaimCommand {
  ClaimAction action = ClaimAction::kClaim;
  /// Wall clock of the leader that proposed the command, Unix milliseconds.
  std::uint64_t leader_unix_ms = 0;
  RequestId request_id;
  /// Hash of the request's workspace, method and body.
  std::uint64_t fingerprint = 0;
  ClaimOwner owner;
  /// kRecordOutcome: what a resend is answered with.
  std::string outcome;
  bool operator==(const ClaimCommand&) const = default;

  template <class Archive>
  void serialize(Archive& archive) {  // NOLINT(readability-identifier-naming)
    archive(action, leader_unix_ms, request_id, fingerprint, owner, outcome);
  }
};

/// How a claim command ended.
enum class ClaimStatus : std::uint8_t {
  /// kClaim: the owner may dispatch the request, once.
  kGranted,
  /// kRelease, kRecordOutcome: done, or was done before.
  kDone,
  /// Another arrival holds the claim; the request may have run.
  kClaimedByOther,
  /// The request ran; `outcome` holds its answer.
  kRecorded,
  /// The request ran; its answer was too large to keep.
  kRecordedWithoutOutcome,
  /// The id is older than the retention; whether it ran is not known here.
  kExpired,
  /// The id was used for a request with another fingerprint.
  kIdReused,
  /// The id lies too far in the leader's future, or the owner is malformed.
  kInvalid,
  /// The owner gave this claim back before.
  kReleased,
  /// kRelease, kRecordOutcome: the owner does not hold the claim.
  kNotOwner,
  /// The table holds its largest number of claims; the request did not run.
  kTableFull,
};

/// The answer to a claim command.
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

/// Returns the error that a caller gets for `status`, with whether its request
/// ran. Precondition: not kGranted, kDone or kRecorded. Thread safe.
Error ClaimError(ClaimStatus status);

/// Returns the bytes of `command`, equal for equal commands.
std::string EncodeClaim(const ClaimCommand& command);

/// Decodes the bytes of EncodeClaim; false if they are damaged.
bool DecodeClaim(std::string_view bytes, ClaimCommand* command);

}  // namespace chicoryvale

#endif  // CHICORYVALE_SRC_CLAIMS_CLAIM_COMMAND_H_
