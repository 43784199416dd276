#ifndef CHICORYVALE_SRC_MEMBERSHIP_GOSSIP_STORE_H_
#define CHICORYVALE_SRC_MEMBERSHIP_GOSSIP_STORE_H_

#include <cstddef>
#include <map>
#include <string>
#include <vector>

#include "base/time.h"
#include "ports/peer_gossip.h"

namespace chicoryvale {

/// Bounded set of gossip items, each with the time of its end. Merging is
/// commutative and idempotent among items that have not ended.
/// Not thread safe.
class GossipStore {
 public:
  /// `max_items` bounds each kind.
  explicit GossipStore(std::size_t max_items) : m_max_items(max_items) {}

  /// What became of an item.
  enum class Outcome : std::uint8_t {
    kKnown,
    kNews,
    kNewsAndEvicted,
    kExpired
  };

  /// Merges `item` at time `now`. A full kind loses the item that ends first.
  Outcome Merge(const GossipItem& item, TimePoint now);

  /// Removes the items that have ended.
  void RemoveExpired(TimePoint now);

  /// Returns the item of a key made by KeyOf with its time left at `now`, or
  /// false if there is none or it has less than a second left.
  bool Find(const std::string& key, TimePoint now, GossipItem* item) const;

  /// Returns all items of `kind`.
  [[nodiscard]] std::vector<GossipItem> Items(GossipKind kind) const;

  /// Returns the key following `after` in a circle over all items, or an empty
  /// string if there is none.
  [[nodiscard]] std::string NextKey(const std::string& after) const;

  /// Returns the key of an item among those of all kinds.
  static std::string KeyOf(const GossipItem& item);

 private:
  struct Entry {
    GossipItem item;
    TimePoint ends{};
  };
  // Returns whether an item had to go.
  bool MakeRoom(GossipKind kind);

  std::size_t m_max_items;
  std::map<std::string, Entry> m_entries;
};

}  // namespace chicoryvale

#endif  // CHICORYVALE_SRC_MEMBERSHIP_GOSSIP_STORE_H_
