#include "routing/replica_list_sync.h"

#include <algorithm>
#include <iterator>
#include <utility>

#include "base/rendezvous.h"
#include "routing/replica_list_messages.h"

namespace chicoryvale {
namespace {

/// Longest time that a question stays open, beyond the reader's period.
constexpr Duration kOpenMargin = milliseconds(200);

/// Way there and back, and the work of a busy source.
constexpr Duration kHopTime = milliseconds(300);

/// A list that is older is read anew from the platform: with the time of that
/// read, it is at most as old as replicas go on serving after they are listed
/// as leaving. The entry that the others of its zone follow is the first.
constexpr Duration kStaleAgeOfZoneReader = milliseconds(1700);
constexpr Duration kStaleAge = milliseconds(2300);

/// In a large group the others come one after the other, this long for each
/// entry, so that those who read first can answer the rest: the platform
/// refuses many calls at once.
constexpr Duration kSpreadOfEntry = milliseconds(7);
constexpr Duration kMostSpread = milliseconds(700);

/// Pause after the platform refused a call for being one of too many.
constexpr Duration kBusyPause = milliseconds(250);

/// Longest time that a peer is asked for while the platform does not answer.
constexpr Duration kStaleCallTime = seconds(1);

/// Least time for an answer, however old the list is.
constexpr Duration kLeastCallTime = milliseconds(300);

/// A source that did not answer is passed over for about the time after which
/// membership shows it gone.
constexpr Duration kSpareTime = seconds(3);

/// Times after the start in which the members become known. Until then an entry
/// does not read the platform: the later, the less it is the one that should.
constexpr Duration kJoinTimeOfReader = milliseconds(200);
constexpr Duration kJoinTimeOfZoneReader = milliseconds(700);
constexpr Duration kJoinTime = milliseconds(1200);

/// Added to these where all processes start for the first time: the members
/// become known over seconds, and callers come later.
constexpr Duration kFirstJoinTime = seconds(3);

/// Pause after an answer that held nothing, and while members are not known.
constexpr Duration kShortPause = milliseconds(100);

/// Longest time for which a question is kept open that comes from an entry
/// without a list.
constexpr Duration kFirstListWait = milliseconds(400);

/// Key of the entry that reads the platform, in rendezvous hashing.
constexpr std::uint64_t kReaderKey = 1;

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
  m_ports.peers->SetHandler(
      PeerChannel::kReplicaList,
      [this, alive = std::weak_ptr<int>(m_alive)](
          const Address& /*from*/, const std::string& bytes,
          const PeerTransport::Responder& respond) {
        if (alive.expired()) return respond(Encode(ReplicaListAnswer{}));
        OnQuestion(bytes, respond);
      });
}

ReplicaListSync::~ReplicaListSync() {
  m_ports.scheduler->Cancel(m_timer);
  for (Parked& parked : m_parked) m_ports.scheduler->Cancel(parked.timer);
}

void ReplicaListSync::Start() {
  m_started = m_ports.scheduler->Now();
  Step();
}

void ReplicaListSync::StepAfter(Duration pause) {
  // Entries that were turned away together come back apart.
  std::uniform_real_distribution<double> part(0.9, 1.1);
  m_timer = m_ports.scheduler->Schedule(
      Duration(static_cast<Duration::rep>(part(m_random) *
                                          static_cast<double>(pause.count()))),
      [this] { Step(); });
}

void ReplicaListSync::Step() {
  m_timer = 0;
  const bool peers_first = std::exchange(m_peers_first, false);
  const Source source = PickSource();
  DrawSpread();
  const Duration left = TimeUntilStale(source);
  const bool stale = left <= Duration::zero();
  const bool may_read = MayRead(source);
  if (may_read && stale && !peers_first) return ReadPlatform();
  if (source.entry) return Ask(*source.entry, left);
  if (!may_read) return StepAfter(kShortPause);
  ReadPlatform();
}

bool ReplicaListSync::MayRead(const Source& source) const {
  const Duration join_time =
      m_options.first_start ? kFirstJoinTime : Duration::zero();
  const Duration since_start = m_ports.scheduler->Now() - m_started - join_time;
  if (!source.entry) return since_start >= kJoinTimeOfReader;
  return since_start >= (source.leads_zone ? kJoinTimeOfZoneReader : kJoinTime);
}

Duration ReplicaListSync::TimeUntilStale(const Source& source) const {
  if (!m_list.IsSet()) return Duration::zero();
  const Duration limit =
      source.leads_zone ? kStaleAgeOfZoneReader : kStaleAge + m_spread;
  return m_list.ReadAt() + limit - m_ports.scheduler->Now();
}

void ReplicaListSync::DrawSpread() {
  const auto members =
      static_cast<Duration::rep>(m_ports.members->Members().size());
  const Duration most =
      std::min<Duration>(kSpreadOfEntry * members, kMostSpread);
  std::uniform_int_distribution<Duration::rep> spread(0, most.count());
  m_spread = Duration(spread(m_random));
}

bool ReplicaListSync::IsSpared(const Address& entry) const {
  const auto spared = m_spared_until.find(entry);
  return spared != m_spared_until.end() &&
         m_ports.scheduler->Now() < spared->second;
}

ReplicaListSync::Source ReplicaListSync::PickSource() const {
  const MemberInfo& self = m_ports.members->Self();
  std::vector<MemberInfo> entries;
  for (const Member& member : m_ports.members->Members()) {
    const bool is_self = member.info.address == self.address;
    const bool usable = member.info.role == MemberRole::kEntry &&
                        member.state == MemberState::kAlive &&
                        !IsSpared(member.info.address);
    if (is_self || usable) entries.push_back(member.info);
  }
  const auto weight = [](const MemberInfo& info) {
    return RendezvousWeight(info.address.host_port, kReaderKey);
  };
  const MemberInfo& reader = *std::ranges::max_element(entries, {}, weight);
  if (reader.address == self.address) return {std::nullopt, true};
  std::vector<MemberInfo> near;
  std::ranges::copy_if(
      entries, std::back_inserter(near), [&self](const MemberInfo& info) {
        return info.availability_zone == self.availability_zone;
      });
  if (near.empty()) return {reader.address, false};
  const MemberInfo& zone_reader = *std::ranges::max_element(near, {}, weight);
  const bool leads = zone_reader.address == self.address;
  return {leads ? reader.address : zone_reader.address, leads};
}

void ReplicaListSync::ReadPlatform() {
  NoteSource("platform");
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
    // One that has too many callers answers again soon.
    const bool busy = replicas.error().kind == ErrorKind::kOverloaded;
    m_peers_first = !busy;
    return StepAfter(busy ? kBusyPause : m_options.period / 2);
  }
  if (std::exchange(m_platform_failing, false)) {
    m_ports.log->Write(LogLevel::kInfo, "replica_list_regained",
                       {{"replicas", std::to_string(replicas->size())}});
  }
  const TimePoint held = m_list.ReadAt();
  const bool changed = m_list.Replace(*replicas, asked_at);
  if (m_list.ReadAt() != held) OnNewRead(changed);
  StepAfter(m_options.period);
}

