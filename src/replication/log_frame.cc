#include "replication/log_frame.h"

#include <algorithm>
#include <cassert>
#include <cstdint>
#include <cstring>
#include <limits>

#include "base/crc32c.h"

namespace chicoryvale {
namespace {

constexpr std::size_t kWordBytes = sizeof(std::uint32_t);
constexpr std::size_t kHeaderBytes = 3 * kWordBytes;

void AppendWord(std::uint32_t word, std::string* out) {
  std::string bytes(kWordBytes, '\0');
  std::memcpy(bytes.data(), &word, kWordBytes);
  out->append(bytes);
}

std::uint32_t ReadWord(std::string_view bytes, std::size_t word_index) {
  std::uint32_t value = 0;
  std::memcpy(&value, bytes.data() + word_index * kWordBytes, kWordBytes);
  return value;
}

bool IsAllZero(std::string_view bytes) {
  return std::ranges::all_of(bytes, [](char c) { return c == '\0'; });
}

}  // namespace

std::string EncodeFrame(std::string_view payload) {
  assert(payload.size() <= std::numeric_limits<std::uint32_t>::max());
  std::string frame;
  frame.reserve(kHeaderBytes + payload.size());
  AppendWord(static_cast<std::uint32_t>(payload.size()), &frame);
  AppendWord(Crc32c(payload), &frame);
  AppendWord(Crc32c(frame), &frame);
  frame.append(payload);
  return frame;
}

ParsedFrames ParseFrames(std::string_view content) {
  ParsedFrames parsed;
  std::string_view rest = content;
  while (!rest.empty()) {
    if (rest.size() < kHeaderBytes || IsAllZero(rest)) {
      parsed.tail = LogTail::kTorn;
      return parsed;
    }
    const std::string_view header = rest.substr(0, kHeaderBytes);
    if (Crc32c(header.substr(0, 2 * kWordBytes)) != ReadWord(header, 2)) {
      parsed.tail = LogTail::kDamaged;
      return parsed;
    }
    const std::size_t length = ReadWord(header, 0);
    if (rest.size() - kHeaderBytes < length) {
      parsed.tail = LogTail::kTorn;
      return parsed;
    }
    const std::string_view payload = rest.substr(kHeaderBytes, length);
    if (Crc32c(payload) != ReadWord(header, 1)) {
      parsed.tail = LogTail::kDamaged;
      return parsed;
    }
    parsed.payloads.push_back(payload);
    rest.remove_prefix(kHeaderBytes + length);
    parsed.valid_bytes = content.size() - rest.size();
  }
  return parsed;
}

}  // namespace chicoryvale
