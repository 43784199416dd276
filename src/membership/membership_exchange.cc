// The messages of Membership: receiving, sending, joining, comparing lists.

#include <algorithm>
#include <bit>
#include <utility>

#include "membership/membership.h"

namespace chicoryvale {
namespace {

// Members that an urgent item is sent to at once: all, in a group of today's
// size. In a larger one these pass it on.
constexpr std::size_t kUrgentFanout = 64;

// Times that an urgent item is sent, so that a lost datagram does not hide it.
constexpr std::uint32_t kUrgentSends = 3;
constexpr Duration kUrgentPause = milliseconds(5);

/// Of the peers drawn for gossip and for comparing lists, one in this many may
/// be of any zone; the others are of the own one. Bytes between zones are dear,
/// and one packet brings a zone the news that its members then pass on.
constexpr int kAnyZoneEach = 4;

/// Draws until a member of the own zone is found: enough for a dozen zones.
constexpr std::size_t kNearTries = 24;

/// Bytes that gossip items may take of a packet while members' news waits.
constexpr std::size_t kItemBytes = 500;

/// Longest lists of lapsed leases in a packet.
constexpr std::size_t kMaxLapsed = 8;

bool IsQuestion(PacketType type) {
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
  NoteSender(from, packet);
  for (const MemberUpdate& update : packet.updates) Apply(update);
  for (const GossipItem& item : packet.items) ApplyItem(item);
  Dispatch(from, packet);
  for (const DigestListener& listener : m_digest_listeners) {
    listener(packet.sender.info, packet.digest);
  }
}

void Membership::NoteSender(const Address& from, const Packet& packet) {
  Apply({packet.sender, ""});
  const MemberTable::Record* known = m_table.Find(packet.sender.info.id);
  const bool accused = known->member.state > packet.sender.state &&
                       known->member.incarnation >= packet.sender.incarnation;
  // An answer carries the accusation itself.
  if (!accused || IsQuestion(packet.type)) return;
  Packet news;
  news.updates.push_back({known->member, known->accuser});
  Transmit(from, std::move(news));
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
  // A member that is not believed alive has to hear of it, to refute.
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
  packet.digest = m_digest;
  if (packet.lapsed.size() > kMaxLapsed) packet.lapsed.resize(kMaxLapsed);
  FillNews(EncodePacket(packet).size(), &packet);
  std::string bytes = EncodePacket(packet);
  m_counters.Add(MembershipCounter::kPacketsSent);
  m_counters.Add(MembershipCounter::kBytesSent, bytes.size());
  m_options.transport->Send(to, std::move(bytes));
}

std::size_t Membership::RefillNewsBudget() {
  const TimePoint now = m_scheduler->Now();
  const double refill = ToSeconds(now - m_news_refilled) *
                        static_cast<double>(m_options.news_bytes_per_second);
  m_news_refilled = now;
  m_news_budget_bytes =
      std::min(m_news_budget_bytes + refill,
               static_cast<double>(m_options.news_burst_bytes));
  return static_cast<std::size_t>(m_news_budget_bytes);
}

void Membership::FillNews(std::size_t used, Packet* packet) {
  const TimePoint now = m_scheduler->Now();
  const std::size_t before = used;
  const std::size_t limit =
      std::min(kMaxPacketBytes, used + RefillNewsBudget());
  const std::size_t item_limit = std::min(limit, used + kItemBytes);
  m_item_news.Fill(MaxSends(), [&](const std::string& key) {
    GossipItem item;
    if (!m_items.Find(key, now, &item)) return true;
    const std::size_t size = EncodedSize(item);
    if (used + size > item_limit) return false;
    used += size;
    packet->items.push_back(std::move(item));
    return true;
  });
  m_member_news.Fill(MaxSends(), [&](const std::string& id) {
    const MemberTable::Record* record = m_table.Find(id);
    // The sender's own record is in each packet.
    if (record == nullptr || id == m_self.info.id) return true;
    MemberUpdate update{record->member, record->accuser};
    const std::size_t size = EncodedSize(update);
    if (used + size > limit) return false;
    used += size;
    packet->updates.push_back(std::move(update));
    return true;
  });
  m_news_budget_bytes -= static_cast<double>(used - before);
}

std::uint32_t Membership::MaxSends() const {
  return m_options.sends_factor *
         static_cast<std::uint32_t>(std::bit_width(GroupSize()));
}

void Membership::NoteNews() {
  if (m_gossip_timer != 0) return;
  m_gossip_timer =
      m_scheduler->Schedule(Duration::zero(), [this] { GossipTick(); });
}

void Membership::GossipTick() {
  m_gossip_timer = 0;
  if (m_member_news.empty() && m_item_news.empty() && m_digest_sends == 0) {
    return;
  }
  m_gossip_timer =
      m_scheduler->Schedule(m_options.gossip_period, [this] { GossipTick(); });
  const std::vector<Member> peers = NearPeers(m_options.gossip_fanout);
  for (const Member& peer : peers) SendTo(peer, Packet{});
  const auto sent = static_cast<std::uint32_t>(peers.size());
  m_digest_sends -= std::min(m_digest_sends, sent);
}

std::vector<Member> Membership::NearPeers(std::size_t count) {
  std::uniform_int_distribution<int> draw(1, kAnyZoneEach);
  const auto any = [](const Member&) { return true; };
  const auto near = [this](const Member& member) {
    return member.info.availability_zone == m_self.info.availability_zone;
  };
  if (draw(m_random) == kAnyZoneEach) {
    return m_table.RandomLive(count, &m_random, any);
  }
  auto peers = m_table.RandomLive(count, &m_random, near, kNearTries);
  // The only member of a zone depends on the others.
  if (peers.empty()) peers = m_table.RandomLive(count, &m_random, any);
  return peers;
}

void Membership::SendAtOnce(const GossipItem& item) {
  m_urgent.push_back({item, kUrgentSends});
  if (m_urgent_timer == 0) UrgentTick();
}

void Membership::UrgentTick() {
  m_urgent_timer = 0;
  const std::vector<Member> peers = m_table.RandomLive(
      kUrgentFanout, &m_random, [](const Member&) { return true; });
  for (UrgentItem& urgent : m_urgent) {
    for (const Member& peer : peers) {
      Packet packet;
      packet.items = {urgent.item};
      SendTo(peer, std::move(packet));
    }
    --urgent.sends_left;
  }
  std::erase_if(m_urgent, [](const UrgentItem& urgent) {
    return urgent.sends_left == 0;
  });
  if (m_urgent.empty()) return;
  m_urgent_timer =
      m_scheduler->Schedule(kUrgentPause, [this] { UrgentTick(); });
}

void Membership::JoinTick() {
  const bool alone = m_table.live().empty() || !m_joined;
  m_join_timer = m_scheduler->Schedule(
      alone ? m_options.join_period : m_options.join_period * 10,
      [this] { JoinTick(); });
  const auto is_self = [this](const Address& seed) {
    return seed == m_self.info.address;
  };
  // A seed that is not among the live members may be in another part of the
  // group, which formed apart from this one.
  std::vector<Address> absent = m_options.seeds;
  std::erase_if(absent, [this, &is_self](const Address& seed) {
    if (is_self(seed)) return true;
    return m_joined &&
           std::ranges::any_of(m_table.records(), [&seed](const auto& entry) {
             return entry.second.live_index != MemberTable::kNotLive &&
                    entry.second.member.info.address == seed;
           });
  });
  // The first member of a group has nobody to join.
  if (std::ranges::all_of(m_options.seeds, is_self)) m_joined = true;
  if (absent.empty()) return;
  std::uniform_int_distribution<std::size_t> index(0, absent.size() - 1);
  SendSyncRequest(absent[index(m_random)]);
}

void Membership::SyncTick() {
  m_sync_timer =
      m_scheduler->Schedule(m_options.sync_period, [this] { SyncTick(); });
  const TimePoint now = m_scheduler->Now();
  m_items.RemoveExpired(now);
  const std::size_t before = m_table.records().size();
  m_table.Forget(now - m_options.forget_after);
  m_counters.Add(MembershipCounter::kMembersForgotten,
                 before - m_table.records().size());
  const std::vector<Member> peers = NearPeers(1);
  if (!peers.empty()) SendSyncRequest(peers.front().info.address);
  // Members that seem dead are asked too, else two parts of a group that were
  // cut off from each other would never meet again.
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
  m_item_cursor = m_items.NextKey(m_item_cursor);
  GossipItem item;
  if (m_items.Find(m_item_cursor, m_scheduler->Now(), &item) &&
      EncodePacket(request).size() + EncodedSize(item) <= kMaxPacketBytes) {
    request.items.push_back(std::move(item));
  }
  Transmit(to, std::move(request));
}

std::string Membership::FillPage(const std::string& cursor,
                                 Packet* packet) const {
  constexpr std::size_t kPageBytes = 1000;
  std::size_t used = 0;
  const auto& records = m_table.records();
  for (auto entry = records.upper_bound(cursor); entry != records.end();
       ++entry) {
    const MemberUpdate update{entry->second.member, entry->second.accuser};
    used += EncodedSize(update);
    if (used > kPageBytes) return packet->updates.back().member.info.id;
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
    // A new member reads the whole list at once.
    if (!m_joined) SendSyncRequest(from);
    return;
  }
  if (std::exchange(m_joined, true)) return;
  NotifyListeners();
}

}  // namespace chicoryvale
