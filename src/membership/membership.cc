#include "membership/membership.h"

#include <algorithm>
#include <bit>
#include <utility>

#include "base/hash.h"

namespace chicoryvale {
namespace {

bool IsValidSelf(const MemberInfo& self) {
  const auto is_valid = [](const std::string& name) {
    return !name.empty() && name.size() <= kMaxMemberNameBytes;
  };
  return is_valid(self.id) && is_valid(self.address.host_port) &&
         is_valid(self.availability_zone);
}

}  // namespace

Result<std::unique_ptr<Membership>> Membership::Make(
    MembershipOptions options) {
  if (!IsValidSelf(options.self)) {
    return MakeError(ErrorKind::kMalformedRequest,
                     "a member needs an id, an address and a zone of 1 to 64 "
                     "bytes each");
  }
  if (options.scheduler == nullptr || options.transport == nullptr ||
      options.lease.groups_per_zone == 0) {
    return MakeError(ErrorKind::kMalformedRequest,
                     "a member needs a scheduler, a transport and at least "
                     "one lease group in each zone");
  }
  return std::unique_ptr<Membership>(new Membership(std::move(options)));
}

Membership::Membership(MembershipOptions options)
    : m_options(std::move(options)),
      m_scheduler(m_options.scheduler),
      m_random(m_options.random_seed),
      m_self{m_options.self, MemberState::kAlive, m_options.incarnation},
      m_table(m_self.info.id),
      m_item_store(m_options.max_items_per_kind),
      m_gossip_budget_bytes(static_cast<double>(m_options.gossip_burst_bytes)),
      m_gossip_budget_refilled_at(m_scheduler->Now()),
      m_detector(m_options.detector, m_scheduler, this),
      m_lease(m_options.lease, m_self.info.id, m_options.incarnation,
              m_scheduler, this) {}

Membership::~Membership() {
  m_options.transport->SetReceiver(
      [](const Address&, const std::string&) {});  // NOLINT
  for (const TimerId timer : {m_join_timer, m_sync_timer, m_gossip_timer,
                              m_notify_timer, m_urgent_timer}) {
    m_scheduler->Cancel(timer);
  }
}

void Membership::Start() {
  m_options.transport->SetReceiver(
      [this](const Address& from, const std::string& bytes) {
        OnDatagram(from, bytes);
      });
  Announce(MemberState::kAlive);
  // A random delay keeps members that start together from probing in lockstep.
  std::uniform_int_distribution<Duration::rep> delay(
      0, m_options.detector.probe_period.count());
  m_detector.Start(Duration(delay(m_random)));
  const bool has_share = m_self.info.role == MemberRole::kEntry;
  if (has_share && m_options.keeps_lease) m_lease.Start();
  m_sync_timer =
      m_scheduler->Schedule(m_options.sync_period + Duration(delay(m_random)),
                            [this] { SyncTick(); });
  JoinTick();
}

void Membership::Leave() {
  m_leaving = true;
  Announce(MemberState::kLeft);
}

const Member* Membership::Find(const std::string& id) const {
  const MemberTable::Record* record = m_table.Find(id);
  return record == nullptr ? nullptr : &record->member;
}

std::vector<Member> Membership::OnMembers() const {
  std::vector<Member> members;
  members.reserve(m_table.records().size());
  for (const auto& [id, record] : m_table.records()) {
    members.push_back(record.member);
  }
  return members;
}

const MemberInfo& Membership::OnSelf() const { return m_self.info; }

bool Membership::OnOwnLeaseHeld() const {
  return !m_leaving && m_lease.IsHeld();
}

void Membership::OnAddListener(Listener listener) {
  m_listeners.push_back(std::move(listener));
}

void Membership::OnSetOwnDigest(const ConfigDigest& digest) {
  m_own_digest = digest;
  m_digest_sends_left = MaxSends();
  ScheduleGossip();
}

void Membership::OnAddDigestListener(DigestListener listener) {
  m_digest_listeners.push_back(std::move(listener));
}

void Membership::OnPublish(const GossipItem& item) {
  ApplyItem(item);
  const bool is_urgent = item.kind != GossipKind::kAvailabilitySignal;
  if (is_urgent) SendUrgently(item);
}

void Membership::OnAddItemListener(ItemListener listener) {
  m_item_listeners.push_back(std::move(listener));
}

std::vector<GossipItem> Membership::OnItems(GossipKind kind) const {
  return m_item_store.Items(kind);
}

std::vector<MemberInfo> Membership::OnRandomPeers(std::size_t count) {
  std::vector<MemberInfo> peers;
  const std::vector<Member> members =
      m_table.RandomLive(count, &m_random, [](const Member&) { return true; });
  peers.reserve(members.size());
  for (const Member& member : members) peers.push_back(member.info);
  return peers;
}

std::optional<Member> Membership::NextProbeTarget() {
  if (m_probe_round.empty()) {
    m_probe_round = m_table.live_ids();
    std::ranges::shuffle(m_probe_round, m_random);
  }
  while (!m_probe_round.empty()) {
    const MemberTable::Record* record = m_table.Find(m_probe_round.back());
    m_probe_round.pop_back();
    if (record != nullptr && record->live_index != MemberTable::kNotLive) {
      return record->member;
    }
  }
  return std::nullopt;
}

std::vector<Member> Membership::ChooseHelpers(std::size_t count,
                                              const std::string& excluded_id) {
  return m_table.RandomLive(count, &m_random,
                            [&excluded_id](const Member& member) {
                              return member.info.id != excluded_id &&
                                     member.state == MemberState::kAlive;
                            });
}

std::size_t Membership::GroupSize() const {
  return m_table.live_ids().size() + 1;
}

void Membership::OnProbeFailed(const Member& target) {
  m_counters.Add(MembershipCounter::kProbesFailed);
  const MemberTable::Record* record = m_table.Find(target.info.id);
  if (record == nullptr || record->member.incarnation != target.incarnation) {
    return;
  }
  Member suspect = record->member;
  if (suspect.state > MemberState::kSuspect) return;
  suspect.state = MemberState::kSuspect;
  Apply({suspect, m_self.info.id});
}

void Membership::OnSuspicionTimeout(const std::string& id) {
  m_counters.Add(MembershipCounter::kDeclaredDead);
  ApplyState(id, MemberState::kDead);
}

std::uint32_t Membership::LeaseGroupOf(const std::string& id) const {
  return static_cast<std::uint32_t>(HashBytes(id) %
                                    m_options.lease.groups_per_zone);
}

std::vector<Member> Membership::LeaseGroup() const {
  const std::uint32_t own_group = LeaseGroupOf(m_self.info.id);
  std::vector<Member> group;
  for (const auto& [id, record] : m_table.records()) {
    const Member& member = record.member;
    if (id != m_self.info.id && OwnsConnectionShare(member.state) &&
        member.info.role == MemberRole::kEntry &&
        member.info.availability_zone == m_self.info.availability_zone &&
        LeaseGroupOf(id) == own_group) {
      group.push_back(member);
    }
  }
  return group;
}

bool Membership::AreAllShareHoldersReachable() const {
  return m_joined && KnowsMajorityOfSeeds() &&
         std::ranges::none_of(m_table.records(), [](const auto& entry) {
           return entry.second.member.state == MemberState::kDead;
         });
}

bool Membership::KnowsMajorityOfSeeds() const {
  const auto known =
      std::ranges::count_if(m_options.seeds, [this](const Address& seed) {
        return std::ranges::any_of(m_table.records(), [&](const auto& entry) {
          return entry.second.member.info.address == seed;
        });
      });
  return m_options.seeds.empty() ||
         2 * static_cast<std::size_t>(known) > m_options.seeds.size();
}

void Membership::OnLeaseExpired(const std::string& id) {
  m_counters.Add(MembershipCounter::kLeasesExpired);
  ApplyState(id, MemberState::kLeaseExpired);
}

void Membership::OnOwnLeaseChanged() {
  if (!m_lease.IsHeld()) m_counters.Add(MembershipCounter::kOwnLeaseLost);
  NotifyListeners();
}

void Membership::ApplyState(const std::string& id, MemberState state) {
  const MemberTable::Record* record = m_table.Find(id);
  if (record == nullptr) return;
  Member member = record->member;
  member.state = state;
  Apply({member, ""});
}

void Membership::Apply(const MemberUpdate& update) {
  const std::string& id = update.member.info.id;
  if (id == m_self.info.id) return ApplyToSelf(update.member);
  const MemberTable::MergeResult result =
      m_table.Merge(update, m_scheduler->Now());
  if (result == MemberTable::MergeResult::kUnchanged) return;
  if (update.member.state == MemberState::kSuspect) {
    if (result == MemberTable::MergeResult::kChanged) {
      m_counters.Add(MembershipCounter::kSuspected);
      m_detector.ClearSuspicion(id);
    }
    if (!m_detector.Suspect(id, update.accuser)) return;
  } else {
    m_detector.ClearSuspicion(id);
  }
  m_member_gossip.Push(id);
  ScheduleGossip();
  if (result == MemberTable::MergeResult::kChanged) NotifyListeners();
}

void Membership::ApplyToSelf(const Member& update) {
  if (update.incarnation < m_self.incarnation) return;
  if (update.info != m_self.info) {
    m_counters.Add(MembershipCounter::kIdConflicts);
  }
  const bool same_state =
      update.incarnation == m_self.incarnation && update.state <= m_self.state;
  if (same_state && update.info == m_self.info) return;
  m_counters.Add(MembershipCounter::kRefuted);
  m_self.incarnation = update.incarnation + 1;
  if (update.state == MemberState::kLeaseExpired) {
    m_lease.Reset();
  } else if (update.state == MemberState::kSuspect) {
    m_detector.OnRefuted();
  }
  Announce(m_self.state);
}

void Membership::Announce(MemberState state) {
  m_self.state = state;
  m_table.Merge({m_self, ""}, m_scheduler->Now());
  m_member_gossip.Push(m_self.info.id);
  ScheduleGossip();
  NotifyListeners();
}

void Membership::ApplyItem(const GossipItem& item) {
  const GossipStore::MergeResult result =
      m_item_store.Merge(item, m_scheduler->Now());
  if (result == GossipStore::MergeResult::kUnchanged ||
      result == GossipStore::MergeResult::kExpired) {
    return;
  }
  if (result == GossipStore::MergeResult::kMergedAndEvicted) {
    m_counters.Add(MembershipCounter::kItemsEvicted);
  }
  m_item_gossip.Push(GossipStore::KeyOf(item));
  ScheduleGossip();
  for (const ItemListener& listener : m_item_listeners) listener(item);
}

void Membership::NotifyListeners() {
  if (m_notify_timer != 0 || m_listeners.empty()) return;
  m_notify_timer = m_scheduler->Schedule(Duration::zero(), [this] {
    m_notify_timer = 0;
    for (const Listener& listener : m_listeners) listener();
  });
}

}  // namespace chicoryvale
