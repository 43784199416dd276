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

/// What a RolloutTracker works with. The pointers outlive it.
struct RolloutOptions {
  Scheduler* scheduler = nullptr;
  const MemberView* members = nullptr;
  PeerGossip* gossip = nullptr;
  PeerTransport* transport = nullptr;
  /// A version heard longer ago than this is asked for again by Refresh.
  Duration max_version_age = seconds(2);
  Duration request_timeout = seconds(1);
  std::size_t max_requests_in_flight = 32;
};

/// Knows which version of the configuration each member was last heard to
/// have, and says what it does not know.
/// Not thread safe: used only on the event loop.
class RolloutTracker {
 public:
  /// All pointers in `options` are set.
  explicit RolloutTracker(RolloutOptions options);
  RolloutTracker(const RolloutTracker&) = delete;
  RolloutTracker& operator=(const RolloutTracker&) = delete;

  /// Asks the live members that were not heard of lately, a bounded number at
  /// once, and calls `done` when each has answered or failed.
  void Refresh(std::function<void()> done);

  /// Returns all members but those that left. `reachable` means that the
  /// member is believed alive and its version was heard; a version never heard
  /// is 0 with an age of Duration::max().
  [[nodiscard]] std::vector<NodeKnowledge> Nodes() const;

 private:
  struct Heard {
    std::uint64_t version = 0;
    TimePoint at{};
  };
  struct Poll;

  [[nodiscard]] bool IsFresh(const std::string& id) const;
  void AskNext(const std::shared_ptr<Poll>& poll);

  RolloutOptions m_options;
  std::map<std::string, Heard> m_heard;
  std::shared_ptr<int> m_alive = std::make_shared<int>(0);
};

}  // namespace chicoryvale

#endif  // CHICORYVALE_SRC_CONFIG_ROLLOUT_TRACKER_H_
