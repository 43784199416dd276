#include "claims/claim_command.h"

#include <array>
#include <cassert>

#include "base/codec.h"

namespace chicoryvale {
namespace {

struct StatusRow {
  ClaimStatus status;
  std::string_view name;
  ErrorKind error;
};

constexpr std::array<StatusRow, 11> kStatusRows = {{
    {ClaimStatus::kGranted, "granted", ErrorKind::kInternal},
    {ClaimStatus::kDone, "done", ErrorKind::kInternal},
    {ClaimStatus::kClaimedByOther, "claimed_by_other", ErrorKind::kMayHaveRun},
    {ClaimStatus::kRecorded, "recorded", ErrorKind::kInternal},
    {ClaimStatus::kRecordedWithoutOutcome, "recorded_without_outcome",
     ErrorKind::kAlreadyRan},
    {ClaimStatus::kExpired, "expired", ErrorKind::kRequestIdExpired},
    {ClaimStatus::kIdReused, "id_reused", ErrorKind::kRequestIdReused},
    {ClaimStatus::kInvalid, "invalid", ErrorKind::kMalformedRequest},
    {ClaimStatus::kReleased, "released", ErrorKind::kUpstreamUnavailable},
    {ClaimStatus::kNotOwner, "not_owner", ErrorKind::kMayHaveRun},
    {ClaimStatus::kTableFull, "table_full", ErrorKind::kOverloaded},
}};

const StatusRow& FindRow(ClaimStatus status) {
  const StatusRow& row = kStatusRows[static_cast<std::size_t>(status)];
  assert(row.status == status);
  return row;
}

}  // namespace

std::string_view ClaimStatusName(ClaimStatus status) {
  return FindRow(status).name;
}

Error ClaimError(ClaimStatus status) {
  const StatusRow& row = FindRow(status);
  assert(row.error != ErrorKind::kInternal);
  return MakeError(row.error, "claim: " + std::string(row.name)).value();
}

std::string EncodeClaim(const ClaimCommand& command) { return Encode(command); }

bool DecodeClaim(std::string_view bytes, ClaimCommand* command) {
  return Decode(bytes, command) &&
         command->action <= ClaimAction::kRecordOutcome;
}

}  // namespace chicoryvale
