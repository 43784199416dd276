#include "adapters/frame_auth.h"

#include <cassert>
#include <limits>

namespace chicoryvale {
namespace {

// Compares in constant time, so that the duration does not reveal the position
// of the first difference.
bool EqualInConstantTime(const unsigned char* a, const char* b,
                         std::size_t size) {
  unsigned difference = 0;
  for (std::size_t i = 0; i < size; ++i) {
    difference |= static_cast<unsigned>(a[i]) ^
                  static_cast<unsigned>(static_cast<unsigned char>(b[i]));
  }
  return difference == 0;
}

void AppendLength(std::uint32_t length, std::string* out) {
  for (unsigned shift = 0; shift < 32; shift += 8) {
    out->push_back(static_cast<char>(length >> shift));
  }
}

std::uint32_t ReadLength(std::string_view bytes) {
  std::uint32_t length = 0;
  for (std::size_t i = 0; i < FrameAuth::kLengthBytes; ++i) {
    length |= static_cast<std::uint32_t>(static_cast<unsigned char>(bytes[i]))
              << (8 * i);
  }
  return length;
}

void UpdateHmac(GHmac* hmac, std::string_view bytes) {
  if (bytes.empty()) return;
  g_hmac_update(hmac, reinterpret_cast<const guchar*>(bytes.data()),
                static_cast<gssize>(bytes.size()));
}

}  // namespace

void CountRejectedFrame(FrameStatus status, PeerCounters* counters) {
  switch (status) {
    case FrameStatus::kBadLength:
      return counters->Add(PeerCounter::kBadLength);
    case FrameStatus::kTooLarge:
      return counters->Add(PeerCounter::kTooLarge);
    case FrameStatus::kBadVersion:
      return counters->Add(PeerCounter::kBadVersion);
    case FrameStatus::kBadMac:
      return counters->Add(PeerCounter::kBadMac);
    case FrameStatus::kAccepted:
    case FrameStatus::kIncomplete:
      break;
  }
  assert(false);
}

FrameAuth::FrameAuth(std::string_view key)
    : m_keyed_hmac(g_hmac_new(G_CHECKSUM_SHA256,
                              reinterpret_cast<const guchar*>(key.data()),
                              key.size())) {
  assert(!key.empty());
}

FrameAuth::~FrameAuth() { g_hmac_unref(m_keyed_hmac); }

FrameAuth::Mac FrameAuth::ComputeMac(std::uint8_t version,
                                     std::string_view context,
                                     std::string_view payload) const {
  GHmac* hmac = g_hmac_copy(m_keyed_hmac);
  const auto context_size = static_cast<std::uint32_t>(context.size());
  std::string prefix(1, static_cast<char>(version));
  AppendLength(context_size, &prefix);
  UpdateHmac(hmac, prefix);
  UpdateHmac(hmac, context);
  UpdateHmac(hmac, payload);
  Mac mac{};
  gsize size = mac.size();
  g_hmac_get_digest(hmac, mac.data(), &size);
  g_hmac_unref(hmac);
  return mac;
}

std::string FrameAuth::Seal(std::string_view payload,
                            std::string_view context) const {
  assert(payload.size() <=
         std::numeric_limits<std::uint32_t>::max() - kOverheadBytes);
  const Mac mac = ComputeMac(kVersion, context, payload);
  std::string frame;
  frame.reserve(kOverheadBytes + payload.size());
  AppendLength(static_cast<std::uint32_t>(1 + kMacBytes + payload.size()),
               &frame);
  frame.push_back(static_cast<char>(kVersion));
  frame.append(reinterpret_cast<const char*>(mac.data()), mac.size());
  frame.append(payload);
  return frame;
}

OpenedFrame FrameAuth::Open(std::string_view bytes, std::string_view context,
                            std::size_t max_payload_bytes) const {
  if (bytes.size() < kLengthBytes) return {};
  const std::size_t length = ReadLength(bytes);
  if (length < 1 + kMacBytes) return {FrameStatus::kBadLength, {}, 0};
  const std::size_t payload_size = length - 1 - kMacBytes;
  if (payload_size > max_payload_bytes) return {FrameStatus::kTooLarge, {}, 0};
  if (bytes.size() == kLengthBytes) return {};
  const auto version = static_cast<std::uint8_t>(bytes[kLengthBytes]);
  if (version != kVersion) return {FrameStatus::kBadVersion, {}, 0};
  if (bytes.size() < kLengthBytes + length) return {};
  const std::string_view payload = bytes.substr(kOverheadBytes, payload_size);
  const Mac mac = ComputeMac(version, context, payload);
  if (!EqualInConstantTime(mac.data(), bytes.data() + kLengthBytes + 1,
                           kMacBytes)) {
    return {FrameStatus::kBadMac, {}, 0};
  }
  return {FrameStatus::kAccepted, payload, kLengthBytes + length};
}

}  // namespace chicoryvale
