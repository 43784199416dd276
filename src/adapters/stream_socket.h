#ifndef CHICORYVALE_SRC_ADAPTERS_STREAM_SOCKET_H_
#define CHICORYVALE_SRC_ADAPTERS_STREAM_SOCKET_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include "adapters/fd_poller.h"
#include "base/ids.h"

namespace chicoryvale {

/// How a stream ended.
enum class StreamEnd : std::uint8_t {
  /// The peer closed its sending side in order.
  kFinished,
  /// Reset, timed out, or refused.
  kBroken,
};

/// Receives what happens on a StreamSocket. Each call may destroy the socket.
class StreamListener {
 public:
  virtual ~StreamListener() = default;
  /// Called once a connection that was opened is established.
  virtual void OnConnected() {}
  virtual void OnBytes(std::string_view bytes) = 0;
  /// Called once; nothing follows.
  virtual void OnEnd(StreamEnd end) = 0;
};

/// A non-blocking TCP connection on an FdPoller. Not thread safe.
class StreamSocket {
 public:
  /// Begins to connect to `to`; nothing if the address is malformed or no
  /// descriptor is left. `poller` and `listener` must outlive the socket.
  static std::unique_ptr<StreamSocket> Connect(FdPoller* poller,
                                               const Address& to,
                                               StreamListener* listener);

  /// Takes over the connected descriptor `fd`.
  static std::unique_ptr<StreamSocket> Adopt(FdPoller* poller, int fd,
                                             StreamListener* listener);
  ~StreamSocket();
  StreamSocket(const StreamSocket&) = delete;
  StreamSocket& operator=(const StreamSocket&) = delete;

  /// Sends `bytes`, keeping those that the kernel does not take yet.
  void Write(std::string_view bytes);

  /// Calls `done` once all bytes written so far are with the kernel; at once
  /// if they are. It may destroy the socket.
  void WhenWritten(std::function<void()> done);

  /// Stops or resumes reading; a peer that sends on is held back by TCP.
  void SetReading(bool reading);

  /// Ends the sending side once everything written is with the kernel.
  void FinishSending();

  [[nodiscard]] bool HasUnsent() const { return !m_unsent.empty(); }
  [[nodiscard]] std::size_t UnsentBytes() const { return m_unsent.size(); }

  /// Whether a byte was handed to the kernel.
  [[nodiscard]] bool HasSent() const { return m_sent; }

 private:
  StreamSocket(FdPoller* poller, int fd, StreamListener* listener,
               bool connecting);
  bool Watch();
  void OnEvents(std::uint32_t events);
  void FinishConnect();
  void ReadPending();
  bool Flush();
  void UpdateEvents();
  void End(StreamEnd end);

  FdPoller* m_poller;
  int m_fd;
  StreamListener* m_listener;
  bool m_connecting;
  bool m_reading = true;
  bool m_ended = false;
  bool m_sent = false;
  bool m_finish_sending = false;
  std::string m_unsent;
  std::function<void()> m_when_written;
  /// Expires with the socket, for calls during which it may be destroyed.
  std::shared_ptr<int> m_alive = std::make_shared<int>(0);
};

}  // namespace chicoryvale

#endif  // CHICORYVALE_SRC_ADAPTERS_STREAM_SOCKET_H_
