#ifndef CHICORYVALE_INCLUDE_CHICORYVALE_ERROR_H_
#define CHICORYVALE_INCLUDE_CHICORYVALE_ERROR_H_

#include <cstdint>
#include <span>
#include <string>
#include <string_view>
#include <tl/expected.hpp>

namespace chicoryvale {

/// Whether a refused or failed request ran on an upstream.
enum class Ran : std::uint8_t { kNo, kMaybe, kYes };

/// The closed list of error kinds that a caller or operator can receive.
enum class ErrorKind : std::uint8_t {
  kMalformedRequest,
  kRequestTooLarge,
  kUnknownEndpoint,
  kWrongMethod,
  kUnsupportedMediaType,
  kInvalidDeadline,
  kUnauthenticated,
  kNoConfiguration,
  kNoQuorum,
  kNotLeader,
  kVersionConflict,
  kOperationIdReused,
  kInvalidChange,
  kOverloaded,
  kWorkspaceOverShare,
  kQuarantined,
  kRequestIdMissing,
  kRequestIdExpired,
  kRequestIdReused,
  kAlreadyRan,
  kMayHaveRun,
  kInsufficientCoverage,
  kSnapshotUnavailable,
  kDeadlineExceeded,
  kUpstreamUnavailable,
  kShuttingDown,
  kStorageFailed,
  kInternal,
};

/// Fixed properties of an error kind: its name and how callers are answered.
struct ErrorProperties {
  ErrorKind kind;
  /// Stable name for JSON bodies and counters, for example "no_quorum".
  std::string_view name;
  int http_status;
  /// Whether the request ran, as far as the kind determines it. The Error of a
  /// request may be more specific.
  Ran ran;
  /// Whether the caller may send the same request again.
  bool retryable;
};

/// An error with its kind, a human-readable message, and whether the request
/// ran.
struct Error {
  ErrorKind kind = ErrorKind::kInternal;
  std::string message;
  Ran ran = Ran::kNo;
};

/// Either a value or an Error.
template <typename T>
using Result = tl::expected<T, Error>;

/// Returns the properties of all kinds, in the order of the enumeration. Thread
/// safe.
std::span<const ErrorProperties> AllErrorProperties();

/// Returns the properties of `kind`. Thread safe.
const ErrorProperties& PropertiesOf(ErrorKind kind);

/// Returns "no", "maybe" or "yes". Thread safe.
std::string_view RanName(Ran ran);

/// Returns an Error of `kind` with the `ran` of its ErrorProperties. Thread
/// safe.
tl::unexpected<Error> MakeError(ErrorKind kind, std::string message);

}  // namespace chicoryvale

#endif  // CHICORYVALE_INCLUDE_CHICORYVALE_ERROR_H_
