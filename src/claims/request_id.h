#ifndef CHICORYVALE_SRC_CLAIMS_REQUEST_ID_H_
#define CHICORYVALE_SRC_CLAIMS_REQUEST_ID_H_

#include <cstdint>
#include <optional>
#include <random>
#include <string>
#include <string_view>

namespace chicoryvale {

/// Time-ordered id of a caller's request that may run at most once. Its text
/// form has 32 hexadecimal digits: the first 12 are the Unix time in
/// milliseconds and the rest are random. A UUID of version 7 without its
/// hyphens has this form (RFC 9562, section 5.7).
struct RequestId {
  std::uint64_t high = 0;
  std::uint64_t low = 0;
  bool operator==(const RequestId&) const = default;
  /// Orders by time, then by the random part.
  bool operator<(const RequestId& other) const {
    return high != other.high ? high < other.high : low < other.low;
  }

  /// Returns the Unix time of the id in milliseconds.
  [[nodiscard]] std::uint64_t UnixMs() const;

  template <class Archive>
  void serialize(Archive& archive) {  // NOLINT(readability-identifier-naming)
    archive(high, low);
  }
};

/// Parses 32 hexadecimal digits in upper or lower case. Returns nullopt if
/// `text` has another form. Thread safe.
std::optional<RequestId> ParseRequestId(std::string_view text);

/// Returns the text form of `id` in lower case. Thread safe.
std::string FormatRequestId(const RequestId& id);

/// Returns a new id for the time `unix_ms`, which must be below 2^48.
RequestId MakeRequestId(std::uint64_t unix_ms, std::mt19937_64* random);

}  // namespace chicoryvale

#endif  // CHICORYVALE_SRC_CLAIMS_REQUEST_ID_H_
