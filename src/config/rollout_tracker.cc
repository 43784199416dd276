#include "config/rollout_tracker.h"

#include <algorithm>
#include <utility>

#include "config/distribution_message.h"

namespace chicoryvale {

/// One Refresh that goes on.
struct RolloutTracker::Poll {
  std::vector<MemberInfo> waiting;
  std::size_t open = 0;
  std::function<void()> done;
};

RolloutTracker::RolloutTracker(RolloutOptions options) : m_options(options) {
  const std::weak_ptr<int> alive = m_alive;
  m_options.gossip->AddDigestListener(
      [this, alive](const MemberInfo& from, const ConfigDigest& digest) {
        if (alive.expired()) return;
        m_heard[from.id] = {digest.version, m_options.scheduler->Now()};
      });
}

bool RolloutTracker::IsFresh(const std::string& id) const {
  const auto heard = m_heard.find(id);
  return heard != m_heard.end() &&
         m_options.scheduler->Now() - heard->second.at <
             m_options.max_version_age;
}

void RolloutTracker::Refresh(std::function<void()> done) {
  auto poll = std::make_shared<Poll>();
  poll->done = std::move(done);
  for (const Member& member : m_options.members->Members()) {
    if (member.state > MemberState::kSuspect || IsFresh(member.info.id) ||
        member.info.id == m_options.members->Self().id) {
      continue;
    }
    poll->waiting.push_back(member.info);
  }
  if (poll->waiting.empty()) return poll->done();
  const std::size_t first =
      std::min(poll->waiting.size(), m_options.max_requests_in_flight);
  for (std::size_t i = 0; i < first; ++i) AskNext(poll);
}

void RolloutTracker::AskNext(const std::shared_ptr<Poll>& poll) {
  if (poll->waiting.empty()) return;
  const MemberInfo member = std::move(poll->waiting.back());
  poll->waiting.pop_back();
  ++poll->open;
  const std::weak_ptr<int> alive = m_alive;
  m_options.transport->Call(
      member.address, PeerChannel::kConfig, Encode(DistributionRequest{}),
      m_options.request_timeout,
      [this, alive, poll, id = member.id](const Result<std::string>& bytes) {
        if (alive.expired()) return;
        DistributionAnswer answer;
        if (bytes && Decode(*bytes, &answer)) {
          m_heard[id] = {answer.have.version, m_options.scheduler->Now()};
        }
        --poll->open;
        AskNext(poll);
        if (poll->open == 0) poll->done();
      });
}

std::vector<NodeKnowledge> RolloutTracker::Nodes() const {
  std::vector<NodeKnowledge> nodes;
  for (const Member& member : m_options.members->Members()) {
    if (member.state == MemberState::kLeft) continue;
    NodeKnowledge node;
    node.address = member.info.address;
    node.role = kMemberRoleNames[static_cast<std::size_t>(member.info.role)];
    node.availability_zone = member.info.availability_zone;
    node.age = Duration::max();
    const auto heard = m_heard.find(member.info.id);
    if (heard != m_heard.end()) {
      node.version = heard->second.version;
      node.age = m_options.scheduler->Now() - heard->second.at;
      node.reachable = member.state == MemberState::kAlive;
    }
    nodes.push_back(std::move(node));
  }
  return nodes;
}

}  // namespace chicoryvale