void ReplicaListSync::Ask(const Address& source, Duration left) {
  NoteSource(source.host_port);
  const TimePoint now = m_ports.scheduler->Now();
  const Duration wait =
      m_list.IsSet() ? m_options.period + kOpenMargin : kFirstListWait;
  ReplicaListQuestion question;
  question.version = m_ask_whole ? 0 : m_list.Version();
  question.age_ms = ToMilliseconds(now - m_list.ReadAt());
  question.wait_ms = ToMilliseconds(wait);
  const Duration most =
      left > Duration::zero() ? std::max(left, kLeastCallTime) : kStaleCallTime;
  const Duration timeout = std::min(wait + kHopTime, most);
  m_ports.peers->Call(
      source, PeerChannel::kReplicaList, Encode(question), timeout,
      [this, source, now,
       alive = std::weak_ptr<int>(m_alive)](const Result<std::string>& bytes) {
        if (!alive.expired()) OnAnswer(source, now, bytes);
      });
}

void ReplicaListSync::OnAnswer(const Address& source, TimePoint asked_at,
                               const Result<std::string>& bytes) {
  ReplicaListAnswer answer;
  if (!bytes || !Decode(*bytes, &answer)) {
    Spare(source, bytes ? "its answer is damaged" : bytes.error().message);
    return StepAfter(kShortPause);
  }
  if (!answer.has_list) return StepAfter(kShortPause);
  // The whole way counts as age, so the list is never thought younger than it
  // is.
  const TimePoint read_at =
      asked_at + milliseconds(answer.held_ms) - milliseconds(answer.age_ms);
  ReplicaListUpdate update;
  update.same = answer.same;
  update.whole = answer.whole;
  update.version = answer.version;
  std::ranges::transform(answer.changed, std::back_inserter(update.changed),
                         ToReplica);
  update.gone = std::move(answer.gone);
  const TimePoint held = m_list.ReadAt();
  const bool changed = m_list.Apply(update, read_at);
  const bool newer = m_list.ReadAt() != held;
  m_ask_whole = newer && m_list.Version() != answer.version;
  if (newer) OnNewRead(changed);
  StepAfter(newer ? Duration::zero() : kShortPause);
}

