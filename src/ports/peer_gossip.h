#ifndef CHICORYVALE_SRC_PORTS_PEER_GOSSIP_H_
#define CHICORYVALE_SRC_PORTS_PEER_GOSSIP_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <string>
#include <utility>
#include <vector>

#include "base/ids.h"
#include "ports/member_view.h"

namespace chicoryvale {

/// Identifies the configuration of a member; version 0 if it has none.
struct ConfigDigest {
  std::uint64_t version = 0;
  std::uint64_t hash = 0;
  bool operator==(const ConfigDigest&) const = default;
};

/// Type of a gossip item.
enum class GossipKind : std::uint8_t {
  /// Whether an upstream is unavailable, because it is draining or because
  /// connections to it fail. The key contains its address.
  kAvailabilitySignal,
  /// A request crashes upstreams. The key contains its fingerprint.
  kCrashMark,
  /// Little of a workspace's quota is left. The key contains its name.
  kScarceQuota,
  /// A group of replicas has no room for all requests of an availability zone.
  /// The key contains both names.
  kSaturatedGroup,
};

/// A small item of information that is spread to all members. Of two items with
/// the same kind and key, the one with the greater stamp wins, or the one with
/// the greater payload if the stamps are equal. This makes merging commutative
/// and idempotent.
struct GossipItem {
  GossipKind kind = GossipKind::kAvailabilitySignal;
  std::string key;
  std::uint64_t stamp = 0;
  std::string payload;
  /// Remaining time until the item expires; decreases while the item spreads.
  std::uint32_t lifetime_s = 0;
  bool operator==(const GossipItem&) const = default;
};

/// Maximum size of the key and of the payload of a GossipItem.
inline constexpr std::size_t kMaxGossipKeyBytes = 96;
inline constexpr std::size_t kMaxGossipPayloadBytes = 256;

/// Interface that spreads gossip items among the members. Not thread safe.
class PeerGossip {
 public:
  using DigestListener =
      std::function<void(const MemberInfo& from, const ConfigDigest& digest)>;
  using ItemListener = std::function<void(const GossipItem& item)>;
  virtual ~PeerGossip() = default;

  /// Sets the digest that each message carries. It is soon sent to peers.
  void SetOwnDigest(const ConfigDigest& digest) { OnSetOwnDigest(digest); }

  /// Adds a function called for the digest of each message received.
  void AddDigestListener(DigestListener listener) {
    OnAddDigestListener(std::move(listener));
  }

  /// Merges `item`, and spreads it if it wins over the stored item. Returns
  /// false if the key or the payload is too long.
  bool Publish(const GossipItem& item) {
    if (item.key.size() > kMaxGossipKeyBytes ||
        item.payload.size() > kMaxGossipPayloadBytes) {
      return false;
    }
    OnPublish(item);
    return true;
  }

  /// Adds a function called for each item that is new or replaces a stored one,
  /// including items published by this process.
  void AddItemListener(ItemListener listener) {
    OnAddItemListener(std::move(listener));
  }

  /// Returns the items of `kind` that have not expired.
  [[nodiscard]] std::vector<GossipItem> Items(GossipKind kind) const {
    return OnItems(kind);
  }

  /// Returns up to `count` randomly chosen members that appear to be alive,
  /// without this process.
  std::vector<MemberInfo> RandomPeers(std::size_t count) {
    return OnRandomPeers(count);
  }

 protected:
  virtual void OnSetOwnDigest(const ConfigDigest& digest) = 0;
  virtual void OnAddDigestListener(DigestListener listener) = 0;
  virtual void OnPublish(const GossipItem& item) = 0;
  virtual void OnAddItemListener(ItemListener listener) = 0;
  [[nodiscard]] virtual std::vector<GossipItem> OnItems(
      GossipKind kind) const = 0;
  virtual std::vector<MemberInfo> OnRandomPeers(std::size_t count) = 0;
};

}  // namespace chicoryvale

#endif  // CHICORYVALE_SRC_PORTS_PEER_GOSSIP_H_
