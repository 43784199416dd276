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

/// Keys of the news that still have to be sent, those sent least often first;
/// each is dropped after a number of sends. Source: Das, Gupta and Motivala,
/// "SWIM: Scalable Weakly-consistent Infection-style Process Group Membership
/// Protocol", 2002. Not thread safe.
class GossipQueue {
 public:
  /// Returns whether the news of `key` was put into a packet.
  using Take = std::function<bool(const std::string& key)>;

  /// Adds `key`, or starts its count of sends again.
  void Push(const std::string& key);

  void Remove(const std::string& key);

  /// Offers the keys to `take` until it refuses one, then forgets those that
  /// were sent `max_sends` times.
  void Fill(std::uint32_t max_sends, const Take& take);

  [[nodiscard]] bool empty() const { return m_order.empty(); }
  [[nodiscard]] std::size_t size() const { return m_order.size(); }

 private:
  // Number of sends, then age.
  using Position = std::pair<std::uint32_t, std::uint64_t>;

  std::uint64_t m_last_number = 0;
  std::map<Position, std::string> m_order;
  std::unordered_map<std::string, Position> m_positions;
};

}  // namespace chicoryvale

#endif  // CHICORYVALE_SRC_MEMBERSHIP_GOSSIP_QUEUE_H_