void ReplicaListSync::Spare(const Address& source, const std::string& reason) {
  m_spared_until[source] = m_ports.scheduler->Now() + kSpareTime;
  m_ports.log->Write(LogLevel::kWarning, "replica_list_source_lost",
                     {{"source", source.host_port}, {"reason", reason}});
}

void ReplicaListSync::OnQuestion(const std::string& bytes,
                                 const PeerTransport::Responder& respond) {
  ReplicaListQuestion question;
  if (!Decode(bytes, &question)) return respond(Encode(ReplicaListAnswer{}));
  const TimePoint now = m_ports.scheduler->Now();
  Parked asked;
  asked.version = question.version;
  asked.asked_at = now;
  asked.read_at = now - milliseconds(question.age_ms);
  asked.respond = respond;
  const bool first = question.version == 0;
  const bool newer = m_list.ReadAt() > asked.read_at + kHopTime / 2;
  if (m_list.IsSet() && (first || newer)) return Answer(asked);
  const auto parked = m_parked.insert(m_parked.end(), std::move(asked));
  parked->timer = m_ports.scheduler->Schedule(
      milliseconds(question.wait_ms), [this, parked] {
        const Parked ended = std::move(*parked);
        m_parked.erase(parked);
        Answer(ended);
      });
}

void ReplicaListSync::AnswerParked() {
  for (const Parked& parked : std::exchange(m_parked, {})) {
    m_ports.scheduler->Cancel(parked.timer);
    Answer(parked);
  }
}

void ReplicaListSync::Answer(const Parked& asked) const {
  ReplicaListAnswer answer;
  answer.has_list = m_list.IsSet();
  if (!answer.has_list) return asked.respond(Encode(answer));
  const TimePoint now = m_ports.scheduler->Now();
  answer.age_ms = ToMilliseconds(now - m_list.ReadAt());
  answer.held_ms = ToMilliseconds(now - asked.asked_at);
  answer.version = m_list.Version();
  const bool older = asked.version != 0 && m_list.ReadAt() < asked.read_at;
  // What the other holds is newer: it needs nothing of this list.
  answer.same = older;
  if (!older) {
    ReplicaListUpdate update = m_list.Since(asked.version, now);
    answer.same = update.same;
    answer.whole = update.whole;
    std::ranges::transform(update.changed, std::back_inserter(answer.changed),
                           ToMessage);
    answer.gone = std::move(update.gone);
  }
  asked.respond(Encode(answer));
}

void ReplicaListSync::OnNewRead(bool changed) {
  if (changed) {
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
  }
  AnswerParked();
}

void ReplicaListSync::NoteSource(const std::string& source) {
  if (std::exchange(m_source, source) == source) return;
  m_ports.log->Write(LogLevel::kInfo, "replica_list_source",
                     {{"source", source}});
}

}  // namespace chicoryvale
