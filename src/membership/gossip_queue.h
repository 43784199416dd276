#ifndef CHICORYVALE_SRC_MEMBERSHIP_GOSSIP_QUEUE_H_
#define CHICORYVALE_SRC_MEMBERSHIP_GOSSIP_QUEUE_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <unordered_map>
#include <utility>

namespace chicoryvale {

/// Keys of the updates that are still to be gossiped, ordered by the number of
/// times that each has been sent. An update is dropped after a maximum number
/// of sends. Source: Das, Gupta and Motivala, "SWIM: Scalable
/// Weakly-consistent Infection-style Process Group Membership Protocol", 2002.
/// Not thread safe.
class GossipQueue {
 public:
  /// Returns whether the update of `key` was processed; false if it does not
  /// fit into the packet.
  using TryAdd = std::function<bool(const std::string& key)>;

  /// Adds `key`, or resets its number of sends to 0.
  void Push(const std::string& key);

  void Remove(const std::string& key);

  /// Calls `try_add` with the keys in order until it returns false, then drops
  /// the keys that have been sent `max_sends` times.
  void FillPacket(std::uint32_t max_sends, const TryAdd& try_add);

  [[nodiscard]] bool empty() const { return m_keys_by_priority.empty(); }
  [[nodiscard]] std::size_t size() const { return m_keys_by_priority.size(); }

 private:
  // Number of sends, then age. Lower values are sent first.
  using Priority = std::pair<std::uint32_t, std::uint64_t>;

  std::uint64_t m_last_sequence = 0;
  std::map<Priority, std::string> m_keys_by_priority;
  std::unordered_map<std::string, Priority> m_priorities;
};

}  // namespace chicoryvale

#endif  // CHICORYVALE_SRC_MEMBERSHIP_GOSSIP_QUEUE_H_
