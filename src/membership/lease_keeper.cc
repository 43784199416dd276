#include "membership/lease_keeper.h"

#include <algorithm>
#include <functional>
#include <utility>

namespace chicoryvale {
namespace {

/// The grants of a member that left the lease group are kept for this many
/// times the granter duration.
constexpr int kGrantRetentionFactor = 10;

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
  m_started_at = m_scheduler->Now();
  Renew();
}

bool LeaseKeeper::IsHeld() const {
  const TimePoint now = m_scheduler->Now();
  return now < m_held_until && now >= m_settled_at;
}

void LeaseKeeper::Reset() {
  ++m_epoch;
  m_sent_at.clear();
  m_granted.clear();
  m_held_until = {};
  m_settled_at = TimePoint::max();
  NotifyIfHeldChanged();
}

void LeaseKeeper::Renew() {
  m_timer = m_scheduler->Schedule(m_options.renew_period, [this] { Renew(); });
  m_lease_group = m_host->LeaseGroup();
  const std::vector<ExpiredGrant> expired_grants = FindExpiredGrants();
  m_last_sent_at = m_scheduler->Now();
  m_granted[m_self_id] = m_last_sent_at;
  m_sent_at[++m_last_sequence] = m_last_sent_at;
  const auto too_old = [this](const auto& entry) {
    return entry.second + m_options.holder_duration < m_last_sent_at;
  };
  std::erase_if(m_sent_at, too_old);
  std::erase_if(m_granted, too_old);
  UpdateSettledAt();
  for (const Member& member : m_lease_group) {
    Packet request;
    request.type = PacketType::kLeaseRequest;
    request.sequence = m_last_sequence;
    request.lease_epoch = m_epoch;
    request.expired = expired_grants;
    m_host->SendTo(member, std::move(request));
  }
  UpdateHeldUntil();
  ReportExpiredLeases();
  NotifyIfHeldChanged();
}

void LeaseKeeper::UpdateSettledAt() {
  if (m_held_until <= m_last_sent_at) {
    m_settled_at = TimePoint::max();
  } else if (m_last_sent_at < m_settled_at &&
             !m_host->AreAllShareHoldersReachable()) {
    m_settled_at = m_last_sent_at + m_options.settle_duration;
  }
}

bool LeaseKeeper::IsQuorum(const std::set<std::string>& ids) const {
  std::string smallest_id = m_self_id;
  std::size_t vote_count = ids.contains(m_self_id) ? 1 : 0;
  for (const Member& member : m_lease_group) {
    if (ids.contains(member.info.id)) ++vote_count;
    smallest_id = std::min(smallest_id, member.info.id);
  }
  const std::size_t size = m_lease_group.size() + 1;
  return 2 * vote_count > size ||
         (2 * vote_count == size && ids.contains(smallest_id));
}

void LeaseKeeper::UpdateHeldUntil() {
  // The lease is counted from the oldest request in the most recent quorum.
  std::vector<std::pair<TimePoint, std::string>> newest_first;
  for (const auto& [id, sent] : m_granted) newest_first.emplace_back(sent, id);
  std::ranges::sort(newest_first, std::ranges::greater());
  std::set<std::string> granters;
  for (const auto& [sent, id] : newest_first) {
    granters.insert(id);
    if (!IsQuorum(granters)) continue;
    m_held_until = sent + m_options.holder_duration;
    break;
  }
  const TimePoint now = m_scheduler->Now();
  if (now < m_held_until && m_settled_at == TimePoint::max()) {
    m_settled_at = now + m_options.settle_duration;
  }
}

void LeaseKeeper::OnRequest(const Member& from, const Packet& packet) {
  const std::string& id = from.info.id;
  for (const ExpiredGrant& expired : packet.expired) {
    if (expired.holder_id != m_self_id) m_votes[expired.holder_id].insert(id);
  }
  Grant& grant = m_issued_grants[id];
  Packet answer;
  answer.sequence = packet.sequence;
  answer.lease_epoch = packet.lease_epoch;
  if (grant.reported_expired && packet.lease_epoch <= grant.epoch) {
    answer.type = PacketType::kLeaseRefusal;
    answer.lease_epoch = grant.epoch;
  } else {
    answer.type = PacketType::kLeaseGrant;
    grant.epoch = std::max(grant.epoch, packet.lease_epoch);
    grant.reported_expired = false;
    grant.expires_at = m_scheduler->Now() + m_options.granter_duration;
    m_votes.erase(id);
  }
  m_host->SendTo(from, std::move(answer));
}

void LeaseKeeper::OnGrant(const Packet& packet) {
  const auto request = m_sent_at.find(packet.sequence);
  if (request == m_sent_at.end() || packet.lease_epoch != m_epoch) return;
  TimePoint& granted = m_granted[packet.sender.info.id];
  granted = std::max(granted, request->second);
  UpdateHeldUntil();
  NotifyIfHeldChanged();
}

void LeaseKeeper::OnRefusal(const Packet& packet) {
  if (packet.lease_epoch < m_epoch) return;
  m_epoch = packet.lease_epoch;
  Reset();
}

std::vector<ExpiredGrant> LeaseKeeper::FindExpiredGrants() {
  const TimePoint now = m_scheduler->Now();
  std::vector<ExpiredGrant> expired_grants;
  for (const Member& member : m_lease_group) {
    Grant& grant = m_issued_grants[member.info.id];
    // Grants that an earlier run of this process issued may still be in force.
    const TimePoint expires_at =
        std::max(grant.expires_at, m_started_at + m_options.granter_duration);
    if (member.state != MemberState::kDead || now < expires_at) continue;
    grant.reported_expired = true;
    m_votes[member.info.id].insert(m_self_id);
    expired_grants.push_back({member.info.id, grant.epoch});
  }
  return expired_grants;
}

void LeaseKeeper::ReportExpiredLeases() {
  std::vector<std::string> expired_ids;
  for (const Member& member : m_lease_group) {
    const auto votes = m_votes.find(member.info.id);
    if (votes == m_votes.end() || member.state != MemberState::kDead) continue;
    if (IsQuorum(votes->second)) expired_ids.push_back(member.info.id);
  }
  for (const std::string& id : expired_ids) {
    m_votes.erase(id);
    m_host->OnLeaseExpired(id);
  }
  const auto left_group = [this](const auto& entry) {
    return std::ranges::none_of(m_lease_group, [&entry](const Member& member) {
      return member.info.id == entry.first;
    });
  };
  std::erase_if(m_votes, left_group);
  const TimePoint oldest_kept =
      m_scheduler->Now() - kGrantRetentionFactor * m_options.granter_duration;
  std::erase_if(m_issued_grants, [&left_group, oldest_kept](const auto& entry) {
    return left_group(entry) && entry.second.expires_at < oldest_kept;
  });
}

void LeaseKeeper::NotifyIfHeldChanged() {
  const bool held = IsHeld();
  if (held == m_notified_held) return;
  m_notified_held = held;
  m_host->OnOwnLeaseChanged();
}

}  // namespace chicoryvale
