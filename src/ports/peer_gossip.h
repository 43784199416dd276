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

/// The configuration that a member has; version 0 for none.
struct ConfigDigest {
  std::uint64_t version = 0;
  std::uint64_t hash = 0;
  bool operator==(const ConfigDigest&) const = default;
};

/// What a gossip item is about.
enum class GossipKind : std::uint8_t {
  /// An upstream is leaving; the key is its address.
  kAvailabilitySignal,
  /// A request crashes upstreams; the key is its fingerprint.
  kCrashMark,
};

/// A small fact that spreads to all members. Of two items of one kind and key
/// the one with the greater stamp wins, then the one with the greater payload,
/// so that merging is commutative and idempotent.
struct GossipItem {
  GossipKind kind = GossipKind::kAvailabilitySignal;
  std::string key;
  std::uint64_t stamp = 0;
  std::string payload;
  /// Time left until the item is forgotten; falls on its way.
  std::uint32_t lifetime_s = 0;
  bool operator==(const GossipItem&) const = default;
};

/// Longest key and payload of a GossipItem.
inline constexpr std::size_t kMaxGossipKeyBytes = 96;
inline constexpr std::size_t kMaxGossipPayloadBytes = 256;

/// Port: spreads small facts among the members. Not thread safe.
class PeerGossip {
 public:
  using DigestListener =
      std::function<void(const MemberInfo& from, const ConfigDigest& digest)>;
  using ItemListener = std::function<void(const GossipItem& item)>;
  virtual ~PeerGossip() = default;

  /// Sets the digest that each message carries and sends it to peers soon.
  void SetOwnDigest(const ConfigDigest& digest) { OnSetOwnDigest(digest); }

  /// Adds a function called for the digest of each message received.
  void AddDigestListener(DigestListener listener) {
    OnAddDigestListener(std::move(listener));
  }

  /// Merges an item and spreads it if it is news; false if it is too long.
  bool Publish(const GossipItem& item) {
    if (item.key.size() > kMaxGossipKeyBytes ||
        item.payload.size() > kMaxGossipPayloadBytes) {
      return false;
    }
    OnPublish(item);
    return true;
  }

  /// Adds a function called for each item that is news, own ones included.
  void AddItemListener(ItemListener listener) {
    OnAddItemListener(std::move(listener));
  }

  /// Returns the items of `kind` that are in force.
  [[nodiscard]] std::vector<GossipItem> Items(GossipKind kind) const {
    return OnItems(kind);
  }

  /// Returns up to `count` members at random that seem alive, without this
  /// process.
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
