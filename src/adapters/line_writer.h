#ifndef CHICORYVALE_SRC_ADAPTERS_LINE_WRITER_H_
#define CHICORYVALE_SRC_ADAPTERS_LINE_WRITER_H_

#include <cstddef>
#include <cstdint>
#include <string_view>

#include "base/time.h"

namespace chicoryvale {

/// Writes lines to a descriptor without ever waiting for its reader, and no
/// more of them than a bound: lines that do not fit are left out and counted.
/// Not thread safe.
class LineWriter {
 public:
  /// Lines written at once, and in each second after that. Above what an entry
  /// decides in a second at its usual load, below what would cost it a tenth of
  /// a small VM's processor time.
  static constexpr double kMaxBurstLines = 2000;
  static constexpr double kMaxLinesPerSecond = 400;
  /// A pipe with room for this much takes it whole (PIPE_BUF).
  static constexpr std::size_t kMaxLineBytes = 4096;

  explicit LineWriter(int descriptor) : m_descriptor(descriptor) {}

  /// Writes `line`, without its line end, cut to kMaxLineBytes. False if it was
  /// left out.
  bool Write(std::string_view line, TimePoint now);

  /// Returns the lines left out since the last call.
  std::uint64_t ConsumeDroppedLineCount();

 private:
  bool TakeToken(TimePoint now);
  [[nodiscard]] bool HasRoom() const;

  int m_descriptor;
  double m_tokens = kMaxBurstLines;
  TimePoint m_refilled{};
  std::uint64_t m_left_out = 0;
};

}  // namespace chicoryvale

#endif  // CHICORYVALE_SRC_ADAPTERS_LINE_WRITER_H_
