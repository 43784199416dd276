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

/// Counters of the peer transports, including one for each reason to reject a
/// frame, call or connection.
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

/// Result of checking the frame at the start of a buffer.
enum class FrameStatus : std::uint8_t {
  kAccepted,
  kIncomplete,
  kBadLength,
  kTooLarge,
  kBadVersion,
  kBadMac,
};

/// Increments the counter of a rejected frame. `status` must be neither
/// kAccepted nor kIncomplete.
void CountRejectedFrame(FrameStatus status, PeerCounters* counters);

/// The frame at the start of a buffer. `payload` refers to that buffer.
struct OpenedFrame {
  FrameStatus status = FrameStatus::kIncomplete;
  std::string_view payload;
  /// Size of the whole frame in bytes; 0 unless the frame was accepted.
  std::size_t frame_size = 0;
};

/// Seals and opens authenticated frames. A frame consists of a 32-bit
/// little-endian length of everything after it, a version byte, an HMAC-SHA256
/// and the payload. The HMAC covers the version, the payload, and a context
/// that both ends know and that is not sent. It is verified before the payload
/// is decoded. Not thread safe.
class FrameAuth {
 public:
  static constexpr std::uint8_t kVersion = 1;
  static constexpr std::size_t kMacBytes = 32;
  static constexpr std::size_t kLengthBytes = 4;
  static constexpr std::size_t kOverheadBytes = kLengthBytes + 1 + kMacBytes;

  /// `key` is the shared secret. It must not be empty.
  explicit FrameAuth(std::string_view key);
  ~FrameAuth();
  FrameAuth(const FrameAuth&) = delete;
  FrameAuth& operator=(const FrameAuth&) = delete;

  /// Returns a frame with `payload`, which must be shorter than 4 GiB by at
  /// least kOverheadBytes.
  [[nodiscard]] std::string Seal(std::string_view payload,
                                 std::string_view context) const;

  /// Checks the frame at the start of `bytes`. Rejects a payload of more than
  /// `max_payload_bytes` as soon as the length field is known.
  [[nodiscard]] OpenedFrame Open(std::string_view bytes,
                                 std::string_view context,
                                 std::size_t max_payload_bytes) const;

 private:
  using Mac = std::array<unsigned char, kMacBytes>;
  [[nodiscard]] Mac ComputeMac(std::uint8_t version, std::string_view context,
                               std::string_view payload) const;

  /// HMAC state after the key; copied for each frame.
  GHmac* m_keyed_hmac;
};

}  // namespace chicoryvale

#endif  // CHICORYVALE_SRC_ADAPTERS_FRAME_AUTH_H_
