#ifndef CHICORYVALE_SRC_CONFIG_ROLLOUT_TRACKER_H_
#define CHICORYVALE_SRC_CONFIG_ROLLOUT_TRACKER_H_

#include <cstddef>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "base/ids.h"
#include "base/time.h"
#include "ports/control_group.h"
#include "ports/member_view.h"
#include "ports/peer_gossip.h"
#include "ports/peer_transport.h"
#include "ports/scheduler.h"

namespace chicoryvale {

/// Dependencies and settings of a RolloutTracker. The pointees outlive it.
struct RolloutOptions {
  Scheduler* scheduler = nullptr;
  const MemberView* members = nullptr;
  PeerGossip* gossip = nullptr;
  PeerTransport* transport = nullptr;
  /// Refresh requests the version of a member again if the last report is
  /// older.
  Duration max_version_age = seconds(2);
  Duration request_timeout = seconds(1);
  std::size_t max_requests_in_flight = 32;
};

/// Tracks the configuration version that each member last reported, and for
/// which members it is unknown. Not thread safe: used only on the event loop.
class RolloutTracker {
 public:
  /// Precondition: no pointer in `options` is null.
  explicit RolloutTracker(RolloutOptions options);
  RolloutTracker(const RolloutTracker&) = delete;
  RolloutTracker& operator=(const RolloutTracker&) = delete;

  /// Requests the versions of the live members without a recent report, with at
  /// most max_requests_in_flight requests at a time. Calls `done` after each
  /// request was answered or failed.
  void Refresh(std::function<void()> done);

  /// Returns all members except those that left. `reachable` means that the
  /// member is believed to be alive and has reported its version. A member that
  /// never reported has version 0 and the age Duration::max().
  [[nodiscard]] std::vector<NodeConfigStatus> Nodes() const;

 private:
  struct ReportedVersion {
    std::uint64_t version = 0;
    TimePoint received_at{};
  };
  struct Poll;

  [[nodiscard]] bool HasFreshVersion(const std::string& id) const;
  void RequestNextVersion(const std::shared_ptr<Poll>& poll);

  RolloutOptions m_options;
  std::map<std::string, ReportedVersion> m_reported_versions;
  /// Expires with this object, so that later callbacks do nothing.
  std::shared_ptr<int> m_alive = std::make_shared<int>(0);
};

}  // namespace chicoryvale

#endif  // CHICORYVALE_SRC_CONFIG_ROLLOUT_TRACKER_H_
