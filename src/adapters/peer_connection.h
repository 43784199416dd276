#ifndef CHICORYVALE_SRC_ADAPTERS_PEER_CONNECTION_H_
#define CHICORYVALE_SRC_ADAPTERS_PEER_CONNECTION_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include "adapters/fd_poller.h"
#include "adapters/frame_auth.h"
#include "adapters/stream_socket.h"
#include "base/ids.h"
#include "base/time.h"
#include "ports/scheduler.h"

namespace chicoryvale {

/// Limits and dependencies of a PeerConnection. The objects that the pointers
/// refer to must outlive it.
struct PeerConnectionOptions {
  const FrameAuth* auth = nullptr;
  FdPoller* poller = nullptr;
  Scheduler* scheduler = nullptr;
  PeerCounters* counters = nullptr;
  /// Address at which peers can reach this process.
  Address advertised;
  std::size_t max_payload_bytes = 0;
  /// Maximum number of bytes in the send queue. The connection is closed if its
  /// peer reads so slowly that a send would exceed it.
  std::size_t max_queued_bytes = 0;
  Duration handshake_timeout{};
};

/// One TCP connection that carries authenticated frames. Both ends first send
/// a short greeting with a random nonce. The HMAC of each later frame covers
/// both nonces, the direction and a sequence number, so that a recorded frame
/// is rejected if it is replayed on the same connection or on another one.
/// Not thread safe: use only on the event loop.
class PeerConnection : public std::enable_shared_from_this<PeerConnection>,
                       private StreamListener {
 public:
  enum class Role : std::uint8_t { kInitiator, kAcceptor };

  /// Functions of the owner, called from the event loop.
  struct Callbacks {
    /// Called once the peer has proved that it has the key. `peer` is its
    /// advertised address.
    std::function<void(const Address& peer)> on_ready;
    /// Called for each frame received after that.
    std::function<void(std::string payload)> on_frame;
    /// Called once, after all other callbacks.
    std::function<void()> on_closed;
  };

  PeerConnection(PeerConnectionOptions options, Role role, Callbacks callbacks);
  ~PeerConnection() override;
  PeerConnection(const PeerConnection&) = delete;
  PeerConnection& operator=(const PeerConnection&) = delete;

  /// Connects to `to`. Call this once, and only on an initiator. No callback is
  /// called from within this function.
  void Connect(const Address& to);

  /// Takes ownership of the accepted file descriptor `fd`. Call this once, and
  /// only on an acceptor.
  void Accept(int fd);

  /// Sends one frame. Returns false if the connection is not ready, or if the
  /// send queue is full; a full queue also closes the connection.
  bool Send(std::string_view payload);

  /// Closes the connection. `on_closed` is called later from the event loop.
  void Close();

  /// Closes the connection without any further callback.
  void Detach();

  /// Whether the handshake is complete and the connection is open.
  [[nodiscard]] bool IsReady() const { return m_ready && !m_closing; }
  [[nodiscard]] TimePoint last_receive_time() const {
    return m_last_receive_time;
  }

 private:
  void OnConnected() override;
  void OnBytes(std::string_view bytes) override;
  void OnEnd(StreamEnd end) override;
  void StartHandshakeTimer();
  void SendGreeting();
  // Handles the complete frames in m_input. Returns false if a frame is
  // invalid.
  bool ParseInput();
  bool HandleFrame(std::string_view payload);
  bool HandleGreeting(std::string_view payload);
  void Write(std::string_view frame);
  [[nodiscard]] std::string FrameContext(bool sending,
                                         std::uint64_t sequence_number) const;

  PeerConnectionOptions m_options;
  Role m_role;
  Callbacks m_callbacks;
  std::unique_ptr<StreamSocket> m_socket;
  bool m_connected = false;
  std::string m_own_nonce;
  std::string m_peer_nonce;
  bool m_ready = false;
  bool m_closing = false;
  // Set after Detach or on_closed: no further callback is called.
  bool m_detached = false;
  TimerId m_handshake_timer = 0;
  TimePoint m_last_receive_time{};
  std::uint64_t m_sent_frames = 0;
  std::uint64_t m_received_frames = 0;
  // Received bytes that are not yet a complete frame.
  std::string m_input;
};

}  // namespace chicoryvale

#endif  // CHICORYVALE_SRC_ADAPTERS_PEER_CONNECTION_H_
