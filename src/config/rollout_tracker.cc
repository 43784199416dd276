#include "config/rollout_tracker.h"

#include <algorithm>
#include <utility>

#include "config/distribution_message.h"

namespace chicoryvale {

/// A call of Refresh that has not finished.
struct RolloutTracker::Poll {
  std::vector<MemberInfo> pending;
  std::size_t in_flight = 0;
  std::function<void()> done;
};

RolloutTracker::RolloutTracker(RolloutOptions options) : m_options(options) {
  const std::weak_ptr<int> alive = m_alive;
  m_options.gossip->AddDigestListener([this, alive](
                                          const MemberInfo& from,
                                          const ConfigDigest& digest) {
    if (alive.expired()) return;
    m_reported_versions[from.id] = {digest.version, m_options.scheduler->Now()};
  });
}

bool RolloutTracker::HasFreshVersion(const std::string& id) const {
  const auto reported = m_reported_versions.find(id);
  return reported != m_reported_versions.end() &&
         m_options.scheduler->Now() - reported->second.received_at <
             m_options.max_version_age;
}

void RolloutTracker::Refresh(std::function<void()> done) {
  auto poll = std::make_shared<Poll>();
  poll->done = std::move(done);
  for (const Member& member : m_options.members->Members()) {
    if (member.state > MemberState::kSuspect ||
        HasFreshVersion(member.info.id) ||
        member.info.id == m_options.members->Self().id) {
      continue;
    }
    poll->pending.push_back(member.info);
  }
  if (poll->pending.empty()) return poll->done();
  const std::size_t initial_requests =
      std::min(poll->pending.size(), m_options.max_requests_in_flight);
  for (std::size_t i = 0; i < initial_requests; ++i) RequestNextVersion(poll);
}

void RolloutTracker::RequestNextVersion(const std::shared_ptr<Poll>& poll) {
  if (poll->pending.empty()) return;
  const MemberInfo member = std::move(poll->pending.back());
  poll->pending.pop_back();
  ++poll->in_flight;
  const std::weak_ptr<int> alive = m_alive;
  m_options.transport->Call(
      member.address, PeerChannel::kConfig, Encode(DistributionRequest{}),
      m_options.request_timeout,
      [this, alive, poll, id = member.id](const Result<std::string>& bytes) {
        if (alive.expired()) return;
        DistributionAnswer answer;
        if (bytes && Decode(*bytes, &answer)) {
          m_reported_versions[id] = {answer.digest.version,
                                     m_options.scheduler->Now()};
        }
        --poll->in_flight;
        RequestNextVersion(poll);
        if (poll->in_flight == 0) poll->done();
      });
}

std::vector<NodeConfigStatus> RolloutTracker::Nodes() const {
  std::vector<NodeConfigStatus> nodes;
  for (const Member& member : m_options.members->Members()) {
    if (member.state == MemberState::kLeft) continue;
    NodeConfigStatus node;
    node.address = member.info.address;
    node.role = kMemberRoleNames[static_cast<std::size_t>(member.info.role)];
    node.availability_zone = member.info.availability_zone;
    node.age = Duration::max();
    const auto reported = m_reported_versions.find(member.info.id);
    if (reported != m_reported_versions.end()) {
      node.version = reported->second.version;
      node.age = m_options.scheduler->Now() - reported->second.received_at;
      node.reachable = member.state == MemberState::kAlive;
    }
    nodes.push_back(std::move(node));
  }
  return nodes;
}

}  // namespace chicoryvale
