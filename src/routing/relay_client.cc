#include "routing/relay_client.h"

#include <algorithm>
#include <functional>
#include <iterator>
#include <utility>

#include "base/rendezvous.h"
#include "routing/relay_messages.h"

namespace chicoryvale {
namespace {

/// Time for the round trip and the work of both processes, in addition to the
/// time that the relay has.
constexpr Duration kCallOverhead = milliseconds(50);

/// Timeout of a cancellation, which is useless if it arrives later.
constexpr Duration kCancelTimeout = milliseconds(500);

/// Time for which an entry that failed is avoided: about the time that
/// membership needs to show that it is unavailable.
constexpr Duration kFailedEntryAvoidTime = seconds(2);

/// Weight of a new sample in an exponentially weighted moving average.
constexpr double kEwmaWeight = 0.1;

/// Ratio of unanswered sub-requests from which a zone is skipped. Pauses of
/// replicas alone cause a ratio below 0.01.
constexpr double kMaxMissingRatio = 0.04;

/// One of this many requests is sent to a zone that is otherwise skipped, to
/// detect its recovery.
constexpr std::uint32_t kRequestsPerProbe = 8;

/// Cost of an open request at an entry, added to its mean delay: about the time
/// to process one.
constexpr double kOpenRequestCostUs = 10'000;

/// Maximum number of entries of a zone that share the requests of one affinity.
constexpr std::size_t kMaxOwnersPerZone = 3;

/// Number of consecutive failed requests to another zone, possibly to the same
/// entry, after which the zone is assumed to be partitioned.
constexpr std::uint32_t kFailuresUntilZoneAvoided = 2;

std::uint32_t ToMilliseconds(Duration duration) {
  const auto count = std::chrono::duration_cast<milliseconds>(duration).count();
  return static_cast<std::uint32_t>(std::max<std::int64_t>(count, 1));
}

RelayRequestMessage ToMessage(RelayId id, const RelayRequest& relay_request) {
  RelayRequestMessage message;
  message.relay_id = id;
  const OpaqueRequest& request = *relay_request.request;
  message.request_id = request.id;
  message.method = request.method;
  message.target = request.target;
  std::ranges::transform(request.headers, std::back_inserter(message.headers),
                         [](const HttpHeader& header) {
                           return RelayHeader{header.name, header.value};
                         });
  if (request.body) message.body = *request.body;
  message.services = relay_request.services;
  message.rank_limit = relay_request.rank_limit;
  message.max_attempts = relay_request.max_attempts;
  message.target_latency_ms = ToMilliseconds(relay_request.target_latency);
  message.answer_within_ms = ToMilliseconds(relay_request.answer_within);
  message.time_left_ms = ToMilliseconds(relay_request.time_left);
  message.workspace = request.workspace.value_or("");
  return message;
}

}  // namespace

RelayClient::RelayClient(const Ports& ports, std::uint64_t seed)
    : m_ports(ports), m_random(seed), m_last_id(m_random() >> 1U) {
  UpdateZones();
  m_ports.members->AddListener([this, alive = std::weak_ptr<int>(m_alive)] {
    if (!alive.expired()) UpdateZones();
  });
}

void RelayClient::UpdateZones() {
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
    const std::vector<Entry>& known_entries = zone.entries;
    const auto known_entry =
        std::ranges::find(known_entries, info.address, &Entry::address);
    if (known_entry != known_entries.end()) entry = *known_entry;
    Zone& next_zone = zones[info.availability_zone];
    next_zone.missing_ratio = zone.missing_ratio;
    next_zone.consecutive_failures = zone.consecutive_failures;
    next_zone.entries.push_back(entry);
  }
  m_zones = std::move(zones);
}

bool RelayClient::IsUsable(const Entry& entry) const {
  return m_ports.scheduler->Now() >= entry.avoided_until;
}

bool RelayClient::HasUsableEntry(const Zone& zone) const {
  return std::ranges::any_of(
      zone.entries, [this](const Entry& entry) { return IsUsable(entry); });
}

bool RelayClient::OnHasNeighbor() const {
  const auto own = m_zones.find(m_ports.members->Self().availability_zone);
  return own != m_zones.end() && HasUsableEntry(own->second);
}

std::vector<std::string> RelayClient::OnZones(ZoneChoice choice) {
  const std::string& own = m_ports.members->Self().availability_zone;
  std::vector<std::string> zones;
  for (auto& [name, zone] : m_zones) {
    if (name == own || !HasUsableEntry(zone)) continue;
    if (choice == ZoneChoice::kMostlyComplete && ShouldSkip(&zone)) continue;
    zones.push_back(name);
  }
  std::ranges::shuffle(zones, m_random);
  return zones;
}

// Returns whether a request skips `zone`, and counts the skipped requests.
bool RelayClient::ShouldSkip(Zone* zone) {
  if (zone->missing_ratio < kMaxMissingRatio) return false;
  if (++zone->skipped_requests < kRequestsPerProbe) return true;
  zone->skipped_requests = 0;
  return false;
}

void RelayClient::RecordMissing(const OpenRequest& request,
                                std::size_t missing) {
  const auto zone = m_zones.find(request.zone);
  if (zone == m_zones.end()) return;
  const double share = static_cast<double>(missing) /
                       static_cast<double>(request.sub_request_count);
  double& mean = zone->second.missing_ratio;
  mean += kEwmaWeight * (share - mean);
}

