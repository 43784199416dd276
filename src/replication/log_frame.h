#ifndef CHICORYVALE_SRC_REPLICATION_LOG_FRAME_H_
#define CHICORYVALE_SRC_REPLICATION_LOG_FRAME_H_

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

namespace chicoryvale {

// A log file is a sequence of frames. A frame consists of the payload's length,
// the payload's checksum, a checksum of these two, and the payload. Each sync
// writes one frame, and the next frame is written only after that sync, so an
// unfinished write can only be at the end of the file.

/// State of the bytes after the last valid frame.
enum class LogTail : std::uint8_t {
  /// There are no further bytes.
  kClean,
  /// The file ends within a frame or with zeros instead of a frame. The last
  /// write did not finish, and its sync never returned.
  kTorn,
  /// A complete frame fails its checksum, so synced bytes have changed.
  kDamaged,
};

/// The valid frames at the start of a file.
struct ParsedFrames {
  /// Payloads of the frames. They point into the content passed to
  /// ParseFrames.
  std::vector<std::string_view> payloads;
  /// Total size of the valid frames.
  std::size_t valid_bytes = 0;
  LogTail tail = LogTail::kClean;
};

/// Returns a frame that contains `payload`, which must be shorter than 4 GiB.
std::string EncodeFrame(std::string_view payload);

/// Splits the content of a log file into frames.
ParsedFrames ParseFrames(std::string_view content);

}  // namespace chicoryvale

#endif  // CHICORYVALE_SRC_REPLICATION_LOG_FRAME_H_
