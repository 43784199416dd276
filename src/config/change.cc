#include "config/change.h"

#include <array>

#include "config/change_codec.h"

namespace chicoryvale {
namespace {

constexpr std::array<std::string_view, 8> kKindNames = {
    "apply_schema",  "set_placement", "drain_replica",   "set_limits",
    "publish_index", "quarantine",    "replace_routing", "set_evacuation",
};
static_assert(kKindNames.size() == std::variant_size_v<ChangePayload>);

ErrorKind ErrorKindFor(ChangeOutcome outcome) {
  switch (outcome) {
    case ChangeOutcome::kVersionConflict:
      return ErrorKind::kVersionConflict;
    case ChangeOutcome::kOperationIdReused:
      return ErrorKind::kOperationIdReused;
    case ChangeOutcome::kInvalidChange:
      return ErrorKind::kInvalidChange;
    case ChangeOutcome::kAccepted:
      break;
  }
  return ErrorKind::kInternal;
}

}  // namespace

ChangeKind KindOf(const Change& change) {
  return static_cast<ChangeKind>(change.payload.index());
}

std::string_view ChangeKindName(ChangeKind kind) {
  return kKindNames[static_cast<std::size_t>(kind)];
}

Result<std::uint64_t> ToResult(const ChangeResult& result) {
  if (result.outcome == ChangeOutcome::kAccepted) return result.version;
  return MakeError(ErrorKindFor(result.outcome), result.message);
}

std::string EncodeChange(const Change& change) { return Encode(change); }

bool DecodeChange(std::string_view bytes, Change* change) {
  return Decode(bytes, change);
}

}  // namespace chicoryvale