// Chooses two random owners of the affinity and returns the one with the lower
// expected delay.
RelayClient::Entry* RelayClient::ChooseEntry(const std::string& zone,
                                             std::uint64_t affinity) {
  const auto found = m_zones.find(zone);
  if (found == m_zones.end()) return nullptr;
  std::vector<Entry*> usable;
  for (Entry& entry : found->second.entries) {
    if (IsUsable(entry)) usable.push_back(&entry);
  }
  if (usable.empty()) return nullptr;
  const std::size_t owners = std::min(kMaxOwnersPerZone, usable.size());
  std::ranges::partial_sort(
      usable, usable.begin() + static_cast<std::ptrdiff_t>(owners),
      std::ranges::greater{}, [affinity](const Entry* entry) {
        return RendezvousWeight(entry->address.host_port, affinity);
      });
  std::uniform_int_distribution<std::size_t> index(0, owners - 1);
  Entry* first = usable[index(m_random)];
  Entry* second = usable[index(m_random)];
  const auto cost = [](const Entry* entry) {
    return entry->mean_delay_us + kOpenRequestCostUs * entry->open_requests;
  };
  return cost(first) <= cost(second) ? first : second;
}

RelayId RelayClient::OnSend(const std::string& zone,
                            const RelayRequest& relay_request,
                            Callback callback) {
  const RelayId id = ++m_last_id;
  Entry* entry = ChooseEntry(zone, relay_request.affinity);
  OpenRequest& request = m_open_requests[id];
  request.zone = zone;
  request.sub_request_count = relay_request.services.size();
  request.sent_at = m_ports.scheduler->Now();
  request.callback = std::move(callback);
  const auto on_reply = [this, id, alive = std::weak_ptr<int>(m_alive)](
                            const Result<std::string>& bytes) {
    if (!alive.expired()) OnReply(id, bytes);
  };
  if (entry == nullptr) {
    m_ports.scheduler->Schedule(Duration::zero(), [on_reply] {
      on_reply(MakeError(ErrorKind::kUpstreamUnavailable,
                         "the zone has no entry to relay to"));
    });
    return id;
  }
  ++entry->open_requests;
  request.entry_address = entry->address;
  m_ports.peers->Call(request.entry_address, PeerChannel::kRelay,
                      Encode(ToMessage(id, relay_request)),
                      relay_request.answer_within + kCallOverhead, on_reply);
  return id;
}

void RelayClient::OnReply(RelayId id, const Result<std::string>& bytes) {
  auto node = m_open_requests.extract(id);
  if (node.empty()) return;
  OpenRequest& request = node.mapped();
  RelayReplyMessage reply;
  const bool is_readable = bytes && Decode(*bytes, &reply);
  RecordEnd(request, !is_readable || !reply.accepted);
  if (!bytes) return request.callback(tl::unexpected<Error>(bytes.error()));
  if (!is_readable) {
    return request.callback(
        MakeError(ErrorKind::kDeadlineExceeded,
                  "the reply of the relay cannot be decoded"));
  }
  if (!reply.accepted) {
    return request.callback(MakeError(ErrorKind::kUpstreamUnavailable,
                                      "the relay accepts no requests"));
  }
  RecordMissing(request, reply.missing.size());
  RelayAnswer answer;
  for (RelayedSubRequestMessage& answered : reply.answered) {
    answer.answered.push_back({answered.index, std::move(answered.signature)});
  }
  for (const MissingSubRequestMessage& missing : reply.missing) {
    answer.missing.push_back({missing.index, missing.attempts});
  }
  answer.body = std::move(reply.body);
  answer.draining_replicas = std::move(reply.draining_replicas);
  if (!reply.lost_replica.empty()) answer.lost_replica = {reply.lost_replica};
  request.callback(std::move(answer));
}

// Avoids all entries of the zone, because it may be partitioned and a request
// sent to find out would be at risk.
void RelayClient::AvoidZone(Zone* zone) {
  for (Entry& entry : zone->entries) {
    entry.avoided_until = m_ports.scheduler->Now() + kFailedEntryAvoidTime;
  }
}

void RelayClient::RecordEnd(const OpenRequest& request, bool failed) {
  const auto zone = m_zones.find(request.zone);
  if (zone == m_zones.end()) return;
  const auto entry = std::ranges::find(zone->second.entries,
                                       request.entry_address, &Entry::address);
  if (entry == zone->second.entries.end()) return;
  const TimePoint now = m_ports.scheduler->Now();
  if (entry->open_requests > 0) --entry->open_requests;
  const auto delay = static_cast<double>((now - request.sent_at).count());
  entry->mean_delay_us += kEwmaWeight * (delay - entry->mean_delay_us);
  if (!failed) {
    zone->second.consecutive_failures = 0;
    return;
  }
  entry->avoided_until = now + kFailedEntryAvoidTime;
  const bool own = zone->first == m_ports.members->Self().availability_zone;
  const bool is_partitioned =
      ++zone->second.consecutive_failures >= kFailuresUntilZoneAvoided;
  if (!own && is_partitioned) AvoidZone(&zone->second);
}

void RelayClient::OnCancel(RelayId id) {
  auto node = m_open_requests.extract(id);
  if (node.empty() || node.mapped().entry_address.host_port.empty()) return;
  RecordEnd(node.mapped(), false);
  RelayRequestMessage message;
  message.relay_id = id;
  message.cancel = true;
  m_ports.peers->Call(node.mapped().entry_address, PeerChannel::kRelay,
                      Encode(message), kCancelTimeout,
                      [](const Result<std::string>&) {
                        // A relay that is unavailable has no work to cancel.
                      });
}

}  // namespace chicoryvale
