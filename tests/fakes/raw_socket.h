#ifndef CHICORYVALE_TESTS_FAKES_RAW_SOCKET_H_
#define CHICORYVALE_TESTS_FAKES_RAW_SOCKET_H_

#include <arpa/inet.h>
#include <glib.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <atomic>
#include <cstdint>
#include <filesystem>
#include <functional>
#include <iterator>
#include <string>
#include <string_view>
#include <thread>
#include <utility>

#include "base/ids.h"

namespace chicoryvale {

/// Blocking TCP socket to 127.0.0.1 that sends and receives raw bytes.
class RawSocket {
 public:
  /// Connects from 127.0.0.`source` to `server`, an IPv4 address and port.
  /// Using several sources avoids running out of local ports, which closed
  /// connections still occupy.
  explicit RawSocket(const Address& server, std::uint8_t source = 1)
      : m_fd(socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0)) {
    const int on = 1;
    setsockopt(m_fd, IPPROTO_IP, IP_BIND_ADDRESS_NO_PORT, &on, sizeof on);
    const sockaddr_in from = LoopbackAddress(source, 0);
    const std::string& text = server.host_port;
    const std::size_t colon = text.rfind(':');
    sockaddr_in to = LoopbackAddress(
        1, static_cast<std::uint16_t>(std::stoi(text.substr(colon + 1))));
    inet_pton(AF_INET, text.substr(0, colon).c_str(), &to.sin_addr);
    m_connected =
        bind(m_fd, reinterpret_cast<const sockaddr*>(&from), sizeof from) ==
            0 &&
        connect(m_fd, reinterpret_cast<const sockaddr*>(&to), sizeof to) == 0;
  }
  /// Takes ownership of the connected descriptor `fd`.
  explicit RawSocket(int fd) : m_fd(fd), m_connected(true) {}
  RawSocket(RawSocket&& other) noexcept
      : m_fd(std::exchange(other.m_fd, -1)), m_connected(other.m_connected) {}
  RawSocket& operator=(RawSocket&&) = delete;
  ~RawSocket() {
    if (m_fd >= 0) close(m_fd);
  }

  [[nodiscard]] bool Connected() const { return m_connected; }

  /// Sends all of `text`. Returns false if the connection is closed.
  bool Send(std::string_view text) {
    while (!text.empty()) {
      const ssize_t sent = send(m_fd, text.data(), text.size(), MSG_NOSIGNAL);
      if (sent <= 0) return false;
      text.remove_prefix(static_cast<std::size_t>(sent));
    }
    return true;
  }

  /// Makes Send fail if the peer does not read for `timeout_s`.
  void SetSendTimeout(int timeout_s) const {
    const timeval timeout{timeout_s, 0};
    setsockopt(m_fd, SOL_SOCKET, SO_SNDTIMEO, &timeout, sizeof timeout);
  }

  /// Shuts down the sending direction, so that the peer reads the end of the
  /// stream.
  void EndSending() { shutdown(m_fd, SHUT_WR); }

  /// Receives until the text contains `end` or the peer closes the connection.
  /// Returns all received bytes.
  std::string ReceiveUntil(std::string_view end) {
    std::string text;
    std::array<char, 4096> chunk;
    while (text.find(end) == std::string::npos) {
      const ssize_t got = recv(m_fd, chunk.data(), chunk.size(), 0);
      if (got <= 0) break;
      text.append(chunk.data(), static_cast<std::size_t>(got));
    }
    return text;
  }

  /// Receives `max_bytes`, or fewer if the server closes the connection first.
  /// Returns the number of bytes.
  std::size_t ReceiveUpTo(std::size_t max_bytes) {
    std::string bytes(max_bytes, 0);
    const ssize_t got = recv(m_fd, bytes.data(), bytes.size(), MSG_WAITALL);
    return got > 0 ? static_cast<std::size_t>(got) : 0;
  }

  /// Receives until the peer closes the connection. Returns all received bytes.
  std::string ReceiveAll() {
    std::string text;
    std::array<char, 4096> chunk;
    ssize_t got = 0;
    while ((got = recv(m_fd, chunk.data(), chunk.size(), 0)) > 0) {
      text.append(chunk.data(), static_cast<std::size_t>(got));
    }
    return text;
  }

 private:
  static sockaddr_in LoopbackAddress(std::uint8_t host, std::uint16_t port) {
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(port);
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK - 1 + host);
    return address;
  }

  int m_fd;
  bool m_connected = false;
};

/// Runs `client` on a new thread while the calling thread runs the default main
/// context. Returns when `client` has returned.
inline void RunBeside(const std::function<void()>& client) {
  std::atomic<bool> done = false;
  std::thread thread([&] {
    client();
    done = true;
    g_main_context_wakeup(nullptr);
  });
  while (!done) g_main_context_iteration(nullptr, TRUE);
  thread.join();
}

/// Returns the number of open file descriptors of this process.
inline std::size_t OpenDescriptors() {
  return static_cast<std::size_t>(
      std::distance(std::filesystem::directory_iterator("/proc/self/fd"),
                    std::filesystem::directory_iterator()));
}

}  // namespace chicoryvale

#endif  // CHICORYVALE_TESTS_FAKES_RAW_SOCKET_H_
