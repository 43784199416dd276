#include "upstream/crash_quarantine.h"

#include <algorithm>
#include <cassert>
#include <utility>

namespace chicoryvale {

struct CrashQuarantine::Record {
  CrashMark mark;
  /// Whether an upstream survived the request.
  bool proven = false;
  /// Value of `proven` when the first crash of the mark became known.
  bool proven_at_first_crash = false;
  /// All runs in flight, and those of them that began while the request was
  /// unproven or marked.
  std::uint32_t runs_in_flight = 0;
  std::uint32_t risky_runs = 0;
  bool marked_run_in_flight = false;
  bool trial_in_flight = false;
  bool holds_origin_slot = false;
  bool waiting = false;
  /// Whether the record is counted as marked or quarantined in its Origin.
  bool counted_marked = false;
  bool counted_quarantined = false;
  /// The current crashes are attributed to the request, because no common cause
  /// was found in time.
  bool blamed = false;
  TimePoint canary_started_at{};
  TimePoint last_used_at{};
  TimePoint last_crash_at{};
  TimePoint refused_until{};
  /// Marks of other processes may still arrive until this time.
  TimePoint gossip_until{};
};

/// State of a workspace's use of a service.
struct CrashQuarantine::Origin {
  /// Number of fingerprints with a crash, and of quarantined ones.
  std::uint32_t marked_count = 0;
  std::uint32_t quarantined_count = 0;
  Duration probation_interval{};
  TimePoint next_run_at{};
};

CrashQuarantine::CrashQuarantine(const CrashSettings& settings)
    : m_settings(settings), m_trials(settings.trials) {
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
                                                  Duration slow_run_threshold,
                                                  TimePoint now) {
  if (m_operator_list.contains(key.fingerprint)) {
    return {RunVerdict::kQuarantined, {}, {}};
  }
  Record* record = FindOrCreateRecord(key, now);
  if (now < record->refused_until) return {RunVerdict::kTryLater, {}, {}};
  CrashMark& mark = record->mark;
  if (!mark.crashes.empty()) {
    if (!IsAtCrashLimit(mark)) return AdmitMarked(record, shard, purpose, now);
    if (RaiseCrashLimitIfCommonCause(record, now)) {
      return {RunVerdict::kTryLater, {}, {}};
    }
    return AdmitTrial(record, shard, purpose, slow_run_threshold, now);
  }
  if (record->proven || !NeedsCanary(*record)) {
    return StartRun(record, shard, false);
  }
  return AdmitUnproven(record, shard, slow_run_threshold, now);
}

CrashQuarantine::Admission CrashQuarantine::AdmitMarked(Record* record,
                                                        ShardId shard,
                                                        AttemptPurpose purpose,
                                                        TimePoint now) {
  const std::vector<UpstreamCrash>& crashes = record->mark.crashes;
  if (record->proven &&
      std::ranges::find(crashes, shard, &UpstreamCrash::shard) ==
          crashes.end()) {
    return StartRun(record, shard, false);
  }
  const bool is_suspicious_variant = !record->proven && IsSuspicious(*record);
  if (purpose == AttemptPurpose::kHedge || is_suspicious_variant) {
    return {RunVerdict::kTryLater, {}, {}};
  }
  if (now < record->gossip_until) return DeferRun(record, record->gossip_until);
  if (CountCrashes(record->mark) + record->risky_runs >=
      record->mark.crash_limit) {
    return DeferRun(record, {});
  }
  const std::uint64_t slot = record->mark.key.service;
  if (m_slot_waiters.contains(slot)) return WaitForSlot(record, slot);
  m_slot_waiters.try_emplace(slot);
  return StartRun(record, shard, true);
}

// A trial runs at one of the shards where the request crashed an upstream. The
// other attempts of the request wait until it has ended.
CrashQuarantine::Admission CrashQuarantine::AdmitTrial(
    Record* record, ShardId shard, AttemptPurpose purpose,
    Duration slow_run_threshold, TimePoint now) {
  if (purpose == AttemptPurpose::kHedge) {
    return {RunVerdict::kQuarantined, {}, {}};
  }
  if (record->trial_in_flight) return DeferRun(record, {});
  if (!IsTrialDue(*record, now)) return {RunVerdict::kQuarantined, {}, {}};
  const std::vector<UpstreamCrash>& crashes = record->mark.crashes;
  if (std::ranges::find(crashes, shard, &UpstreamCrash::shard) ==
      crashes.end()) {
    return DeferRun(record, now + slow_run_threshold);
  }
  const std::uint64_t slot = record->mark.key.service;
  if (m_slot_waiters.contains(slot)) return WaitForSlot(record, slot);
  m_slot_waiters.try_emplace(slot);
  Admission admission = StartRun(record, shard, true);
  admission.run.trial = true;
  record->trial_in_flight = true;
  return admission;
}

bool CrashQuarantine::IsTrialDue(const Record& record, TimePoint now) const {
  return !record.trial_in_flight &&
         m_trials.IsDue(record.mark, now - record.last_crash_at);
}

void CrashQuarantine::OnTrialEnded(Record* record, RunOutcome outcome,
                                   TimePoint now) {
  record->trial_in_flight = false;
  const bool has_failed =
      outcome == RunOutcome::kCrashed || outcome == RunOutcome::kUnknown;
  if (!has_failed) return;
  ++record->mark.failed_trials;
  record->last_crash_at = now;
  OnChanged(record);
}

CrashQuarantine::Admission CrashQuarantine::AdmitUnproven(
    Record* record, ShardId shard, Duration slow_run_threshold, TimePoint now) {
  if (now < record->gossip_until) return DeferRun(record, record->gossip_until);
  if (record->risky_runs == 0) {
    if (const auto refused = CheckOrigin(record, now)) return *refused;
    record->canary_started_at = now;
    return StartRun(record, shard, false);
  }
  if (record->risky_runs >= m_settings.max_crashes) return DeferRun(record, {});
  const TimePoint slow_at = record->canary_started_at + slow_run_threshold;
  if (now < slow_at) return DeferRun(record, slow_at);
  return StartRun(record, shard, false);
}

std::optional<CrashQuarantine::Admission> CrashQuarantine::CheckOrigin(
    Record* record, TimePoint now) {
  const std::uint64_t key = record->mark.key.Origin();
  if (!IsSuspicious(*record)) return std::nullopt;
  Origin& origin = m_origins.at(key);
  if (m_slot_waiters.contains(key)) return WaitForSlot(record, key);
  if (m_settings.origin == OriginPolicy::kProbation) {
    if (now < origin.next_run_at) {
      return Admission{RunVerdict::kTryLater, {}, {}};
    }
    origin.next_run_at = now + origin.probation_interval;
  }
  m_slot_waiters.try_emplace(key);
  record->holds_origin_slot = true;
  return std::nullopt;
}

bool CrashQuarantine::IsSuspicious(const Record& record) const {
  if (m_settings.origin == OriginPolicy::kIgnore) return false;
  const auto found = m_origins.find(record.mark.key.Origin());
  return found != m_origins.end() && found->second.quarantined_count >=
                                         m_settings.suspicious_origin_threshold;
}

bool CrashQuarantine::IsAtCrashLimit(const CrashMark& mark) {
  return CountCrashes(mark) >= mark.crash_limit;
}

bool CrashQuarantine::NeedsCanary(const Record& record) const {
  if (m_settings.canary == CanaryPolicy::kUnproven) return true;
  if (IsSuspicious(record)) return true;
  if (m_settings.canary == CanaryPolicy::kNever) return false;
  const auto found = m_origins.find(record.mark.key.Origin());
  return found != m_origins.end() && found->second.marked_count > 0;
}

CrashQuarantine::Admission CrashQuarantine::StartRun(Record* record,
                                                     ShardId shard,
                                                     bool marked) {
  Admission admission;
  Run& run = admission.run;
  run.record = record;
  run.shard = shard;
  run.generation = static_cast<std::uint32_t>(record->mark.crashes.size());
  run.epoch = record->mark.epoch;
  run.marked = marked;
  run.unproven = !record->proven;
  ++record->runs_in_flight;
  if (run.marked || run.unproven) ++record->risky_runs;
  if (marked) record->marked_run_in_flight = true;
  return admission;
}

CrashQuarantine::Admission CrashQuarantine::DeferRun(
    Record* record, std::optional<TimePoint> recheck_at) {
  record->waiting = true;
  return {RunVerdict::kWait, {}, recheck_at};
}

CrashQuarantine::Admission CrashQuarantine::WaitForSlot(Record* record,
                                                        std::uint64_t slot) {
  const std::uint64_t fingerprint = record->mark.key.fingerprint;
  std::deque<std::uint64_t>& waiting = m_slot_waiters[slot];
  if (std::ranges::find(waiting, fingerprint) == waiting.end()) {
    waiting.push_back(fingerprint);
  }
  return DeferRun(record, {});
}

void CrashQuarantine::ReleaseSlot(std::uint64_t slot) {
  const auto node = m_slot_waiters.extract(slot);
  if (node.empty()) return;
  std::ranges::copy(node.mapped(), std::back_inserter(m_ready_fingerprints));
}

void CrashQuarantine::OnRunEnded(const Run& run, RunOutcome outcome,
                                 const Address& replica, TimePoint now) {
  Record* record = run.record;
  if (record == nullptr) return;
  --record->runs_in_flight;
  if (run.marked || run.unproven) {
    assert(record->risky_runs > 0);
    --record->risky_runs;
  }
  if (run.marked) {
    record->marked_run_in_flight = false;
    ReleaseSlot(record->mark.key.service);
  }
  if (run.trial) OnTrialEnded(record, outcome, now);
  if (outcome == RunOutcome::kSurvived) OnSurvived(run);
  if (outcome == RunOutcome::kCrashed) OnCrashed(run, replica, now);
  if (outcome == RunOutcome::kNotConnected) {
    record->gossip_until = now + m_settings.gossip_wait;
  }
  if (record->risky_runs == 0 &&
      std::exchange(record->holds_origin_slot, false)) {
    ReleaseSlot(record->mark.key.Origin());
  }
  AddReady(record);
}

void CrashQuarantine::OnSurvived(const Run& run) {
  Record* record = run.record;
  if (!record->proven) {
    record->proven = true;
    const auto origin = m_origins.find(record->mark.key.Origin());
    if (origin != m_origins.end()) {
      origin->second.probation_interval =
          std::max(m_settings.origin_min_interval,
                   origin->second.probation_interval / 2);
    }
  }
  const std::vector<UpstreamCrash>& crashes = record->mark.crashes;
  if (crashes.empty()) return;
  const bool same_shard =
      std::ranges::find(crashes, run.shard, &UpstreamCrash::shard) !=
      crashes.end();
  if (same_shard || !record->proven_at_first_crash) SetCrashes(record, {});
}

void CrashQuarantine::OnCrashed(const Run& run, const Address& replica,
                                TimePoint now) {
  Record* record = run.record;
  CrashMark& mark = record->mark;
  // A run that began before the mark was cleared knew of none of its crashes.
  const std::uint32_t generation = run.epoch == mark.epoch ? run.generation : 0;
  const UpstreamCrash crash{HashReplica(replica), run.shard, generation,
                            !run.unproven};
  m_crash_log.Add(mark.key, crash, now);
  mark.served_before = mark.served_before || record->proven;
  if (!AddCrash(crash, &mark)) return;
  record->last_crash_at = now;
  record->blamed = false;
  OnChanged(record);
  if (IsAtCrashLimit(mark)) RaiseCrashLimitIfCommonCause(record, now);
  if (run.unproven) ExtendProbation(*record, now);
}

void CrashQuarantine::ExtendProbation(const Record& record, TimePoint now) {
  if (!IsSuspicious(record)) return;
  Origin& origin = m_origins.at(record.mark.key.Origin());
  origin.probation_interval =
      std::clamp(origin.probation_interval * 2, m_settings.origin_min_interval,
                 m_settings.origin_max_interval);
  origin.next_run_at =
      std::max(origin.next_run_at, now + origin.probation_interval);
}

void CrashQuarantine::OnReplicaSurvived(const Address& replica,
                                        TimePoint since) {
  const std::uint64_t hash = HashReplica(replica);
  for (const std::uint64_t fingerprint : m_crash_log.Retract(hash, since)) {
    const auto found = m_by_fingerprint.find(fingerprint);
    if (found == m_by_fingerprint.end()) continue;
    Record* record = &*found->second;
    std::vector<UpstreamCrash> kept = record->mark.crashes;
    std::erase_if(kept, [hash](const UpstreamCrash& crash) {
      return crash.replica == hash;
    });
    if (kept.size() == record->mark.crashes.size()) continue;
    SetCrashes(record, std::move(kept));
    AddReady(record);
  }
}

RunVerdict CrashQuarantine::Check(const CrashKey& key, TimePoint now) {
  if (m_operator_list.contains(key.fingerprint)) {
    return RunVerdict::kQuarantined;
  }
  const auto found = m_by_fingerprint.find(key.fingerprint);
  if (found == m_by_fingerprint.end()) return RunVerdict::kRun;
  Record* record = &*found->second;
  Expire(record, now);
  if (now < record->refused_until) return RunVerdict::kTryLater;
  if (!IsAtCrashLimit(record->mark)) return RunVerdict::kRun;
  if (RaiseCrashLimitIfCommonCause(record, now)) return RunVerdict::kTryLater;
  return IsTrialDue(*record, now) ? RunVerdict::kRun : RunVerdict::kQuarantined;
}

std::optional<CrashQuarantine::RequestRun> CrashQuarantine::BeginRequest(
    const CrashKey& key, TimePoint now) {
  if (Check(key, now) != RunVerdict::kRun) return std::nullopt;
  RequestRun run;
  run.key = key;
  const auto found = m_by_fingerprint.find(key.fingerprint);
  if (found == m_by_fingerprint.end()) return run;
  Record& record = *found->second;
  run.generation = static_cast<std::uint32_t>(record.mark.crashes.size());
  run.epoch = record.mark.epoch;
  run.marked = !record.mark.crashes.empty();
  run.trial = IsAtCrashLimit(record.mark);
  if (run.trial) record.trial_in_flight = true;
  return run;
}

void CrashQuarantine::EndRequest(const RequestRun& run, RunOutcome outcome,
                                 const Address& replica, TimePoint now) {
  Admission admission = StartRun(FindOrCreateRecord(run.key, now), 0, false);
  admission.run.generation = run.generation;
  admission.run.epoch = run.epoch;
  admission.run.trial = run.trial;
  Record* record = admission.run.record;
  const bool was_proven = record->proven;
  OnRunEnded(admission.run, outcome, replica, now);
  // An answer shows that the replica survived, but not that it ran the request.
  record->proven = was_proven;
}

bool CrashQuarantine::RecordServed(const CrashKey& key, TimePoint now) {
  FindOrCreateRecord(key, now)->proven = true;
  return AddOwnEvidence(key.fingerprint);
}

bool CrashQuarantine::AddOwnEvidence(std::uint64_t fingerprint) {
  const auto found = m_by_fingerprint.find(fingerprint);
  if (found == m_by_fingerprint.end()) return false;
  Record* record = &*found->second;
  CrashMark& mark = record->mark;
  const bool adds =
      record->proven && !mark.crashes.empty() && !mark.served_before;
  if (!adds) return false;
  mark.served_before = true;
  OnChanged(record);
  return true;
}

std::optional<Duration> CrashQuarantine::TimeToTrial(std::uint64_t fingerprint,
                                                     TimePoint now) const {
  const auto found = m_by_fingerprint.find(fingerprint);
  if (found == m_by_fingerprint.end()) return std::nullopt;
  const Record& record = *found->second;
  if (!m_trials.IsAllowed(record.mark)) return std::nullopt;
  return m_trials.TimeToFirst(record.mark, now - record.last_crash_at);
}

bool CrashQuarantine::IsMarked(std::uint64_t fingerprint) const {
  const auto found = m_by_fingerprint.find(fingerprint);
  return found != m_by_fingerprint.end() &&
         !found->second->mark.crashes.empty();
}

bool CrashQuarantine::DidCrash(const Record& record, const Address& replica) {
  const std::vector<UpstreamCrash>& crashes = record.mark.crashes;
  if (crashes.empty()) return false;
  return std::ranges::find(crashes, HashReplica(replica),
                           &UpstreamCrash::replica) != crashes.end();
}

bool CrashQuarantine::RaiseCrashLimitIfCommonCause(Record* record,
                                                   TimePoint now) {
  CrashMark& mark = record->mark;
  if (record->blamed || mark.crash_limit > m_settings.max_crashes) return false;
  const TimePoint window_end =
      record->last_crash_at + m_settings.common_cause_window;
  const std::size_t unrelated_crashes = m_crash_log.CountUnrelatedCrashes(
      mark.key, record->last_crash_at, m_settings.common_cause_window);
  if (unrelated_crashes < m_settings.common_cause_min_crashes) {
    record->blamed = now > window_end;
    return false;
  }
  ++mark.crash_limit;
  record->refused_until = window_end;
  OnChanged(record);
  return true;
}

void CrashQuarantine::SetCrashes(Record* record,
                                 std::vector<UpstreamCrash> crashes) {
  ++record->mark.epoch;
  record->mark.crash_limit = m_settings.max_crashes;
  if (crashes.empty()) {
    record->mark.served_before = false;
    record->mark.failed_trials = 0;
  }
  record->mark.crashes = std::move(crashes);
  record->refused_until = {};
  OnChanged(record);
}

void CrashQuarantine::OnChanged(Record* record) {
  m_changed_fingerprints.insert(record->mark.key.fingerprint);
  const bool marked = !record->mark.crashes.empty();
  if (marked && !record->counted_marked) {
    record->proven_at_first_crash = record->proven;
  }
  UpdateOriginCounts(record, marked, marked && IsAtCrashLimit(record->mark));
}

void CrashQuarantine::UpdateOriginCounts(Record* record, bool marked,
                                         bool quarantined) {
  if (!marked && !record->counted_marked) return;
  const std::uint64_t key = record->mark.key.Origin();
  Origin& origin = m_origins[key];
  origin.marked_count += marked ? 1 : 0;
  origin.marked_count -= record->counted_marked ? 1 : 0;
  origin.quarantined_count += quarantined ? 1 : 0;
  origin.quarantined_count -= record->counted_quarantined ? 1 : 0;
  record->counted_marked = marked;
  record->counted_quarantined = quarantined;
  if (origin.marked_count == 0) m_origins.erase(key);
}

bool CrashQuarantine::Merge(const CrashMark& mark, TimePoint now) {
  Record* record = FindOrCreateRecord(mark.key, now);
  if (!MergeMark(mark, &record->mark)) return false;
  for (const UpstreamCrash& crash : record->mark.crashes) {
    m_crash_log.Add(mark.key, crash, now);
  }
  record->last_crash_at = now;
  record->blamed = false;
  OnChanged(record);
  if (!record->mark.crashes.empty() && !record->mark.crashes.back().proven) {
    ExtendProbation(*record, now);
  }
  AddReady(record);
  return true;
}

std::vector<CrashMark> CrashQuarantine::Marks() const {
  std::vector<CrashMark> marks;
  for (const Record& record : m_records) {
    if (record.mark.epoch > 0 || !record.mark.crashes.empty()) {
      marks.push_back(record.mark);
    }
  }
  return marks;
}

std::vector<CrashMark> CrashQuarantine::PopChanges() {
  std::vector<CrashMark> changes;
  changes.reserve(m_changed_fingerprints.size());
  for (const std::uint64_t fingerprint :
       std::exchange(m_changed_fingerprints, {})) {
    const auto found = m_by_fingerprint.find(fingerprint);
    if (found != m_by_fingerprint.end()) changes.push_back(found->second->mark);
  }
  return changes;
}

std::vector<std::uint64_t> CrashQuarantine::PopReady() {
  return std::exchange(m_ready_fingerprints, {});
}

bool CrashQuarantine::IsQuarantined(std::uint64_t fingerprint) const {
  if (m_operator_list.contains(fingerprint)) return true;
  const auto found = m_by_fingerprint.find(fingerprint);
  if (found == m_by_fingerprint.end()) return false;
  return IsAtCrashLimit(found->second->mark);
}

std::vector<UpstreamCrash> CrashQuarantine::CrashesOf(
    std::uint64_t fingerprint) const {
  const auto found = m_by_fingerprint.find(fingerprint);
  if (found == m_by_fingerprint.end()) return {};
  return found->second->mark.crashes;
}

void CrashQuarantine::AddReady(Record* record) {
  if (!std::exchange(record->waiting, false)) return;
  m_ready_fingerprints.push_back(record->mark.key.fingerprint);
}

CrashQuarantine::Record* CrashQuarantine::FindOrCreateRecord(
    const CrashKey& key, TimePoint now) {
  const auto [it, inserted] = m_by_fingerprint.try_emplace(key.fingerprint);
  if (!inserted) {
    m_records.splice(m_records.begin(), m_records, it->second);
    Expire(&m_records.front(), now);
    m_records.front().last_used_at = now;
    return &m_records.front();
  }
  Record& record = m_records.emplace_front();
  it->second = m_records.begin();
  record.mark.key = key;
  record.mark.crash_limit = m_settings.max_crashes;
  record.last_used_at = now;
  if (m_records.size() > m_settings.max_records) EvictOldest();
  return &record;
}

void CrashQuarantine::Expire(Record* record, TimePoint now) {
  if (now - record->last_used_at > m_settings.retention) record->proven = false;
  if (record->mark.crashes.empty()) return;
  if (now - record->last_crash_at <= m_settings.retention) return;
  SetCrashes(record, {});
}

void CrashQuarantine::EvictOldest() {
  Record& oldest = m_records.back();
  if (oldest.runs_in_flight > 0) {
    m_records.splice(m_records.begin(), m_records, std::prev(m_records.end()));
    return;
  }
  UpdateOriginCounts(&oldest, false, false);
  m_changed_fingerprints.erase(oldest.mark.key.fingerprint);
  m_by_fingerprint.erase(oldest.mark.key.fingerprint);
  m_records.pop_back();
}

}  // namespace chicoryvale
