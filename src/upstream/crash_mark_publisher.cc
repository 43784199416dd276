#include "upstream/crash_mark_publisher.h"

#include "upstream/crash_quarantine.h"
#include "upstream/gate_gossip_codec.h"

namespace chicoryvale {
namespace {

/// Time for which a published mark is kept.
constexpr std::uint32_t kCrashMarkLifetimeSeconds = 3600;

/// Maximum number of crashes in the payload of a published mark. Further ones
/// change no verdict.
constexpr std::size_t kMaxInPayload = 8;

}  // namespace

void CrashMarkPublisher::PublishChanges() {
  for (CrashMark& mark : m_quarantine->PopChanges()) {
    TrimCrashes(kMaxInPayload, &mark);
    m_gossip->Publish({GossipKind::kCrashMark,
                       std::to_string(mark.key.fingerprint) + "/" + m_self_id,
                       ++m_last_stamp, Encode(mark),
                       kCrashMarkLifetimeSeconds});
  }
}

std::optional<CrashMark> CrashMarkPublisher::DecodeItem(
    const GossipItem& item) {
  CrashMark mark;
  if (!Decode(item.payload, &mark)) return std::nullopt;
  return mark;
}

}  // namespace chicoryvale
