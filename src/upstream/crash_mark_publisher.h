#ifndef CHICORYVALE_SRC_UPSTREAM_CRASH_MARK_PUBLISHER_H_
#define CHICORYVALE_SRC_UPSTREAM_CRASH_MARK_PUBLISHER_H_

#include <cstdint>
#include <optional>
#include <string>
#include <utility>

#include "ports/peer_gossip.h"
#include "upstream/crash_mark.h"

namespace chicoryvale {

class CrashQuarantine;

/// Publishes the changed crash marks of a quarantine to the other entries. Each
/// entry publishes under its own key, because two entries may have lost
/// different upstreams to the same request. Not thread safe.
class CrashMarkPublisher {
 public:
  /// The pointers must outlive the object. `self_id` identifies this entry.
  CrashMarkPublisher(CrashQuarantine* quarantine, PeerGossip* gossip,
                     std::string self_id)
      : m_quarantine(quarantine),
        m_gossip(gossip),
        m_self_id(std::move(self_id)) {}

  /// Publishes the marks that have changed since the last call.
  void PublishChanges();

  /// Returns the mark in a gossip item of kind kCrashMark, or nothing if it
  /// can't be decoded.
  static std::optional<CrashMark> DecodeItem(const GossipItem& item);

 private:
  CrashQuarantine* m_quarantine;
  PeerGossip* m_gossip;
  std::string m_self_id;
  std::uint64_t m_last_stamp = 0;
};

}  // namespace chicoryvale

#endif  // CHICORYVALE_SRC_UPSTREAM_CRASH_MARK_PUBLISHER_H_
