#include "chicoryvale/error.h"

#include <array>
#include <cassert>
#include <utility>

namespace chicoryvale {
namespace {

using enum ErrorKind;

// The properties of each kind, in the order of ErrorKind.
constexpr std::array<ErrorProperties, 28> kAnswers = {{
    {kMalformedRequest, "malformed_request", 400, Ran::kNo, false},
    {kRequestTooLarge, "request_too_large", 413, Ran::kNo, false},
    {kUnknownEndpoint, "unknown_endpoint", 404, Ran::kNo, false},
    {kWrongMethod, "wrong_method", 405, Ran::kNo, false},
    {kUnsupportedMediaType, "unsupported_media_type", 415, Ran::kNo, false},
    {kInvalidDeadline, "invalid_deadline", 400, Ran::kNo, false},
    {kUnauthenticated, "unauthenticated", 401, Ran::kNo, false},
    {kNoConfiguration, "no_configuration", 503, Ran::kNo, true},
    {kNoQuorum, "no_quorum", 503, Ran::kNo, true},
    {kNotLeader, "not_leader", 503, Ran::kNo, true},
    {kVersionConflict, "version_conflict", 409, Ran::kNo, false},
    {kOperationIdReused, "operation_id_reused", 409, Ran::kNo, false},
    {kInvalidChange, "invalid_change", 422, Ran::kNo, false},
    {kOverloaded, "overloaded", 503, Ran::kNo, true},
    {kWorkspaceOverShare, "workspace_over_share", 429, Ran::kNo, true},
    {kQuarantined, "quarantined", 422, Ran::kNo, false},
    {kRequestIdMissing, "request_id_missing", 400, Ran::kNo, false},
    {kRequestIdExpired, "request_id_expired", 410, Ran::kNo, false},
    {kRequestIdReused, "request_id_reused", 409, Ran::kNo, false},
    {kAlreadyRan, "already_ran", 409, Ran::kYes, false},
    {kMayHaveRun, "may_have_run", 502, Ran::kMaybe, false},
    {kInsufficientCoverage, "insufficient_coverage", 504, Ran::kMaybe, true},
    {kSnapshotUnavailable, "snapshot_unavailable", 503, Ran::kMaybe, true},
    {kDeadlineExceeded, "deadline_exceeded", 504, Ran::kMaybe, true},
    {kUpstreamUnavailable, "upstream_unavailable", 503, Ran::kNo, true},
    {kShuttingDown, "shutting_down", 503, Ran::kNo, true},
    {kStorageFailed, "storage_failed", 500, Ran::kMaybe, false},
    {kInternal, "internal", 500, Ran::kMaybe, false},
}};

}  // namespace

std::span<const ErrorProperties> AllErrorProperties() { return kAnswers; }

const ErrorProperties& PropertiesOf(ErrorKind kind) {
  const auto index = static_cast<std::size_t>(kind);
  assert(index < kAnswers.size() && kAnswers[index].kind == kind);
  return kAnswers[index];
}

std::string_view RanName(Ran ran) {
  constexpr std::array<std::string_view, 3> kNames = {"no", "maybe", "yes"};
  return kNames[static_cast<std::size_t>(ran)];
}

tl::unexpected<Error> MakeError(ErrorKind kind, std::string message) {
  return tl::unexpected<Error>(
      Error{kind, std::move(message), PropertiesOf(kind).ran});
}

}  // namespace chicoryvale
