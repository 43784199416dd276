#include "routing/relay_client.h"

#include <algorithm>
#include <functional>
#include <iterator>
#include <utility>

#include "base/rendezvous.h"
#include "routing/relay_messages.h"

namespace chicoryvale {
namespace {

/// Way there and back, and the work of both processes, beyond the time that
/// the relay has.
constexpr Duration kHopTime = milliseconds(50);

/// Time in which a cancel is of use.
constexpr Duration kCancelTime = milliseconds(500);

/// An entry that failed is spared for about the time after which membership
/// shows it gone.
constexpr Duration kSpareTime = seconds(2);

constexpr double kNewWeight = 0.1;

/// Parts that relays may miss: pauses alone make them miss less than one in a
/// hundred.
constexpr double kDoubtfulShare = 0.04;

/// Of the requests that pass a doubtful zone by, each one of these asks it all
/// the same, to see whether it has recovered.
constexpr std::uint32_t kAskAgainEach = 8;

/// What one more open question counts against a mean delay: about the work for
/// one.
constexpr double kOpenCostUs = 10'000;

/// Entries of a zone among which questions of one affinity are shared.
constexpr std::size_t kOwners = 3;

/// Entries of another zone that fail one after the other, from which the zone
/// is taken to be cut off.
constexpr std::uint32_t kFailuresOfCut = 2;

std::uint32_t ToMilliseconds(Duration duration) {
  const auto count = std::chrono::duration_cast<milliseconds>(duration).count();
  return static_cast<std::uint32_t>(std::max<std::int64_t>(count, 1));
}

RelayRequestMessage ToMessage(RelayId id, const RelayQuestion& question) {
  RelayRequestMessage message;
  message.question = id;
  const OpaqueRequest& request = *question.request;
  message.id = request.id;
  message.method = request.method;
  message.target = request.target;
  std::ranges::transform(request.headers, std::back_inserter(message.headers),
                         [](const HttpHeader& header) {
                           return RelayHeader{header.name, header.value};
                         });
  if (request.body) message.body = *request.body;
  message.services = question.services;
  message.rank_limit = question.rank_limit;
  message.max_attempts = question.max_attempts;
  message.target_latency_ms = ToMilliseconds(question.target_latency);
  message.answer_within_ms = ToMilliseconds(question.answer_within);
  message.time_left_ms = ToMilliseconds(question.time_left);
  return message;
}

}  // namespace

RelayClient::RelayClient(const Ports& ports, std::uint64_t seed)
    : m_ports(ports), m_random(seed), m_last_id(m_random() >> 1U) {
  ReadMembers();
  m_ports.members->AddListener([this, alive = std::weak_ptr<int>(m_alive)] {
    if (!alive.expired()) ReadMembers();
  });
}

void RelayClient::ReadMembers() {
  std::map<std::string, Zone> zones;
  const MemberInfo& self = m_ports.members->Self();
  for (const Member& member : m_ports.members->Members()) {
    const MemberInfo& info = member.info;
    const bool usable = info.role == MemberRole::kEntry &&
                        member.state == MemberState::kAlive &&
                        info.address != self.address;
    if (!usable) continue;
    Entry entry;
    entry.address = info.address;
    const Zone& zone = m_zones[info.availability_zone];
    const std::vector<Entry>& known = zone.entries;
    const auto old = std::ranges::find(known, info.address, &Entry::address);
    if (old != known.end()) entry = *old;
    Zone& next = zones[info.availability_zone];
    next.missing_share = zone.missing_share;
    next.failed_in_row = zone.failed_in_row;
    next.entries.push_back(entry);
  }
  m_zones = std::move(zones);
}

bool RelayClient::IsUsable(const Entry& entry) const {
  return m_ports.scheduler->Now() >= entry.spared_until;
}

bool RelayClient::HasUsable(const Zone& zone) const {
  return std::ranges::any_of(
      zone.entries, [this](const Entry& entry) { return IsUsable(entry); });
}

bool RelayClient::OnHasNeighbor() const {
  const auto own = m_zones.find(m_ports.members->Self().availability_zone);
  return own != m_zones.end() && HasUsable(own->second);
}

std::vector<std::string> RelayClient::OnZones(ZoneChoice choice) {
  const std::string& own = m_ports.members->Self().availability_zone;
  std::vector<std::string> zones;
  for (auto& [name, zone] : m_zones) {
    if (name == own || !HasUsable(zone)) continue;
    if (choice == ZoneChoice::kProven && IsInDoubt(&zone)) continue;
    zones.push_back(name);
  }
  std::ranges::shuffle(zones, m_random);
  return zones;
}

bool RelayClient::IsInDoubt(Zone* zone) {
  if (zone->missing_share < kDoubtfulShare) return false;
  if (++zone->passed_by < kAskAgainEach) return true;
  zone->passed_by = 0;
  return false;
}

void RelayClient::NoteMissing(const Question& question, std::size_t missing) {
  const auto zone = m_zones.find(question.zone);
  if (zone == m_zones.end()) return;
  const double share =
      static_cast<double>(missing) / static_cast<double>(question.parts);
  double& mean = zone->second.missing_share;
  mean += kNewWeight * (share - mean);
}

// Of the entries that own the affinity, the sooner of two drawn by lot.
RelayClient::Entry* RelayClient::Draw(const std::string& zone,
                                      std::uint64_t affinity) {
  const auto found = m_zones.find(zone);
  if (found == m_zones.end()) return nullptr;
  std::vector<Entry*> usable;
  for (Entry& entry : found->second.entries) {
    if (IsUsable(entry)) usable.push_back(&entry);
  }
  if (usable.empty()) return nullptr;
  const std::size_t owners = std::min(kOwners, usable.size());
  std::ranges::partial_sort(
      usable, usable.begin() + static_cast<std::ptrdiff_t>(owners),
      std::ranges::greater{}, [affinity](const Entry* entry) {
        return RendezvousWeight(entry->address.host_port, affinity);
      });
  std::uniform_int_distribution<std::size_t> index(0, owners - 1);
  Entry* first = usable[index(m_random)];
  Entry* second = usable[index(m_random)];
  const auto cost = [](const Entry* entry) {
    return entry->mean_delay_us + kOpenCostUs * entry->open;
  };
  return cost(first) <= cost(second) ? first : second;
}

RelayId RelayClient::OnAsk(const std::string& zone,
                           const RelayQuestion& question, Callback callback) {
  const RelayId id = ++m_last_id;
  Entry* entry = Draw(zone, question.affinity);
  Question& open = m_open[id];
  open.zone = zone;
  open.parts = question.services.size();
  open.asked_at = m_ports.scheduler->Now();
  open.callback = std::move(callback);
  const auto on_reply = [this, id, alive = std::weak_ptr<int>(m_alive)](
                            const Result<std::string>& bytes) {
    if (!alive.expired()) OnReply(id, bytes);
  };
  if (entry == nullptr) {
    m_ports.scheduler->Schedule(Duration::zero(), [on_reply] {
      on_reply(MakeError(ErrorKind::kUpstreamUnavailable,
                         "the zone has no entry to ask"));
    });
    return id;
  }
  ++entry->open;
  open.to = entry->address;
  m_ports.peers->Call(open.to, PeerChannel::kRelay,
                      Encode(ToMessage(id, question)),
                      question.answer_within + kHopTime, on_reply);
  return id;
}

void RelayClient::OnReply(RelayId id, const Result<std::string>& bytes) {
  auto node = m_open.extract(id);
  if (node.empty()) return;
  Question& question = node.mapped();
  RelayReplyMessage reply;
  const bool readable = bytes && Decode(*bytes, &reply);
  NoteEnd(question, !readable || !reply.taken);
  if (!bytes) return question.callback(tl::unexpected<Error>(bytes.error()));
  if (!readable) {
    return question.callback(
        MakeError(ErrorKind::kDeadlineExceeded, "a relay's answer is damaged"));
  }
  if (!reply.taken) {
    return question.callback(MakeError(ErrorKind::kUpstreamUnavailable,
                                       "the relay takes no questions"));
  }
  NoteMissing(question, reply.missing.size());
  RelayAnswer answer;
  for (RelayPartMessage& part : reply.parts) {
    answer.parts.push_back({part.index, std::move(part.signature)});
  }
  for (const RelayMissingMessage& missing : reply.missing) {
    answer.missing.push_back({missing.index, missing.attempts});
  }
  answer.body = std::move(reply.body);
  question.callback(std::move(answer));
}

// The zone may be cut off: further requests are not put at risk to find out.
void RelayClient::SpareZone(Zone* zone) {
  for (Entry& entry : zone->entries) {
    entry.spared_until = m_ports.scheduler->Now() + kSpareTime;
  }
}

void RelayClient::NoteEnd(const Question& question, bool failed) {
  const auto zone = m_zones.find(question.zone);
  if (zone == m_zones.end()) return;
  const auto entry =
      std::ranges::find(zone->second.entries, question.to, &Entry::address);
  if (entry == zone->second.entries.end()) return;
  const TimePoint now = m_ports.scheduler->Now();
  if (entry->open > 0) --entry->open;
  const auto delay = static_cast<double>((now - question.asked_at).count());
  entry->mean_delay_us += kNewWeight * (delay - entry->mean_delay_us);
  if (!failed) {
    zone->second.failed_in_row = 0;
    return;
  }
  entry->spared_until = now + kSpareTime;
  const bool own = zone->first == m_ports.members->Self().availability_zone;
  const bool cut = ++zone->second.failed_in_row >= kFailuresOfCut;
  if (!own && cut) SpareZone(&zone->second);
}

void RelayClient::OnCancel(RelayId id) {
  auto node = m_open.extract(id);
  if (node.empty() || node.mapped().to.host_port.empty()) return;
  NoteEnd(node.mapped(), false);
  RelayRequestMessage message;
  message.question = id;
  message.cancel = true;
  m_ports.peers->Call(node.mapped().to, PeerChannel::kRelay, Encode(message),
                      kCancelTime, [](const Result<std::string>&) {
                        // A relay that is gone has no work left to end.
                      });
}

}  // namespace chicoryvale
