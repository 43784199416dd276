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

/// Bounds and collaborators of a peer connection; the pointers outlive it.
struct PeerConnectionOptions {
  const FrameAuth* auth = nullptr;
  FdPoller* poller = nullptr;
  Scheduler* scheduler = nullptr;
  PeerCounters* counters = nullptr;
  /// Address under which peers reach this process.
  Address advertised;
  std::size_t max_payload_bytes = 0;
  /// A peer that leaves more than this unread loses the connection.
  std::size_t max_queued_bytes = 0;
  Duration handshake_timeout{};
};

/// One TCP connection that carries authenticated frames. Both ends first send
/// a short greeting with a random nonce; the HMAC of each later frame covers
/// both nonces, the direction and a running number, so that a recorded frame is
/// refused when it is sent again or on another connection.
/// Not thread safe: used only on the event loop.
class PeerConnection : public std::enable_shared_from_this<PeerConnection>,
                       private StreamListener {
 public:
  enum class Role : std::uint8_t { kInitiator, kAcceptor };

  /// Functions that the owner sets before Start.
  struct Events {
    /// The peer proved that it has the key; `peer` is its advertised address.
    std::function<void(const Address& peer)> ready;
    std::function<void(std::string payload)> frame;
    /// Called once, after which no other event comes.
    std::function<void()> closed;
  };

  PeerConnection(PeerConnectionOptions options, Role role, Events events);
  ~PeerConnection() override;
  PeerConnection(const PeerConnection&) = delete;
  PeerConnection& operator=(const PeerConnection&) = delete;

  /// Dials `to`. Called once, on an initiator. The events come later.
  void Connect(const Address& to);

  /// Takes over the accepted descriptor `fd`. Called once, on an acceptor.
  void Accept(int fd);

  /// Sends one frame; false if the connection is not ready or the queue is
  /// full, which also closes it.
  bool Send(std::string_view payload);

  /// Closes the connection; the closed event comes from the event loop.
  void Close();

  /// Closes the connection without any further event.
  void Detach();

  [[nodiscard]] bool ready() const { return m_ready && !m_closing; }
  [[nodiscard]] TimePoint last_received() const { return m_last_received; }

 private:
  void OnConnected() override;
  void OnBytes(std::string_view bytes) override;
  void OnEnd(StreamEnd end) override;
  void ArmHandshakeTimer();
  void Greet();
  // Returns false if the bytes received so far have to be refused.
  bool ParseInput();
  bool HandleFrame(std::string_view payload);
  bool HandleGreeting(std::string_view payload);
  void Write(std::string_view frame);
  [[nodiscard]] std::string Context(bool sending, std::uint64_t number) const;

  PeerConnectionOptions m_options;
  Role m_role;
  Events m_events;
  std::unique_ptr<StreamSocket> m_socket;
  bool m_connected = false;
  std::string m_own_nonce;
  std::string m_peer_nonce;
  bool m_ready = false;
  bool m_closing = false;
  // No event is passed on any more.
  bool m_muted = false;
  TimerId m_handshake_timer = 0;
  TimePoint m_last_received{};
  std::uint64_t m_sent = 0;
  std::uint64_t m_received = 0;
  std::string m_input;
};

}  // namespace chicoryvale

#endif  // CHICORYVALE_SRC_ADAPTERS_PEER_CONNECTION_H_
