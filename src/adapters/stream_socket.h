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
#include "base/time.h"

namespace chicoryvale {

/// How a stream ended.
enum class StreamEnd : std::uint8_t {
  /// The peer closed its sending side in an orderly manner.
  kFinished,
  /// The connection was reset, or was refused.
  kBroken,
  /// The peer did not acknowledge sent bytes in time.
  kTimedOut,
};

/// Receives the events of a StreamSocket. Each method may destroy the socket.
class StreamListener {
 public:
  virtual ~StreamListener() = default;
  /// Called when a socket made by StreamSocket::Connect is connected.
  virtual void OnConnected() {}
  virtual void OnBytes(std::string_view bytes) = 0;
  /// Called after the kernel has accepted buffered bytes outside of Write.
  virtual void OnFlushed() {}
  /// Called at most once, as the last call.
  virtual void OnEnd(StreamEnd end) = 0;
};

/// A non-blocking TCP connection on an FdPoller. Not thread safe.
class StreamSocket {
 public:
  /// Starts to connect to `to`. Returns null if the address is malformed, no
  /// descriptor is left or connecting fails at once. `poller` and `listener`
  /// must outlive the socket.
  static std::unique_ptr<StreamSocket> Connect(FdPoller* poller,
                                               const Address& to,
                                               StreamListener* listener);

  /// Takes ownership of the connected descriptor `fd`. Returns null if the
  /// poller refuses it, and closes it in that case.
  static std::unique_ptr<StreamSocket> Adopt(FdPoller* poller, int fd,
                                             StreamListener* listener);
  ~StreamSocket();
  StreamSocket(const StreamSocket&) = delete;
  StreamSocket& operator=(const StreamSocket&) = delete;

  /// Sends `bytes`. Bytes that the kernel does not accept yet are buffered and
  /// sent later.
  void Write(std::string_view bytes);

  /// Sets the time for which sent bytes may remain unacknowledged before the
  /// connection is broken. It also runs while the peer reads nothing, so where
  /// peers may pause it has to be longer than their pauses. Initially
  /// kDefaultSendTimeout.
  void SetSendTimeout(Duration timeout);

  /// Not longer than the shortest time after which the rest of the system
  /// treats a node as disconnected.
  static constexpr Duration kDefaultSendTimeout = seconds(3);

  /// Stops or resumes reading. While reading is stopped, TCP flow control holds
  /// back a peer that continues to send.
  void SetReading(bool reading);

  /// Closes the sending side once the kernel has accepted all written bytes.
  void FinishSending();

  [[nodiscard]] bool HasUnsent() const { return !m_unsent.empty(); }
  [[nodiscard]] std::size_t UnsentBytes() const { return m_unsent.size(); }

  /// Returns whether all received bytes have been read and the end of the
  /// stream follows. Asks the kernel.
  [[nodiscard]] bool IsEndPending() const;

  /// Returns whether the kernel has accepted at least one byte.
  [[nodiscard]] bool HasSent() const { return m_has_sent; }

 private:
  StreamSocket(FdPoller* poller, int fd, StreamListener* listener,
               bool connecting);
  bool AddToPoller();
  void OnEvents(std::uint32_t events);
  void FinishConnect();
  void ReadAvailable();
  bool FlushUnsent();
  /// Sends from `bytes` and removes what the kernel has accepted. Returns false
  /// if the connection is broken.
  bool SendSome(std::string_view* bytes);
  void UpdateEvents();
  void NotifyEnd(StreamEnd end);

  FdPoller* m_poller;
  int m_fd;
  StreamListener* m_listener;
  bool m_connecting;
  bool m_reading = true;
  bool m_ended = false;
  bool m_has_sent = false;
  bool m_finish_sending = false;
  std::string m_unsent;
  Duration m_send_timeout{};
  /// Expires with the socket; checked after callbacks that may destroy it.
  std::shared_ptr<int> m_alive = std::make_shared<int>(0);
};

}  // namespace chicoryvale

#endif  // CHICORYVALE_SRC_ADAPTERS_STREAM_SOCKET_H_
