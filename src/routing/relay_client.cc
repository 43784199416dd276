#include "routing/relay_client.h"

#include <algorithm>
#include <iterator>
#include <utility>

#include "routing/relay_messages.h"

namespace chicoryvale {
namespace {

/// Way there and back, and the work of both processes, beyond the time that
/// the relay has.
constexpr Duration kHopTime = milliseconds(15);

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

/// What one more open question counts against a mean delay.
constexpr double kOpenCostUs = 2'000;

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
                        info.availability_zone != self.availability_zone;
    if (!usable) continue;
    Entry entry;
    entry.address = info.address;
    const Zone& zone = m_zones[info.availability_zone];
    const std::vector<Entry>& known = zone.entries;
    const auto old = std::ranges::find(known, info.address, &Entry::address);
    if (old != known.end()) entry = *old;
    Zone& next = zones[info.availability_zone];
    next.missing_share = zone.missing_share;
    next.entries.push_back(entry);
  }
  m_zones = std::move(zones);
}

bool RelayClient::IsUsable(const Entry& entry) const {
  return m_ports.scheduler->Now() >= entry.spared_until;
}

std::vector<std::string> RelayClient::OnZones() {
  std::vector<std::string> zones;
  for (auto& [name, zone] : m_zones) {
    const bool usable = std::ranges::any_of(
        zone.entries, [this](const Entry& entry) { return IsUsable(entry); });
    if (usable && !IsInDoubt(&zone)) zones.push_back(name);
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

RelayClient::Entry* RelayClient::Draw(const std::string& zone) {
  const auto found = m_zones.find(zone);
  if (found == m_zones.end()) return nullptr;
  std::vector<Entry*> usable;
  for (Entry& entry : found->second.entries) {
    if (IsUsable(entry)) usable.push_back(&entry);
  }
  if (usable.empty()) return nullptr;
  std::uniform_int_distribution<std::size_t> index(0, usable.size() - 1);
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
  Entry* entry = Draw(zone);
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
  if (!readable) SpareZone(question.zone);
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

// An entry that does not answer may be cut off with its zone: further requests
// are not put at risk to find out.
void RelayClient::SpareZone(const std::string& name) {
  const auto zone = m_zones.find(name);
  if (zone == m_zones.end()) return;
  for (Entry& entry : zone->second.entries) {
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
  if (failed) entry->spared_until = now + kSpareTime;
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
