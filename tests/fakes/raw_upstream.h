#ifndef CHICORYVALE_TESTS_FAKES_RAW_UPSTREAM_H_
#define CHICORYVALE_TESTS_FAKES_RAW_UPSTREAM_H_

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <atomic>
#include <cassert>
#include <functional>
#include <string>
#include <thread>
#include <utility>

#include "base/ids.h"
#include "fakes/raw_socket.h"

namespace chicoryvale {

/// Upstream that serves one connection at a time on its own thread. A function
/// reads and writes the raw bytes of each connection. Connections are counted.
class RawUpstream {
 public:
  /// Serves `connection`, whose zero-based sequence number is `number`. Called
  /// on the thread of the upstream.
  using Serve = std::function<void(RawSocket& connection, int number)>;

  explicit RawUpstream(Serve serve)
      : m_serve(std::move(serve)),
        m_fd(socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0)) {
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    socklen_t size = sizeof address;
    constexpr int kBacklog = 16;
    const bool listens =
        bind(m_fd, reinterpret_cast<sockaddr*>(&address), size) == 0 &&
        listen(m_fd, kBacklog) == 0;
    assert(listens);
    static_cast<void>(listens);
    getsockname(m_fd, reinterpret_cast<sockaddr*>(&address), &size);
    m_address.host_port =
        "127.0.0.1:" + std::to_string(ntohs(address.sin_port));
    m_thread = std::thread([this] { Run(); });
  }
  RawUpstream(const RawUpstream&) = delete;
  RawUpstream& operator=(const RawUpstream&) = delete;
  ~RawUpstream() {
    m_ending = true;
    shutdown(m_fd, SHUT_RDWR);
    if (const int fd = m_connection; fd >= 0) shutdown(fd, SHUT_RDWR);
    m_thread.join();
    close(m_fd);
  }

  [[nodiscard]] const Address& LocalAddress() const { return m_address; }
  /// Returns the number of accepted connections.
  [[nodiscard]] int Connections() const { return m_connections; }

 private:
  void Run() {
    int fd = -1;
    while ((fd = accept4(m_fd, nullptr, nullptr, SOCK_CLOEXEC)) >= 0) {
      RawSocket connection(fd);
      m_connection = fd;
      if (m_ending) break;
      m_serve(connection, m_connections++);
      m_connection = -1;
    }
  }

  Serve m_serve;
  int m_fd;
  Address m_address;
  std::atomic<int> m_connections = 0;
  std::atomic<int> m_connection = -1;
  std::atomic<bool> m_ending = false;
  std::thread m_thread;
};

}  // namespace chicoryvale

#endif  // CHICORYVALE_TESTS_FAKES_RAW_UPSTREAM_H_
