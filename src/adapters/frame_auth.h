#ifndef CHICORYVALE_SRC_ADAPTERS_FRAME_AUTH_H_
#define CHICORYVALE_SRC_ADAPTERS_FRAME_AUTH_H_

#include <glib.h>

#include <array>
#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

#include "base/counters.h"

namespace chicoryvale {

/// Counters of the peer transports, with one for each reason of refusal.
enum class PeerCounter : std::uint8_t {
  kFramesSent,
  kFramesReceived,
  kBytesSent,
  kBytesReceived,
  kBadLength,
  kTooLarge,
  kBadVersion,
  kBadMac,
  kTruncated,
  kMalformed,
  kRefusedPeer,
  kTooManyConnections,
  kHandshakeTimeout,
  kConnectFailed,
  kSilentConnection,
  kIdleConnection,
  kQueueFull,
  kTooManyCalls,
  kCallTimeout,
  kNoHandler,
  kSendFailed,
};

template <>
struct CounterNames<PeerCounter> {
  static constexpr std::array<std::string_view, 21> kNames = {
      "peer_frames_sent",       "peer_frames_received",
      "peer_bytes_sent",        "peer_bytes_received",
      "peer_bad_length",        "peer_too_large",
      "peer_bad_version",       "peer_bad_mac",
      "peer_truncated",         "peer_malformed",
      "peer_refused_peer",      "peer_too_many_connections",
      "peer_handshake_timeout", "peer_connect_failed",
      "peer_silent_connection", "peer_idle_connection",
      "peer_queue_full",        "peer_too_many_calls",
      "peer_call_timeout",      "peer_no_handler",
      "peer_send_failed",
  };
};

using PeerCounters = CounterSet<PeerCounter>;

/// What FrameAuth found at the start of some bytes.
enum class FrameStatus : std::uint8_t {
  kAccepted,
  kIncomplete,
  kBadLength,
  kTooLarge,
  kBadVersion,
  kBadMac,
};

/// Adds one to the counter of a refusal; `status` is neither kAccepted nor
/// kIncomplete.
void CountRejectedFrame(FrameStatus status, PeerCounters* counters);

/// A frame found at the start of some bytes. `payload` points into them.
struct OpenedFrame {
  FrameStatus status = FrameStatus::kIncomplete;
  std::string_view payload;
  /// Size of the whole frame; 0 unless accepted.
  std::size_t frame_size = 0;
};

/// Seals and opens frames: a 32-bit little-endian length of all that follows,
/// one byte of version, an HMAC-SHA256 and the payload. The HMAC covers the
/// version, a context that both ends know and is not sent, and the payload. It
/// is checked before anything decodes the payload. Not thread safe.
class FrameAuth {
 public:
  static constexpr std::uint8_t kVersion = 1;
  static constexpr std::size_t kMacBytes = 32;
  static constexpr std::size_t kLengthBytes = 4;
  static constexpr std::size_t kOverheadBytes = kLengthBytes + 1 + kMacBytes;

  /// `key` is the shared secret and not empty.
  explicit FrameAuth(std::string_view key);
  ~FrameAuth();
  FrameAuth(const FrameAuth&) = delete;
  FrameAuth& operator=(const FrameAuth&) = delete;

  /// Returns the frame of `payload`, which is shorter than 4 GB.
  [[nodiscard]] std::string Seal(std::string_view payload,
                                 std::string_view context) const;

  /// Checks the frame at the start of `bytes`. A payload of more than
  /// `max_payload` bytes is refused on its length alone.
  [[nodiscard]] OpenedFrame Open(std::string_view bytes,
                                 std::string_view context,
                                 std::size_t max_payload) const;

 private:
  using Mac = std::array<unsigned char, kMacBytes>;
  [[nodiscard]] Mac Compute(std::uint8_t version, std::string_view context,
                            std::string_view payload) const;

  GHmac* m_keyed;
};

}  // namespace chicoryvale

#endif  // CHICORYVALE_SRC_ADAPTERS_FRAME_AUTH_H_
