#include "routing/replica_list_sync.h"

#include <algorithm>
#include <functional>
#include <iterator>
#include <utility>

#include "base/rendezvous.h"
#include "routing/replica_list_messages.h"

namespace chicoryvale {
namespace {

/// Maximum time for which a request is pending, beyond the period of the
/// reader.
constexpr Duration kMaxPendingTimeBeyondPeriod = milliseconds(200);

/// Time for a round trip, including the work of a busy source.
constexpr Duration kRoundTripTime = milliseconds(300);

/// An entry reads a list that is too old anew from the platform. With the time
/// of that read, the list is at most as old as the drain time of replicas. The
/// time is this minimum, and half of the maximum read spread, which grows with
/// the group like the list itself.
constexpr Duration kMinReadTime = milliseconds(600);

/// Zone leaders read this much earlier than others, because the other entries
/// of their zone follow them.
constexpr Duration kZoneLeaderLead = milliseconds(600);

/// Entries other than zone leaders read one after the other, spread over this
/// time for each member of the group, so that the first ones to read can reply
/// to the rest: the platform refuses many simultaneous calls.
constexpr Duration kReadSpreadPerEntry = milliseconds(7);
constexpr Duration kMaxReadSpread = milliseconds(700);

/// Pause after the platform refused a call because it received too many.
constexpr Duration kPlatformBusyPause = milliseconds(250);

/// Maximum timeout of a request to a peer when the list is too old because the
/// platform does not answer.
constexpr Duration kMaxCallTimeWhenStale = seconds(1);

/// Minimum timeout of a request, whatever the age of the list.
constexpr Duration kMinCallTime = milliseconds(300);

/// Time for which a source that did not reply is avoided: about the time that
/// membership needs to show that it is unavailable.
constexpr Duration kFailedSourceAvoidTime = seconds(3);

/// Time after the start before which an entry does not read the platform, for
/// the reader, for zone leaders and for other entries. The members become known
/// in this time. Entries that are less likely to be the reader wait longer.
constexpr Duration kStartDelayOfReader = milliseconds(200);
constexpr Duration kStartDelayOfZoneLeader = milliseconds(1700);
constexpr Duration kStartDelay = milliseconds(2200);

/// Added to the start delay for each further level of the tree in a zone, so
/// that the first list reaches it in time.
constexpr Duration kStartDelayPerLevel = milliseconds(600);

/// Start delay of an entry that knows no other entry, and the range of a random
/// time that is added to it. When all processes have restarted, none of them
/// knows the others at first, and without the wait each one would take itself
/// for the reader.
constexpr Duration kStartDelayWhenAlone = milliseconds(1500);
constexpr Duration kMaxAloneSpread = seconds(2);

/// Time for which the number of known entries has to stay the same before an
/// entry without a list takes itself for the reader or a zone leader, and the
/// maximum time after the start for which it waits for that.
constexpr Duration kMembersSettleTime = milliseconds(200);
constexpr Duration kMaxMembersSettleTime = milliseconds(1200);

/// Added to the start delays if all processes start for the first time: it
/// takes seconds until the members are known, and callers arrive later.
constexpr Duration kExtraDelayOnFirstStart = seconds(3);

/// Pause after a failed call, after a reply that cannot be decoded or has no
/// newer list, and while the members are not known.
constexpr Duration kRetryPause = milliseconds(100);

/// Maximum time for which a request of an entry without a list is pending.
constexpr Duration kMaxWaitWithoutList = milliseconds(400);

/// Maximum number of entries that follow one entry of their zone. All entries
/// of a large zone together would exceed the bandwidth of one entry when many
/// replicas change at once.
constexpr std::size_t kMaxFollowers = 6;

/// Rendezvous hashing key that selects the reader and the zone leaders.
constexpr std::uint64_t kReaderKey = 1;

/// Returns the depth of the entry with `rank` in the tree of its zone.
std::uint32_t DepthOfRank(std::size_t rank) {
  std::uint32_t depth = 0;
  for (; rank > 0; rank = (rank - 1) / kMaxFollowers) ++depth;
  return depth;
}

std::uint32_t ToMilliseconds(Duration duration) {
  return static_cast<std::uint32_t>(
      std::chrono::duration_cast<milliseconds>(duration).count());
}

ListedReplicaMessage ToMessage(const ListedReplica& replica) {
  return {replica.id,
          replica.service,
          replica.address.host_port,
          replica.availability_zone,
          replica.slots,
          replica.draining,
          ToMilliseconds(replica.warmup_left)};
}

ListedReplica ToReplica(const ListedReplicaMessage& message) {
  return {message.id,
          message.service,
          {message.address},
          message.availability_zone,
          message.slots,
          message.draining,
          milliseconds(message.warmup_left_ms)};
}

}  // namespace

ReplicaListSync::ReplicaListSync(const Ports& ports,
                                 const ReplicaListOptions& options,
                                 std::uint64_t seed)
    : m_ports(ports), m_options(options), m_random(seed) {
  std::uniform_int_distribution<Duration::rep> spread(0,
                                                      kMaxAloneSpread.count());
  m_alone_delay = kStartDelayWhenAlone + Duration(spread(m_random));
  m_ports.peers->SetHandler(
      PeerChannel::kReplicaList,
      [this, alive = std::weak_ptr<int>(m_alive)](
          const Address& /*from*/, const std::string& bytes,
          const PeerTransport::Responder& respond) {
        if (alive.expired()) return respond(Encode(ReplicaListReply{}));
        OnRequest(bytes, respond);
      });
}

ReplicaListSync::~ReplicaListSync() {
  m_ports.scheduler->Cancel(m_timer);
  for (Request& pending : m_pending) m_ports.scheduler->Cancel(pending.timer);
}

void ReplicaListSync::Start() {
  m_started = m_ports.scheduler->Now();
  Refresh();
}

void ReplicaListSync::ScheduleRefresh(Duration delay) {
  // Jitter, so that entries that were refused at the same time do not retry at
  // the same time.
  std::uniform_real_distribution<double> jitter(0.9, 1.1);
  m_timer = m_ports.scheduler->Schedule(
      Duration(static_cast<Duration::rep>(jitter(m_random) *
                                          static_cast<double>(delay.count()))),
      [this] { Refresh(); });
}

void ReplicaListSync::Refresh() {
  m_timer = 0;
  const bool prefer_peer = std::exchange(m_prefer_peer, false);
  const Source source = PickSource();
  DrawReadSpread();
  const Duration time_until_stale = TimeUntilStale(source);
  const bool is_stale = time_until_stale <= Duration::zero();
  const bool may_read = MayReadPlatform(source);
  if (may_read && is_stale && !prefer_peer) return ReadPlatform();
  if (source.entry) return SendRequest(*source.entry, time_until_stale);
  if (!may_read) return ScheduleRefresh(kRetryPause);
  ReadPlatform();
}

bool ReplicaListSync::MayReadPlatform(const Source& source) const {
  const Duration extra_delay =
      m_options.first_start ? kExtraDelayOnFirstStart : Duration::zero();
  const Duration since_start =
      m_ports.scheduler->Now() - m_started - extra_delay;
  if (source.is_alone) return since_start >= m_alone_delay;
  if (!m_list.IsSet() && since_start < kMaxMembersSettleTime &&
      m_ports.scheduler->Now() - m_entry_count_changed_at <
          kMembersSettleTime) {
    return false;
  }
  if (!source.entry) return since_start >= kStartDelayOfReader;
  if (source.IsZoneLeader()) return since_start >= kStartDelayOfZoneLeader;
  return since_start >= kStartDelay + kStartDelayPerLevel * (source.depth - 1);
}

Duration ReplicaListSync::TimeUntilStale(const Source& source) const {
  if (!m_list.IsSet()) return Duration::zero();
  const Duration max_spread = MaxReadSpread();
  const Duration first_read_age =
      m_options.drain_time - kMinReadTime - max_spread * 3 / 2;
  const Duration max_age = source.IsZoneLeader()
                               ? first_read_age - kZoneLeaderLead
                               : first_read_age + m_read_spread;
  return m_list.ReadAt() + max_age - m_ports.scheduler->Now();
}

Duration ReplicaListSync::MaxReadSpread() const {
  const auto members =
      static_cast<Duration::rep>(m_ports.members->Members().size());
  return std::min<Duration>(kReadSpreadPerEntry * members, kMaxReadSpread);
}

void ReplicaListSync::DrawReadSpread() {
  std::uniform_int_distribution<Duration::rep> spread(0,
                                                      MaxReadSpread().count());
  m_read_spread = Duration(spread(m_random));
}

bool ReplicaListSync::IsAvoided(const Address& entry) const {
  const auto avoided = m_avoided_until.find(entry);
  return avoided != m_avoided_until.end() &&
         m_ports.scheduler->Now() < avoided->second;
}

ReplicaListSync::Source ReplicaListSync::PickSource() {
  const MemberInfo& self = m_ports.members->Self();
  std::vector<MemberInfo> entries;
  for (const Member& member : m_ports.members->Members()) {
    const bool is_self = member.info.address == self.address;
    const bool usable = member.info.role == MemberRole::kEntry &&
                        member.state == MemberState::kAlive &&
                        !IsAvoided(member.info.address);
    if (is_self || usable) entries.push_back(member.info);
  }
  const auto weight = [](const MemberInfo& info) {
    return RendezvousWeight(info.address.host_port, kReaderKey);
  };
  const MemberInfo& reader = *std::ranges::max_element(entries, {}, weight);
  if (std::exchange(m_entry_count, entries.size()) != entries.size()) {
    m_entry_count_changed_at = m_ports.scheduler->Now();
  }
  const bool is_alone = entries.size() == 1;
  if (reader.address == self.address) return {std::nullopt, 0, is_alone};
  std::vector<MemberInfo> zone_entries;
  std::ranges::copy_if(entries, std::back_inserter(zone_entries),
                       [&self](const MemberInfo& info) {
                         return info.availability_zone ==
                                self.availability_zone;
                       });
  // The entries of the zone form a tree in the order of their weights. Entries
  // with different views of the members still agree on that order, so no two
  // entries follow each other.
  const auto own_weight = weight(self);
  std::erase_if(zone_entries, [&](const MemberInfo& info) {
    return weight(info) <= own_weight;
  });
  const std::size_t rank = zone_entries.size();
  if (rank == 0) return {reader.address, 0, false};
  const std::size_t source_rank = (rank - 1) / kMaxFollowers;
  std::ranges::nth_element(
      zone_entries,
      zone_entries.begin() + static_cast<std::ptrdiff_t>(source_rank),
      std::ranges::greater{}, weight);
  return {zone_entries[source_rank].address, DepthOfRank(rank), false};
}

void ReplicaListSync::ReadPlatform() {
  RecordSource("platform");
  const TimePoint asked_at = m_ports.scheduler->Now();
  m_ports.directory->Read(
      [this, asked_at, alive = std::weak_ptr<int>(m_alive)](
          const Result<std::vector<ListedReplica>>& replicas) {
        if (!alive.expired()) OnPlatformRead(replicas, asked_at);
      });
}

void ReplicaListSync::OnPlatformRead(
    const Result<std::vector<ListedReplica>>& replicas, TimePoint asked_at) {
  if (!replicas) {
    if (!std::exchange(m_platform_failing, true)) {
      m_ports.log->Write(LogLevel::kWarning, "replica_list_lost",
                         {{"reason", replicas.error().message}});
    }
    // An overloaded platform answers again soon; after another failure, a peer
    // is asked first.
    const bool is_overloaded = replicas.error().kind == ErrorKind::kOverloaded;
    m_prefer_peer = !is_overloaded;
    return ScheduleRefresh(is_overloaded ? kPlatformBusyPause
                                         : m_options.period / 2);
  }
  if (std::exchange(m_platform_failing, false)) {
    m_ports.log->Write(LogLevel::kInfo, "replica_list_regained",
                       {{"replicas", std::to_string(replicas->size())}});
  }
  const TimePoint previous_read_at = m_list.ReadAt();
  const bool content_changed = m_list.Replace(*replicas, asked_at);
  if (m_list.ReadAt() != previous_read_at) OnNewerList(content_changed);
  ScheduleRefresh(m_options.period);
}

void ReplicaListSync::SendRequest(const Address& source,
                                  Duration time_until_stale) {
  RecordSource(source.host_port);
  const TimePoint now = m_ports.scheduler->Now();
  const Duration max_wait = m_list.IsSet()
                                ? m_options.period + kMaxPendingTimeBeyondPeriod
                                : kMaxWaitWithoutList;
  ReplicaListRequest message;
  message.version = m_request_full_list ? 0 : m_list.Version();
  message.age_ms = ToMilliseconds(now - m_list.ReadAt());
  message.max_wait_ms = ToMilliseconds(max_wait);
  const Duration max_timeout = time_until_stale > Duration::zero()
                                   ? std::max(time_until_stale, kMinCallTime)
                                   : kMaxCallTimeWhenStale;
  const Duration timeout = std::min(max_wait + kRoundTripTime, max_timeout);
  m_ports.peers->Call(
      source, PeerChannel::kReplicaList, Encode(message), timeout,
      [this, source, now,
       alive = std::weak_ptr<int>(m_alive)](const Result<std::string>& bytes) {
        if (!alive.expired()) OnReply(source, now, bytes);
      });
}

void ReplicaListSync::OnReply(const Address& source, TimePoint asked_at,
                              const Result<std::string>& bytes) {
  ReplicaListReply reply;
  if (!bytes || !Decode(*bytes, &reply)) {
    AvoidSource(source,
                bytes ? "its reply cannot be decoded" : bytes.error().message);
    return ScheduleRefresh(kRetryPause);
  }
  if (!reply.has_list) return ScheduleRefresh(kRetryPause);
  // The whole round trip counts towards the age, so the list is never taken for
  // newer than it is.
  const TimePoint read_at =
      asked_at + milliseconds(reply.pending_ms) - milliseconds(reply.age_ms);
  ReplicaListUpdate update;
  update.unchanged = reply.unchanged;
  update.full = reply.full;
  update.version = reply.version;
  std::ranges::transform(reply.updated, std::back_inserter(update.updated),
                         ToReplica);
  update.removed_ids = std::move(reply.removed_ids);
  std::ranges::transform(
      reply.cold_again, std::back_inserter(update.cold_again),
      [](const WarmupLeftMessage& cold) {
        return ReplicaWarmupLeft{cold.id, milliseconds(cold.left_ms)};
      });
  const TimePoint previous_read_at = m_list.ReadAt();
  const bool content_changed = m_list.Apply(update, read_at);
  const bool is_newer = m_list.ReadAt() != previous_read_at;
  m_request_full_list = is_newer && m_list.Version() != reply.version;
  if (is_newer) OnNewerList(content_changed);
  ScheduleRefresh(is_newer ? Duration::zero() : kRetryPause);
}

void ReplicaListSync::AvoidSource(const Address& source,
                                  const std::string& reason) {
  m_avoided_until[source] = m_ports.scheduler->Now() + kFailedSourceAvoidTime;
  m_ports.log->Write(LogLevel::kWarning, "replica_list_source_lost",
                     {{"source", source.host_port}, {"reason", reason}});
}

void ReplicaListSync::OnRequest(const std::string& bytes,
                                const PeerTransport::Responder& respond) {
  ReplicaListRequest message;
  if (!Decode(bytes, &message)) return respond(Encode(ReplicaListReply{}));
  const TimePoint now = m_ports.scheduler->Now();
  Request request;
  request.version = message.version;
  request.received_at = now;
  request.read_at = now - milliseconds(message.age_ms);
  request.respond = respond;
  const bool has_no_list = message.version == 0;
  const bool is_newer = m_list.ReadAt() > request.read_at + kRoundTripTime / 2;
  if (m_list.IsSet() && (has_no_list || is_newer)) return Reply(request);
  const auto pending = m_pending.insert(m_pending.end(), std::move(request));
  pending->timer = m_ports.scheduler->Schedule(
      milliseconds(message.max_wait_ms), [this, pending] {
        const Request timed_out = std::move(*pending);
        m_pending.erase(pending);
        Reply(timed_out);
      });
}

void ReplicaListSync::ReplyToPending() {
  for (const Request& pending : std::exchange(m_pending, {})) {
    m_ports.scheduler->Cancel(pending.timer);
    Reply(pending);
  }
}

void ReplicaListSync::Reply(const Request& request) const {
  ReplicaListReply reply;
  reply.has_list = m_list.IsSet();
  if (!reply.has_list) return request.respond(Encode(reply));
  const TimePoint now = m_ports.scheduler->Now();
  reply.age_ms = ToMilliseconds(now - m_list.ReadAt());
  reply.pending_ms = ToMilliseconds(now - request.received_at);
  reply.version = m_list.Version();
  const bool follower_is_newer =
      request.version != 0 && m_list.ReadAt() < request.read_at;
  // The list of the follower is newer, so it needs no update.
  reply.unchanged = follower_is_newer;
  if (!follower_is_newer) {
    ReplicaListUpdate update =
        m_list.UpdateSince(request.version, request.read_at);
    reply.unchanged = update.unchanged;
    reply.full = update.full;
    std::ranges::transform(update.updated, std::back_inserter(reply.updated),
                           ToMessage);
    reply.removed_ids = std::move(update.removed_ids);
    std::ranges::transform(
        update.cold_again, std::back_inserter(reply.cold_again),
        [](const ReplicaWarmupLeft& cold) {
          return WarmupLeftMessage{cold.id, ToMilliseconds(cold.left)};
        });
  }
  request.respond(Encode(reply));
}

void ReplicaListSync::OnNewerList(bool content_changed) {
  if (content_changed) {
    const std::vector<ListedReplica> replicas =
        m_list.Replicas(m_ports.scheduler->Now());
    const auto draining =
        std::ranges::count(replicas, true, &ListedReplica::draining);
    m_ports.log->Write(LogLevel::kInfo, "replica_list_changed",
                       {{"replicas", std::to_string(replicas.size())},
                        {"draining", std::to_string(draining)},
                        {"version", std::to_string(m_list.Version())},
                        {"source", m_source}});
    if (m_listener) m_listener(replicas);
  } else if (m_confirm_listener) {
    m_confirm_listener();
  }
  ReplyToPending();
}

void ReplicaListSync::RecordSource(const std::string& source) {
  if (std::exchange(m_source, source) == source) return;
  m_ports.log->Write(LogLevel::kInfo, "replica_list_source",
                     {{"source", source}});
}

}  // namespace chicoryvale
