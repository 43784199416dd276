#ifndef CHICORYVALE_TESTS_FAKES_SHARED_GOSSIP_H_
#define CHICORYVALE_TESTS_FAKES_SHARED_GOSSIP_H_

#include <cstddef>
#include <utility>
#include <vector>

#include "ports/peer_gossip.h"

namespace chicoryvale {

/// Gossip that reaches all entries at once.
class SharedGossip : public PeerGossip {
 protected:
  void OnSetOwnDigest(const ConfigDigest& /*digest*/) override {}
  void OnAddDigestListener(DigestListener /*listener*/) override {}
  void OnPublish(const GossipItem& item) override {
    m_items.push_back(item);
    for (const ItemListener& listener : m_listeners) listener(item);
  }
  void OnAddItemListener(ItemListener listener) override {
    m_listeners.push_back(std::move(listener));
  }
  [[nodiscard]] std::vector<GossipItem> OnItems(
      GossipKind /*kind*/) const override {
    return m_items;
  }
  std::vector<MemberInfo> OnRandomPeers(std::size_t /*count*/) override {
    return {};
  }

 private:
  std::vector<ItemListener> m_listeners;
  std::vector<GossipItem> m_items;
};

}  // namespace chicoryvale

#endif  // CHICORYVALE_TESTS_FAKES_SHARED_GOSSIP_H_
