#ifndef CHICORYVALE_SRC_REPLICATION_LOG_FRAME_H_
#define CHICORYVALE_SRC_REPLICATION_LOG_FRAME_H_

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

namespace chicoryvale {

// A log file is a sequence of frames: length, checksum of the payload, checksum
// of these two, payload. Each sync writes one frame, and the next frame is
// written only after it; so an unfinished write can only stand at the end.

/// How the bytes after the last valid frame are judged.
enum class LogTail : std::uint8_t {
  /// There are none.
  kClean,
  /// The file ends within a frame, or zeros stand in the place of one: the last
  /// write did not finish, and its sync was never answered.
  kTorn,
  /// A frame is complete and wrong: bytes that were synced have changed.
  kDamaged,
};

/// The valid frames at the start of a file.
struct ParsedFrames {
  /// Payloads; they point into the bytes given to ParseFrames.
  std::vector<std::string_view> payloads;
  std::size_t valid_bytes = 0;
  LogTail tail = LogTail::kClean;
};

/// Returns the frame with `payload`, which must be shorter than 4 GiB.
std::string EncodeFrame(std::string_view payload);

/// Splits the content of a log file.
ParsedFrames ParseFrames(std::string_view content);

}  // namespace chicoryvale

#endif  // CHICORYVALE_SRC_REPLICATION_LOG_FRAME_H_
