#include "adapters/stream_socket.h"

#include <gio/gio.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/epoll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <cerrno>
#include <utility>

#include "adapters/socket_address.h"
#include "base/spare_capacity.h"

namespace chicoryvale {
namespace {

constexpr std::size_t kReadBufferBytes = std::size_t{16} * 1024;

StreamEnd EndOf(int error) {
  return error == ETIMEDOUT ? StreamEnd::kTimedOut : StreamEnd::kBroken;
}

bool WouldBlock(int error) { return error == EAGAIN || error == EWOULDBLOCK; }

void DisableNagle(int fd) {
  const int on = 1;
  setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
}

}  // namespace

std::unique_ptr<StreamSocket> StreamSocket::Connect(FdPoller* poller,
                                                    const Address& to,
                                                    StreamListener* listener) {
  const auto address = ToSocketAddress(to);
  if (!address) return nullptr;
  sockaddr_storage native{};
  const gssize size = g_socket_address_get_native_size(address->get());
  if (!g_socket_address_to_native(address->get(), &native, sizeof native,
                                  nullptr)) {
    return nullptr;
  }
  const int fd =
      socket(native.ss_family, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  if (fd < 0) return nullptr;
  DisableNagle(fd);
  const int connect_result =
      connect(fd, reinterpret_cast<const sockaddr*>(&native),
              static_cast<socklen_t>(size));
  if (connect_result != 0 && errno != EINPROGRESS) {
    close(fd);
    return nullptr;
  }
  std::unique_ptr<StreamSocket> stream(
      new StreamSocket(poller, fd, listener, true));
  if (!stream->AddToPoller()) return nullptr;
  return stream;
}

std::unique_ptr<StreamSocket> StreamSocket::Adopt(FdPoller* poller, int fd,
                                                  StreamListener* listener) {
  DisableNagle(fd);
  std::unique_ptr<StreamSocket> stream(
      new StreamSocket(poller, fd, listener, false));
  if (!stream->AddToPoller()) return nullptr;
  return stream;
}

StreamSocket::StreamSocket(FdPoller* poller, int fd, StreamListener* listener,
                           bool connecting)
    : m_poller(poller),
      m_fd(fd),
      m_listener(listener),
      m_connecting(connecting) {
  SetSendTimeout(kDefaultSendTimeout);
}

StreamSocket::~StreamSocket() {
  m_poller->Remove(m_fd);
  close(m_fd);
}

bool StreamSocket::AddToPoller() {
  const std::uint32_t events = m_connecting
                                   ? static_cast<std::uint32_t>(EPOLLOUT)
                                   : static_cast<std::uint32_t>(EPOLLIN);
  return m_poller->Add(m_fd, events,
                       [this](std::uint32_t pending) { OnEvents(pending); });
}

void StreamSocket::Write(std::string_view bytes) {
  if (m_ended) return;
  // A broken connection is reported through the poller and never from within
  // Write, so the result is ignored.
  if (!m_connecting && m_unsent.empty()) SendSome(&bytes);
  m_unsent.append(bytes);
  if (!m_connecting) UpdateEvents();
}

void StreamSocket::SetSendTimeout(Duration timeout) {
  if (std::exchange(m_send_timeout, timeout) == timeout) return;
  const auto timeout_ms = static_cast<unsigned>(
      std::chrono::duration_cast<milliseconds>(timeout).count());
  setsockopt(m_fd, IPPROTO_TCP, TCP_USER_TIMEOUT, &timeout_ms,
             sizeof timeout_ms);
}

void StreamSocket::SetReading(bool reading) {
  m_reading = reading;
  if (!m_connecting && !m_ended) UpdateEvents();
}

bool StreamSocket::IsEndPending() const {
  char byte = 0;
  return recv(m_fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT) == 0;
}

void StreamSocket::FinishSending() {
  m_finish_sending = true;
  if (m_unsent.empty() && !m_connecting) shutdown(m_fd, SHUT_WR);
}

void StreamSocket::UpdateEvents() {
  std::uint32_t events = 0;
  if (m_reading) events |= EPOLLIN;
  if (!m_unsent.empty()) events |= EPOLLOUT;
  m_poller->Modify(m_fd, events);
}

void StreamSocket::OnEvents(std::uint32_t events) {
  if (m_connecting) return FinishConnect();
  if ((events & EPOLLOUT) != 0) {
    if (!FlushUnsent()) return NotifyEnd(EndOf(errno));
    UpdateEvents();
    const std::weak_ptr<int> alive = m_alive;
    m_listener->OnFlushed();
    if (alive.expired()) return;
  }
  if ((events & (EPOLLIN | EPOLLHUP | EPOLLERR)) != 0) ReadAvailable();
}

void StreamSocket::FinishConnect() {
  int error = 0;
  socklen_t size = sizeof error;
  getsockopt(m_fd, SOL_SOCKET, SO_ERROR, &error, &size);
  if (error != 0) return NotifyEnd(StreamEnd::kBroken);
  m_connecting = false;
  const std::weak_ptr<int> alive = m_alive;
  m_listener->OnConnected();
  if (alive.expired()) return;
  if (!FlushUnsent()) return NotifyEnd(StreamEnd::kBroken);
  UpdateEvents();
  m_listener->OnFlushed();
}

void StreamSocket::ReadAvailable() {
  std::array<char, kReadBufferBytes> buffer;
  const std::weak_ptr<int> alive = m_alive;
  while (!m_ended) {
    const ssize_t count = recv(m_fd, buffer.data(), buffer.size(), 0);
    if (count < 0 && errno == EINTR) continue;
    if (count < 0 && WouldBlock(errno)) return;
    if (count < 0) return NotifyEnd(EndOf(errno));
    if (count == 0) return NotifyEnd(StreamEnd::kFinished);
    m_listener->OnBytes(
        std::string_view(buffer.data(), static_cast<std::size_t>(count)));
    if (alive.expired()) return;
    // A short read has emptied the socket; later bytes cause a new event.
    if (static_cast<std::size_t>(count) < buffer.size()) return;
    if (!m_reading) return;
  }
}

bool StreamSocket::SendSome(std::string_view* bytes) {
  while (!bytes->empty()) {
    const ssize_t count =
        send(m_fd, bytes->data(), bytes->size(), MSG_NOSIGNAL);
    if (count < 0 && errno == EINTR) continue;
    if (count < 0) return WouldBlock(errno);
    m_has_sent = true;
    bytes->remove_prefix(static_cast<std::size_t>(count));
  }
  return true;
}

bool StreamSocket::FlushUnsent() {
  std::string_view rest = m_unsent;
  if (!SendSome(&rest)) return false;
  m_unsent.erase(0, m_unsent.size() - rest.size());
  if (!m_unsent.empty()) return true;
  ReleaseSpareCapacity(&m_unsent);
  if (m_finish_sending) shutdown(m_fd, SHUT_WR);
  return true;
}

void StreamSocket::NotifyEnd(StreamEnd end) {
  if (std::exchange(m_ended, true)) return;
  m_poller->Remove(m_fd);
  m_listener->OnEnd(end);
}

}  // namespace chicoryvale
