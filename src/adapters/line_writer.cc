#include "adapters/line_writer.h"

#include <poll.h>
#include <unistd.h>

#include <algorithm>
#include <string>
#include <utility>

namespace chicoryvale {

bool LineWriter::Write(std::string_view line, TimePoint now) {
  if (!ConsumeToken(now) || !IsWritable()) {
    ++m_dropped_lines;
    return false;
  }
  std::string text(line.substr(0, kMaxLineBytes - 1));
  text += '\n';
  if (write(m_descriptor, text.data(), text.size()) < 0) {
    ++m_dropped_lines;
    return false;
  }
  return true;
}

std::uint64_t LineWriter::ConsumeDroppedLineCount() {
  return std::exchange(m_dropped_lines, 0);
}

bool LineWriter::ConsumeToken(TimePoint now) {
  m_tokens =
      std::min(kMaxBurstLines,
               m_tokens + ToSeconds(now - m_last_refill) * kMaxLinesPerSecond);
  m_last_refill = now;
  if (m_tokens < 1) return false;
  m_tokens -= 1;
  return true;
}

bool LineWriter::IsWritable() const {
  pollfd descriptor{m_descriptor, POLLOUT, 0};
  return poll(&descriptor, 1, 0) == 1 && (descriptor.revents & POLLOUT) != 0 &&
         (descriptor.revents & POLLERR) == 0;
}

}  // namespace chicoryvale
