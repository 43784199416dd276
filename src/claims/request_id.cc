#include "claims/request_id.h"

#include <algorithm>
#include <cassert>
#include <charconv>

namespace chicoryvale {
namespace {

constexpr std::size_t kHexDigitsPerWord = 16;
constexpr int kRandomBitsInHigh = 16;
constexpr int kHexBase = 16;

std::optional<std::uint64_t> ParseWord(std::string_view digits) {
  std::uint64_t word = 0;
  const char* end = digits.data() + digits.size();
  const auto [rest, error] =
      std::from_chars(digits.data(), end, word, kHexBase);
  if (error != std::errc{} || rest != end) return std::nullopt;
  return word;
}

std::string FormatWord(std::uint64_t word) {
  std::string text(kHexDigitsPerWord, '0');
  std::ranges::generate(text.rbegin(), text.rend(), [&word] {
    const char digit = "0123456789abcdef"[word % kHexBase];
    word /= kHexBase;
    return digit;
  });
  return text;
}

}  // namespace

std::uint64_t RequestId::UnixMs() const { return high >> kRandomBitsInHigh; }

std::optional<RequestId> ParseRequestId(std::string_view text) {
  if (text.size() != 2 * kHexDigitsPerWord) return std::nullopt;
  const auto high = ParseWord(text.substr(0, kHexDigitsPerWord));
  const auto low = ParseWord(text.substr(kHexDigitsPerWord));
  if (!high || !low) return std::nullopt;
  return RequestId{*high, *low};
}

std::string FormatRequestId(const RequestId& id) {
  return FormatWord(id.high) + FormatWord(id.low);
}

RequestId MakeRequestId(std::uint64_t unix_ms, std::mt19937_64* random) {
  assert(random != nullptr && unix_ms >> 48 == 0);
  const std::uint64_t random_bits = (*random)() >> (64 - kRandomBitsInHigh);
  return {unix_ms << kRandomBitsInHigh | random_bits, (*random)()};
}

}  // namespace chicoryvale
