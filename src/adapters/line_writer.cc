#include "adapters/line_writer.h"

#include <poll.h>
#include <unistd.h>

#include <algorithm>
#include <string>
#include <utility>

namespace chicoryvale {

bool LineWriter::Write(std::string_view line, TimePoint now) {
  if (!TakeToken(now) || !HasRoom()) {
    ++m_left_out;
    return false;
  }
  std::string text(line.substr(0, kMaxLineBytes - 1));
  text += '\n';
  if (write(m_descriptor, text.data(), text.size()) < 0) {
    ++m_left_out;
    return false;
  }
  return true;
}

std::uint64_t LineWriter::ConsumeDroppedLineCount() {
  return std::exchange(m_left_out, 0);
}

bool LineWriter::TakeToken(TimePoint now) {
  m_tokens = std::min(kMaxBurstLines, m_tokens + ToSeconds(now - m_refilled) *
                                                     kMaxLinesPerSecond);
  m_refilled = now;
  if (m_tokens < 1) return false;
  m_tokens -= 1;
  return true;
}

bool LineWriter::HasRoom() const {
  pollfd descriptor{m_descriptor, POLLOUT, 0};
  return poll(&descriptor, 1, 0) == 1 && (descriptor.revents & POLLOUT) != 0 &&
         (descriptor.revents & POLLERR) == 0;
}

}  // namespace chicoryvale
