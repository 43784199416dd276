// The message handling of Membership: receiving, sending, joining and
// anti-entropy synchronization of the member list.

#include <algorithm>
#include <bit>
#include <utility>

#include "membership/membership.h"

namespace chicoryvale {
namespace {

// Maximum number of random live members to which an urgent item is sent
// directly. This usually covers all live members of a group of at most this
// size; in a larger group the receivers gossip the item further.
constexpr std::size_t kUrgentFanout = 64;

// Number of times that an urgent item is sent, so that the loss of a datagram
// does not delay it.
constexpr std::uint32_t kUrgentSendCount = 3;
constexpr Duration kUrgentSendInterval = milliseconds(5);

/// One in this many draws of peers for gossip and synchronization is over all
/// availability zones; the others are over the own zone. Traffic between zones
/// is expensive, and one packet brings an update into a zone, whose members
/// then gossip it to each other.
constexpr int kDrawsPerAnyZoneDraw = 4;

/// Maximum number of draws per peer to find a member of the own zone, which is
/// enough for a dozen zones.
constexpr std::size_t kOwnZoneDrawsPerPeer = 24;

/// Maximum size of the gossip items in a packet, which leaves space for member
/// updates.
constexpr std::size_t kMaxItemBytesPerPacket = 500;

/// Maximum number of expired grants in a packet.
constexpr std::size_t kMaxExpired = 8;

bool IsRequest(PacketType type) {
  return type == PacketType::kPing || type == PacketType::kSyncRequest ||
         type == PacketType::kLeaseRequest;
}

}  // namespace

void Membership::OnDatagram(const Address& from, const std::string& bytes) {
  Packet packet;
  if (!DecodePacket(bytes, &packet)) {
    return m_counters.Add(MembershipCounter::kMalformedPackets);
  }
  m_counters.Add(MembershipCounter::kPacketsReceived);
  if (packet.sender.info.id == m_self.info.id) {
    if (packet.sender.info != m_self.info) {
      m_counters.Add(MembershipCounter::kIdConflicts);
    }
    return;
  }
  UpdateSender(from, packet);
  for (const MemberUpdate& update : packet.updates) Apply(update);
  for (const GossipItem& item : packet.items) ApplyItem(item);
  Dispatch(from, packet);
  for (const DigestListener& listener : m_digest_listeners) {
    listener(packet.sender.info, packet.digest);
  }
}

void Membership::UpdateSender(const Address& from, const Packet& packet) {
  Apply({packet.sender, ""});
  const MemberTable::Record* known = m_table.Find(packet.sender.info.id);
  const bool accused = known->member.state > packet.sender.state &&
                       known->member.incarnation >= packet.sender.incarnation;
  // The response to a request carries the accusation, see SendTo.
  if (!accused || IsRequest(packet.type)) return;
  Packet accusation;
  accusation.updates.push_back({known->member, known->accuser});
  Transmit(from, std::move(accusation));
}

void Membership::Dispatch(const Address& from, const Packet& packet) {
  const MemberTable::Record* sender = m_table.Find(packet.sender.info.id);
  switch (packet.type) {
    case PacketType::kPing: {
      Packet ack;
      ack.type = PacketType::kAck;
      ack.sequence = packet.sequence;
      return SendTo(sender->member, std::move(ack));
    }
    case PacketType::kAck:
      return m_detector.OnAck(packet);
    case PacketType::kNack:
      return m_detector.OnNack(packet);
    case PacketType::kPingRequest:
      return m_detector.OnPingRequest(from, packet);
    case PacketType::kSyncRequest:
      return OnSyncRequest(from, packet);
    case PacketType::kSyncAnswer:
      return OnSyncAnswer(from, packet);
    case PacketType::kLeaseRequest:
      return m_lease.OnRequest(sender->member, packet);
    case PacketType::kLeaseGrant:
      return m_lease.OnGrant(packet);
    case PacketType::kLeaseRefusal:
      return m_lease.OnRefusal(packet);
    case PacketType::kGossip:
      return;
  }
}

void Membership::SendTo(const Member& to, Packet packet) {
  const MemberTable::Record* known = m_table.Find(to.info.id);
  // A member that is not believed alive must receive its record so that it can
  // refute it.
  if (known != nullptr && known->member.state != MemberState::kAlive) {
    packet.updates.push_back({known->member, known->accuser});
  }
  Transmit(to.info.address, std::move(packet));
}

void Membership::SendToAddress(const Address& to, Packet packet) {
  Transmit(to, std::move(packet));
}

void Membership::Transmit(const Address& to, Packet packet) {
  packet.sender = m_self;
  packet.digest = m_own_digest;
  if (packet.expired.size() > kMaxExpired) packet.expired.resize(kMaxExpired);
  PiggybackGossip(EncodePacket(packet).size(), &packet);
  std::string bytes = EncodePacket(packet);
  m_counters.Add(MembershipCounter::kPacketsSent);
  m_counters.Add(MembershipCounter::kBytesSent, bytes.size());
  m_options.transport->Send(to, std::move(bytes));
}

std::size_t Membership::RefillGossipBudget() {
  const TimePoint now = m_scheduler->Now();
  const double refill = ToSeconds(now - m_gossip_budget_refilled_at) *
                        static_cast<double>(m_options.gossip_bytes_per_second);
  m_gossip_budget_refilled_at = now;
  m_gossip_budget_bytes =
      std::min(m_gossip_budget_bytes + refill,
               static_cast<double>(m_options.gossip_burst_bytes));
  return static_cast<std::size_t>(m_gossip_budget_bytes);
}

void Membership::PiggybackGossip(std::size_t used_bytes, Packet* packet) {
  const TimePoint now = m_scheduler->Now();
  const std::size_t initial_bytes = used_bytes;
  const std::size_t limit =
      std::min(kMaxPacketBytes, used_bytes + RefillGossipBudget());
  const std::size_t item_limit =
      std::min(limit, used_bytes + kMaxItemBytesPerPacket);
  m_item_gossip.FillPacket(MaxSends(), [&](const std::string& key) {
    GossipItem item;
    if (!m_item_store.Find(key, now, &item)) return true;
    const std::size_t size = EncodedSize(item);
    if (used_bytes + size > item_limit) return false;
    used_bytes += size;
    packet->items.push_back(std::move(item));
    return true;
  });
  m_member_gossip.FillPacket(MaxSends(), [&](const std::string& id) {
    const MemberTable::Record* record = m_table.Find(id);
    // Each packet carries the record of its sender already.
    if (record == nullptr || id == m_self.info.id) return true;
    MemberUpdate update{record->member, record->accuser};
    const std::size_t size = EncodedSize(update);
    if (used_bytes + size > limit) return false;
    used_bytes += size;
    packet->updates.push_back(std::move(update));
    return true;
  });
  m_gossip_budget_bytes -= static_cast<double>(used_bytes - initial_bytes);
}

std::uint32_t Membership::MaxSends() const {
  return m_options.gossip_sends_factor *
         static_cast<std::uint32_t>(std::bit_width(GroupSize()));
}

void Membership::ScheduleGossip() {
  if (m_gossip_timer != 0) return;
  m_gossip_timer =
      m_scheduler->Schedule(Duration::zero(), [this] { GossipTick(); });
}

void Membership::GossipTick() {
  m_gossip_timer = 0;
  if (m_member_gossip.empty() && m_item_gossip.empty() &&
      m_digest_sends_left == 0) {
    return;
  }
  m_gossip_timer =
      m_scheduler->Schedule(m_options.gossip_period, [this] { GossipTick(); });
  const std::vector<Member> peers = ChooseGossipPeers(m_options.gossip_fanout);
  for (const Member& peer : peers) SendTo(peer, Packet{});
  const auto sent = static_cast<std::uint32_t>(peers.size());
  m_digest_sends_left -= std::min(m_digest_sends_left, sent);
}

std::vector<Member> Membership::ChooseGossipPeers(std::size_t count) {
  std::uniform_int_distribution<int> draw(1, kDrawsPerAnyZoneDraw);
  const auto any_member = [](const Member&) { return true; };
  const auto in_own_zone = [this](const Member& member) {
    return member.info.availability_zone == m_self.info.availability_zone;
  };
  if (draw(m_random) == kDrawsPerAnyZoneDraw) {
    return m_table.RandomLive(count, &m_random, any_member);
  }
  auto peers =
      m_table.RandomLive(count, &m_random, in_own_zone, kOwnZoneDrawsPerPeer);
  // The only member of a zone has to gossip with members of other zones.
  if (peers.empty()) peers = m_table.RandomLive(count, &m_random, any_member);
  return peers;
}

void Membership::SendUrgently(const GossipItem& item) {
  m_urgent_items.push_back({item, kUrgentSendCount});
  if (m_urgent_timer == 0) SendUrgentItems();
}

void Membership::SendUrgentItems() {
  m_urgent_timer = 0;
  const std::vector<Member> peers = m_table.RandomLive(
      kUrgentFanout, &m_random, [](const Member&) { return true; });
  for (UrgentItem& urgent : m_urgent_items) {
    for (const Member& peer : peers) {
      Packet packet;
      packet.items = {urgent.item};
      SendTo(peer, std::move(packet));
    }
    --urgent.sends_left;
  }
  std::erase_if(m_urgent_items, [](const UrgentItem& urgent) {
    return urgent.sends_left == 0;
  });
  if (m_urgent_items.empty()) return;
  m_urgent_timer =
      m_scheduler->Schedule(kUrgentSendInterval, [this] { SendUrgentItems(); });
}

void Membership::JoinTick() {
  const bool isolated = m_table.live_ids().empty() || !m_joined;
  m_join_timer = m_scheduler->Schedule(
      isolated ? m_options.join_period : m_options.rejoin_period,
      [this] { JoinTick(); });
  const auto is_self = [this](const Address& seed) {
    return seed == m_self.info.address;
  };
  // A seed that is not among the live members may belong to a partition of the
  // group that formed independently of this one.
  std::vector<Address> absent_seeds = m_options.seeds;
  std::erase_if(absent_seeds, [this, &is_self](const Address& seed) {
    if (is_self(seed)) return true;
    return m_joined &&
           std::ranges::any_of(m_table.records(), [&seed](const auto& entry) {
             return entry.second.live_index != MemberTable::kNotLive &&
                    entry.second.member.info.address == seed;
           });
  });
  // Without another seed, this process is the first member of the group.
  if (std::ranges::all_of(m_options.seeds, is_self)) m_joined = true;
  if (absent_seeds.empty()) return;
  std::uniform_int_distribution<std::size_t> index(0, absent_seeds.size() - 1);
  SendSyncRequest(absent_seeds[index(m_random)]);
}

void Membership::SyncTick() {
  m_sync_timer =
      m_scheduler->Schedule(m_options.sync_period, [this] { SyncTick(); });
  const TimePoint now = m_scheduler->Now();
  m_item_store.RemoveExpired(now);
  const std::size_t before = m_table.records().size();
  m_table.RemoveInactive(now - m_options.remove_after);
  m_counters.Add(MembershipCounter::kMembersForgotten,
                 before - m_table.records().size());
  const std::vector<Member> peers = ChooseGossipPeers(1);
  if (!peers.empty()) SendSyncRequest(peers.front().info.address);
  // Members that are believed dead are probed too. Otherwise two sides of a
  // healed network partition would never rejoin.
  const MemberTable::Record* dead = m_table.RandomDead(&m_random);
  if (dead == nullptr) return;
  Packet ping;
  ping.type = PacketType::kPing;
  SendTo(dead->member, std::move(ping));
}

void Membership::SendSyncRequest(const Address& to) {
  Packet request;
  request.type = PacketType::kSyncRequest;
  request.cursor = m_sync_cursor;
  request.sender = m_self;
  FillPage(m_sync_cursor, &request);
  m_item_cursor = m_item_store.NextKey(m_item_cursor);
  GossipItem item;
  if (m_item_store.Find(m_item_cursor, m_scheduler->Now(), &item) &&
      EncodePacket(request).size() + EncodedSize(item) <= kMaxPacketBytes) {
    request.items.push_back(std::move(item));
  }
  Transmit(to, std::move(request));
}

std::string Membership::FillPage(const std::string& cursor,
                                 Packet* packet) const {
  // Maximum size of the updates in a page, which leaves space in the packet for
  // its other fields and for gossip.
  constexpr std::size_t kPageBytes = 1000;
  std::size_t used_bytes = 0;
  const auto& records = m_table.records();
  for (auto entry = records.upper_bound(cursor); entry != records.end();
       ++entry) {
    const MemberUpdate update{entry->second.member, entry->second.accuser};
    used_bytes += EncodedSize(update);
    if (used_bytes > kPageBytes) return packet->updates.back().member.info.id;
    packet->updates.push_back(update);
  }
  return "";
}

void Membership::OnSyncRequest(const Address& from, const Packet& packet) {
  Packet answer;
  answer.type = PacketType::kSyncAnswer;
  answer.sequence = packet.sequence;
  answer.cursor = FillPage(packet.cursor, &answer);
  Transmit(from, std::move(answer));
}

void Membership::OnSyncAnswer(const Address& from, const Packet& packet) {
  m_sync_cursor = packet.cursor;
  if (!packet.cursor.empty()) {
    // A new member requests the remaining pages immediately.
    if (!m_joined) SendSyncRequest(from);
    return;
  }
  if (std::exchange(m_joined, true)) return;
  NotifyListeners();
}

}  // namespace chicoryvale
