#ifndef CHICORYVALE_SRC_ADAPTERS_LINE_WRITER_H_
#define CHICORYVALE_SRC_ADAPTERS_LINE_WRITER_H_

#include <cstddef>
#include <cstdint>
#include <string_view>

#include "base/time.h"

namespace chicoryvale {

/// Writes lines to a file descriptor without blocking and with a rate limit.
/// Drops and counts lines that exceed the limit or that can't be written.
/// Not thread safe.
class LineWriter {
 public:
  /// Maximum number of lines in a burst, and per second after that. The limits
  /// are above the number of decisions that an entry logs per second under its
  /// usual load, and below the rate at which logging would use a tenth of the
  /// CPU time of a small VM.
  static constexpr double kMaxBurstLines = 2000;
  static constexpr double kMaxLinesPerSecond = 400;
  /// PIPE_BUF, so that a writable pipe accepts a whole line without blocking.
  static constexpr std::size_t kMaxLineBytes = 4096;

  explicit LineWriter(int descriptor) : m_descriptor(descriptor) {}

  /// Writes `line` and a newline, truncated to kMaxLineBytes in total. `line`
  /// has no newline of its own. Returns false if the line was dropped.
  bool Write(std::string_view line, TimePoint now);

  /// Returns the number of lines dropped since the last call, and resets it.
  std::uint64_t ConsumeDroppedLineCount();

 private:
  bool ConsumeToken(TimePoint now);
  [[nodiscard]] bool IsWritable() const;

  int m_descriptor;
  /// Lines that the rate limit allows to be written now.
  double m_tokens = kMaxBurstLines;
  TimePoint m_last_refill{};
  std::uint64_t m_dropped_lines = 0;
};

}  // namespace chicoryvale

#endif  // CHICORYVALE_SRC_ADAPTERS_LINE_WRITER_H_
