#include "upstream/crash_quarantine.h"

#include <algorithm>
#include <cassert>
#include <utility>

namespace chicoryvale {

struct CrashQuarantine::Record {
  CrashMark mark;
  /// An upstream survived the request.
  bool proven = false;
  /// `proven` when the first death of the mark became known.
  bool proven_at_mark = false;
  /// All runs under way, and those that began while unproven or marked.
  std::uint32_t all_running = 0;
  std::uint32_t running = 0;
  bool marked_running = false;
  bool holds_origin_slot = false;
  bool waiting = false;
  /// As counted in the record's Origin.
  bool counted_marked = false;
  bool counted_convicted = false;
  /// The deaths at hand are settled to be the request's doing.
  bool judged = false;
  TimePoint canary_at{};
  TimePoint used_at{};
  TimePoint last_death_at{};
  TimePoint held_until{};
  /// Marks of other processes may be on their way until then.
  TimePoint gossip_until{};
};

/// What is known of a workspace's use of a service.
struct CrashQuarantine::Origin {
  /// Fingerprints with a death, and quarantined ones.
  std::uint32_t marked = 0;
  std::uint32_t convicted = 0;
  Duration interval{};
  TimePoint next_run{};
};

CrashQuarantine::CrashQuarantine(const CrashSettings& settings)
    : m_settings(settings) {
  assert(settings.max_crashes >= 1 && settings.max_records >= 1);
}

CrashQuarantine::~CrashQuarantine() = default;

void CrashQuarantine::SetOperatorList(
    const std::vector<std::uint64_t>& fingerprints) {
  m_operator_list = {fingerprints.begin(), fingerprints.end()};
}

CrashQuarantine::Admission CrashQuarantine::Admit(const CrashKey& key,
                                                  ShardId shard,
                                                  AttemptPurpose purpose,
                                                  Duration patience,
                                                  TimePoint now) {
  if (m_operator_list.contains(key.fingerprint)) {
    return {RunVerdict::kQuarantined, {}, {}};
  }
  Record* record = Touch(key, now);
  if (now < record->held_until) return {RunVerdict::kRefusedForNow, {}, {}};
  CrashMark& mark = record->mark;
  if (!mark.deaths.empty()) {
    if (!IsConvicted(mark)) return AdmitMarked(record, shard, purpose, now);
    return {Spare(record, now) ? RunVerdict::kRefusedForNow
                               : RunVerdict::kQuarantined,
            {},
            {}};
  }
  if (record->proven || !NeedsCanary(*record)) {
    return Start(record, shard, false);
  }
  return AdmitUnproven(record, shard, patience, now);
}

CrashQuarantine::Admission CrashQuarantine::AdmitMarked(Record* record,
                                                        ShardId shard,
                                                        AttemptPurpose purpose,
                                                        TimePoint now) {
  const std::vector<UpstreamCrash>& deaths = record->mark.deaths;
  if (record->proven &&
      std::ranges::find(deaths, shard, &UpstreamCrash::shard) == deaths.end()) {
    return Start(record, shard, false);
  }
  const bool variant = !record->proven && IsSuspicious(*record);
  if (purpose == AttemptPurpose::kHedge || variant) {
    return {RunVerdict::kRefusedForNow, {}, {}};
  }
  if (now < record->gossip_until) return Wait(record, record->gossip_until);
  if (CountDeaths(record->mark) + record->running >= record->mark.allowance) {
    return Wait(record, {});
  }
  const std::uint64_t slot = record->mark.key.service;
  if (m_slots.contains(slot)) return WaitForSlot(record, slot);
  m_slots.try_emplace(slot);
  return Start(record, shard, true);
}

CrashQuarantine::Admission CrashQuarantine::AdmitUnproven(Record* record,
                                                          ShardId shard,
                                                          Duration patience,
                                                          TimePoint now) {
  if (now < record->gossip_until) return Wait(record, record->gossip_until);
  if (record->running == 0) {
    if (const auto refused = CheckOrigin(record, now)) return *refused;
    record->canary_at = now;
    return Start(record, shard, false);
  }
  if (record->running >= m_settings.max_crashes) return Wait(record, {});
  const TimePoint slow_at = record->canary_at + patience;
  if (now < slow_at) return Wait(record, slow_at);
  return Start(record, shard, false);
}

std::optional<CrashQuarantine::Admission> CrashQuarantine::CheckOrigin(
    Record* record, TimePoint now) {
  const std::uint64_t key = record->mark.key.Origin();
  if (!IsSuspicious(*record)) return std::nullopt;
  Origin& origin = m_origins.at(key);
  if (m_slots.contains(key)) return WaitForSlot(record, key);
  if (m_settings.origin == OriginPolicy::kProbation) {
    if (now < origin.next_run) {
      return Admission{RunVerdict::kRefusedForNow, {}, {}};
    }
    origin.next_run = now + origin.interval;
  }
  m_slots.try_emplace(key);
  record->holds_origin_slot = true;
  return std::nullopt;
}

bool CrashQuarantine::IsSuspicious(const Record& record) const {
  if (m_settings.origin == OriginPolicy::kIgnore) return false;
  const auto found = m_origins.find(record.mark.key.Origin());
  return found != m_origins.end() &&
         found->second.convicted >= m_settings.suspicious_origin_threshold;
}

bool CrashQuarantine::IsConvicted(const CrashMark& mark) {
  return CountDeaths(mark) >= mark.allowance;
}

bool CrashQuarantine::NeedsCanary(const Record& record) const {
  if (m_settings.canary == CanaryPolicy::kUnproven) return true;
  if (IsSuspicious(record)) return true;
  if (m_settings.canary == CanaryPolicy::kNever) return false;
  const auto found = m_origins.find(record.mark.key.Origin());
  return found != m_origins.end() && found->second.marked > 0;
}

CrashQuarantine::Admission CrashQuarantine::Start(Record* record, ShardId shard,
                                                  bool marked) {
  Admission admission;
  Run& run = admission.run;
  run.record = record;
  run.shard = shard;
  run.generation = static_cast<std::uint32_t>(record->mark.deaths.size());
  run.marked = marked;
  run.unproven = !record->proven;
  ++record->all_running;
  if (run.marked || run.unproven) ++record->running;
  if (marked) record->marked_running = true;
  return admission;
}

CrashQuarantine::Admission CrashQuarantine::Wait(
    Record* record, std::optional<TimePoint> ask_again) {
  record->waiting = true;
  return {RunVerdict::kWait, {}, ask_again};
}

CrashQuarantine::Admission CrashQuarantine::WaitForSlot(Record* record,
                                                        std::uint64_t slot) {
  const std::uint64_t fingerprint = record->mark.key.fingerprint;
  std::deque<std::uint64_t>& waiting = m_slots[slot];
  if (std::ranges::find(waiting, fingerprint) == waiting.end()) {
    waiting.push_back(fingerprint);
  }
  return Wait(record, {});
}

void CrashQuarantine::ReleaseSlot(std::uint64_t slot) {
  const auto node = m_slots.extract(slot);
  if (node.empty()) return;
  std::ranges::copy(node.mapped(), std::back_inserter(m_ready));
}

void CrashQuarantine::OnEnd(const Run& run, RunEnd end, const Address& replica,
                            TimePoint now) {
  Record* record = run.record;
  if (record == nullptr) return;
  --record->all_running;
  if (run.marked || run.unproven) {
    assert(record->running > 0);
    --record->running;
  }
  if (run.marked) {
    record->marked_running = false;
    ReleaseSlot(record->mark.key.service);
  }
  if (end == RunEnd::kSurvived) OnSurvived(run);
  if (end == RunEnd::kDied) OnDied(run, replica, now);
  if (end == RunEnd::kNotConnected) {
    record->gossip_until = now + m_settings.gossip_wait;
  }
  if (record->running == 0 && std::exchange(record->holds_origin_slot, false)) {
    ReleaseSlot(record->mark.key.Origin());
  }
  MarkReady(record);
}

void CrashQuarantine::OnSurvived(const Run& run) {
  Record* record = run.record;
  if (!record->proven) {
    record->proven = true;
    const auto origin = m_origins.find(record->mark.key.Origin());
    if (origin != m_origins.end()) {
      origin->second.interval =
          std::max(m_settings.origin_min_interval, origin->second.interval / 2);
    }
  }
  const std::vector<UpstreamCrash>& deaths = record->mark.deaths;
  if (deaths.empty()) return;
  const bool same_shard =
      std::ranges::find(deaths, run.shard, &UpstreamCrash::shard) !=
      deaths.end();
  if (same_shard || !record->proven_at_mark) SetDeaths(record, {});
}

void CrashQuarantine::OnDied(const Run& run, const Address& replica,
                             TimePoint now) {
  Record* record = run.record;
  CrashMark& mark = record->mark;
  const UpstreamCrash death{HashReplica(replica), run.shard, run.generation,
                            !run.unproven};
  m_crash_log.Add(mark.key, death, now);
  if (!AddDeath(death, &mark)) return;
  record->last_death_at = now;
  record->judged = false;
  OnChanged(record);
  if (IsConvicted(mark)) Spare(record, now);
  if (run.unproven) ExtendProbation(*record, now);
}

void CrashQuarantine::ExtendProbation(const Record& record, TimePoint now) {
  if (!IsSuspicious(record)) return;
  Origin& origin = m_origins.at(record.mark.key.Origin());
  origin.interval =
      std::clamp(origin.interval * 2, m_settings.origin_min_interval,
                 m_settings.origin_max_interval);
  origin.next_run = std::max(origin.next_run, now + origin.interval);
}

void CrashQuarantine::OnReplicaSurvived(const Address& replica,
                                        TimePoint since) {
  const std::uint64_t hash = HashReplica(replica);
  for (const std::uint64_t fingerprint : m_crash_log.TakeBack(hash, since)) {
    const auto found = m_by_key.find(fingerprint);
    if (found == m_by_key.end()) continue;
    Record* record = &*found->second;
    std::vector<UpstreamCrash> kept = record->mark.deaths;
    std::erase_if(kept,
                  [hash](const UpstreamCrash& d) { return d.replica == hash; });
    if (kept.size() == record->mark.deaths.size()) continue;
    SetDeaths(record, std::move(kept));
    MarkReady(record);
  }
}

bool CrashQuarantine::DiedOn(const Record& record, const Address& replica) {
  const std::vector<UpstreamCrash>& deaths = record.mark.deaths;
  if (deaths.empty()) return false;
  return std::ranges::find(deaths, HashReplica(replica),
                           &UpstreamCrash::replica) != deaths.end();
}

bool CrashQuarantine::Spare(Record* record, TimePoint now) {
  CrashMark& mark = record->mark;
  if (record->judged || mark.allowance > m_settings.max_crashes) return false;
  const TimePoint settled =
      record->last_death_at + m_settings.common_cause_window;
  const std::size_t others = m_crash_log.CountOthers(
      mark.key, record->last_death_at, m_settings.common_cause_window);
  if (others < m_settings.common_cause_min_crashes) {
    record->judged = now > settled;
    return false;
  }
  ++mark.allowance;
  record->held_until = settled;
  OnChanged(record);
  return true;
}

void CrashQuarantine::SetDeaths(Record* record,
                                std::vector<UpstreamCrash> deaths) {
  ++record->mark.epoch;
  record->mark.allowance = m_settings.max_crashes;
  record->mark.deaths = std::move(deaths);
  record->held_until = {};
  OnChanged(record);
}

void CrashQuarantine::OnChanged(Record* record) {
  m_changed.insert(record->mark.key.fingerprint);
  const bool marked = !record->mark.deaths.empty();
  if (marked && !record->counted_marked) {
    record->proven_at_mark = record->proven;
  }
  CountInOrigin(record, marked, marked && IsConvicted(record->mark));
}

void CrashQuarantine::CountInOrigin(Record* record, bool marked,
                                    bool convicted) {
  if (!marked && !record->counted_marked) return;
  const std::uint64_t key = record->mark.key.Origin();
  Origin& origin = m_origins[key];
  origin.marked += marked ? 1 : 0;
  origin.marked -= record->counted_marked ? 1 : 0;
  origin.convicted += convicted ? 1 : 0;
  origin.convicted -= record->counted_convicted ? 1 : 0;
  record->counted_marked = marked;
  record->counted_convicted = convicted;
  if (origin.marked == 0) m_origins.erase(key);
}

bool CrashQuarantine::Merge(const CrashMark& mark, TimePoint now) {
  Record* record = Touch(mark.key, now);
  if (!MergeMark(mark, &record->mark)) return false;
  for (const UpstreamCrash& death : record->mark.deaths) {
    m_crash_log.Add(mark.key, death, now);
  }
  record->last_death_at = now;
  record->judged = false;
  OnChanged(record);
  if (!record->mark.deaths.empty() && !record->mark.deaths.back().proven) {
    ExtendProbation(*record, now);
  }
  MarkReady(record);
  return true;
}

std::vector<CrashMark> CrashQuarantine::Marks() const {
  std::vector<CrashMark> marks;
  for (const Record& record : m_records) {
    if (record.mark.epoch > 0 || !record.mark.deaths.empty()) {
      marks.push_back(record.mark);
    }
  }
  return marks;
}

std::vector<CrashMark> CrashQuarantine::TakeChanges() {
  std::vector<CrashMark> changes;
  changes.reserve(m_changed.size());
  for (const std::uint64_t fingerprint : std::exchange(m_changed, {})) {
    const auto found = m_by_key.find(fingerprint);
    if (found != m_by_key.end()) changes.push_back(found->second->mark);
  }
  return changes;
}

std::vector<std::uint64_t> CrashQuarantine::TakeReady() {
  return std::exchange(m_ready, {});
}

bool CrashQuarantine::IsQuarantined(std::uint64_t fingerprint) const {
  if (m_operator_list.contains(fingerprint)) return true;
  const auto found = m_by_key.find(fingerprint);
  if (found == m_by_key.end()) return false;
  return IsConvicted(found->second->mark);
}

void CrashQuarantine::MarkReady(Record* record) {
  if (!std::exchange(record->waiting, false)) return;
  m_ready.push_back(record->mark.key.fingerprint);
}

CrashQuarantine::Record* CrashQuarantine::Touch(const CrashKey& key,
                                                TimePoint now) {
  const auto [it, inserted] = m_by_key.try_emplace(key.fingerprint);
  if (!inserted) {
    m_records.splice(m_records.begin(), m_records, it->second);
    Expire(&m_records.front(), now);
    m_records.front().used_at = now;
    return &m_records.front();
  }
  Record& record = m_records.emplace_front();
  it->second = m_records.begin();
  record.mark.key = key;
  record.mark.allowance = m_settings.max_crashes;
  record.used_at = now;
  if (m_records.size() > m_settings.max_records) Evict();
  return &record;
}

void CrashQuarantine::Expire(Record* record, TimePoint now) {
  if (now - record->used_at > m_settings.memory) record->proven = false;
  if (record->mark.deaths.empty()) return;
  if (now - record->last_death_at <= m_settings.memory) return;
  SetDeaths(record, {});
}

void CrashQuarantine::Evict() {
  Record& oldest = m_records.back();
  if (oldest.all_running > 0) {
    m_records.splice(m_records.begin(), m_records, std::prev(m_records.end()));
    return;
  }
  CountInOrigin(&oldest, false, false);
  m_changed.erase(oldest.mark.key.fingerprint);
  m_by_key.erase(oldest.mark.key.fingerprint);
  m_records.pop_back();
}

}  // namespace chicoryvale
