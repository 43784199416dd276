#include "membership/lease_keeper.h"

#include <algorithm>
#include <functional>
#include <utility>

namespace chicoryvale {
namespace {

/// Grants of members that are gone are kept for this many granter times.
constexpr int kGrantsKept = 10;

}  // namespace

LeaseKeeper::LeaseKeeper(LeaseOptions options, std::string self_id,
                         std::uint64_t epoch, Scheduler* scheduler,
                         LeaseHost* host)
    : m_options(options),
      m_self_id(std::move(self_id)),
      m_epoch(epoch),
      m_scheduler(scheduler),
      m_host(host) {}

LeaseKeeper::~LeaseKeeper() { m_scheduler->Cancel(m_timer); }

void LeaseKeeper::Start() {
  m_started = m_scheduler->Now();
  Renew();
}

bool LeaseKeeper::Held() const {
  const TimePoint now = m_scheduler->Now();
  return now < m_held_until && now >= m_settled_at;
}

void LeaseKeeper::Reset() {
  ++m_epoch;
  m_requests.clear();
  m_granted.clear();
  m_held_until = {};
  m_settled_at = TimePoint::max();
  NoteHeld();
}

void LeaseKeeper::Renew() {
  m_timer = m_scheduler->Schedule(m_options.renew_period, [this] { Renew(); });
  m_group = m_host->LeaseGroup();
  const std::vector<LapsedLease> lapsed = FindLapsed();
  m_sent = m_scheduler->Now();
  m_granted[m_self_id] = m_sent;
  m_requests[++m_sequence] = m_sent;
  const auto too_old = [this](const auto& entry) {
    return entry.second + m_options.holder_time < m_sent;
  };
  std::erase_if(m_requests, too_old);
  std::erase_if(m_granted, too_old);
  Settle();
  for (const Member& member : m_group) {
    Packet request;
    request.type = PacketType::kLeaseRequest;
    request.sequence = m_sequence;
    request.lease_epoch = m_epoch;
    request.lapsed = lapsed;
    m_host->SendTo(member, std::move(request));
  }
  CountGrants();
  CountVotes();
  NoteHeld();
}

void LeaseKeeper::Settle() {
  if (m_held_until <= m_sent) {
    m_settled_at = TimePoint::max();
  } else if (m_sent < m_settled_at && !m_host->AllHoldersSeen()) {
    m_settled_at = m_sent + m_options.settle_time;
  }
}

bool LeaseKeeper::IsQuorum(const std::set<std::string>& ids) const {
  std::string smallest = m_self_id;
  std::size_t present = ids.contains(m_self_id) ? 1 : 0;
  for (const Member& member : m_group) {
    if (ids.contains(member.info.id)) ++present;
    smallest = std::min(smallest, member.info.id);
  }
  const std::size_t size = m_group.size() + 1;
  return 2 * present > size || (2 * present == size && ids.contains(smallest));
}

void LeaseKeeper::CountGrants() {
  // The lease runs from the oldest request of the newest quorum.
  std::vector<std::pair<TimePoint, std::string>> newest_first;
  for (const auto& [id, sent] : m_granted) newest_first.emplace_back(sent, id);
  std::ranges::sort(newest_first, std::ranges::greater());
  std::set<std::string> granters;
  for (const auto& [sent, id] : newest_first) {
    granters.insert(id);
    if (!IsQuorum(granters)) continue;
    m_held_until = sent + m_options.holder_time;
    break;
  }
  const TimePoint now = m_scheduler->Now();
  if (now < m_held_until && m_settled_at == TimePoint::max()) {
    m_settled_at = now + m_options.settle_time;
  }
}

void LeaseKeeper::OnRequest(const Member& from, const Packet& packet) {
  const std::string& id = from.info.id;
  for (const LapsedLease& lapsed : packet.lapsed) {
    if (lapsed.id != m_self_id) m_votes[lapsed.id].insert(id);
  }
  Grant& grant = m_grants[id];
  Packet answer;
  answer.sequence = packet.sequence;
  answer.lease_epoch = packet.lease_epoch;
  if (grant.lapsed && packet.lease_epoch <= grant.epoch) {
    answer.type = PacketType::kLeaseRefusal;
    answer.lease_epoch = grant.epoch;
  } else {
    answer.type = PacketType::kLeaseGrant;
    grant.epoch = std::max(grant.epoch, packet.lease_epoch);
    grant.lapsed = false;
    grant.ends = m_scheduler->Now() + m_options.granter_time;
    m_votes.erase(id);
  }
  m_host->SendTo(from, std::move(answer));
}

void LeaseKeeper::OnGrant(const Packet& packet) {
  const auto request = m_requests.find(packet.sequence);
  if (request == m_requests.end() || packet.lease_epoch != m_epoch) return;
  TimePoint& granted = m_granted[packet.sender.info.id];
  granted = std::max(granted, request->second);
  CountGrants();
  NoteHeld();
}

void LeaseKeeper::OnRefusal(const Packet& packet) {
  if (packet.lease_epoch < m_epoch) return;
  m_epoch = packet.lease_epoch;
  Reset();
}

std::vector<LapsedLease> LeaseKeeper::FindLapsed() {
  const TimePoint now = m_scheduler->Now();
  std::vector<LapsedLease> lapsed;
  for (const Member& member : m_group) {
    Grant& grant = m_grants[member.info.id];
    // Grants of an earlier run of this process may still be in force.
    const TimePoint ends =
        std::max(grant.ends, m_started + m_options.granter_time);
    if (member.state != MemberState::kDead || now < ends) continue;
    grant.lapsed = true;
    m_votes[member.info.id].insert(m_self_id);
    lapsed.push_back({member.info.id, grant.epoch});
  }
  return lapsed;
}

void LeaseKeeper::CountVotes() {
  std::vector<std::string> expired;
  for (const Member& member : m_group) {
    const auto votes = m_votes.find(member.info.id);
    if (votes == m_votes.end() || member.state != MemberState::kDead) continue;
    if (IsQuorum(votes->second)) expired.push_back(member.info.id);
  }
  for (const std::string& id : expired) {
    m_votes.erase(id);
    m_host->OnLeaseExpired(id);
  }
  const auto gone = [this](const auto& entry) {
    return std::ranges::none_of(m_group, [&entry](const Member& member) {
      return member.info.id == entry.first;
    });
  };
  std::erase_if(m_votes, gone);
  const TimePoint oldest =
      m_scheduler->Now() - kGrantsKept * m_options.granter_time;
  std::erase_if(m_grants, [&gone, oldest](const auto& entry) {
    return gone(entry) && entry.second.ends < oldest;
  });
}

void LeaseKeeper::NoteHeld() {
  const bool held = Held();
  if (held == m_reported_held) return;
  m_reported_held = held;
  m_host->OnOwnLeaseChanged();
}

}  // namespace chicoryvale
