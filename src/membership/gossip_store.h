#ifndef CHICORYVALE_SRC_MEMBERSHIP_GOSSIP_STORE_H_
#define CHICORYVALE_SRC_MEMBERSHIP_GOSSIP_STORE_H_

#include <cstddef>
#include <map>
#include <string>
#include <vector>

#include "base/time.h"
#include "ports/peer_gossip.h"

namespace chicoryvale {

/// Bounded set of gossip items with expiry times. Merging is commutative and
/// idempotent among items that have not expired.
/// Not thread safe.
class GossipStore {
 public:
  /// `max_items` bounds the number of items of each kind.
  explicit GossipStore(std::size_t max_items) : m_max_items(max_items) {}

  /// The effect of merging an item.
  enum class MergeResult : std::uint8_t {
    kUnchanged,
    kMerged,
    /// The item was merged and another item was evicted.
    kMergedAndEvicted,
    kExpired
  };

  /// Merges `item` at time `now`. If the store holds the maximum number of
  /// items of its kind, the item of that kind that expires first is evicted.
  MergeResult Merge(const GossipItem& item, TimePoint now);

  /// Removes the items that have expired by `now`.
  void RemoveExpired(TimePoint now);

  /// Sets `*item` to the item of `key`, which was made by KeyOf, with its
  /// remaining lifetime at `now`. Returns false if there is no such item or if
  /// less than a second of its lifetime remains.
  bool Find(const std::string& key, TimePoint now, GossipItem* item) const;

  /// Returns all items of `kind`.
  [[nodiscard]] std::vector<GossipItem> Items(GossipKind kind) const;

  /// Returns the key that follows `previous_key` in key order, with wrap-around
  /// to the first key. Returns an empty string if the store is empty.
  [[nodiscard]] std::string NextKey(const std::string& previous_key) const;

  /// Returns the key of `item`, which is unique across all kinds.
  static std::string KeyOf(const GossipItem& item);

 private:
  struct Entry {
    GossipItem item;
    TimePoint expires_at{};
  };
  // Evicts one item if there are `m_max_items` of `kind`. Returns whether an
  // item was evicted.
  bool EvictIfFull(GossipKind kind);

  std::size_t m_max_items;
  std::map<std::string, Entry> m_entries;
};

}  // namespace chicoryvale

#endif  // CHICORYVALE_SRC_MEMBERSHIP_GOSSIP_STORE_H_
