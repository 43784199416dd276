#include "routing/crash_guard.h"

#include <algorithm>
#include <utility>

#include "base/hash.h"
#include "membership/entry_members.h"

namespace chicoryvale {
namespace {

/// A crashed replica needs longer than this to start again, so one that answers
/// a send of this time has not crashed.
constexpr Duration kMinReplicaRestartTime = seconds(1);

/// Time after which callers of a request should retry that is quarantined for
/// good, and the least time if it is tried again.
constexpr Duration kRetryAfterQuarantine = seconds(60);
constexpr Duration kMinRetryAfter = seconds(1);

constexpr char kHostHeader[] = "Host";

// Replicas differ in slots and shards, and a routed request has no workspace:
// only the request itself is known to be at fault.
CrashSettings Settings() {
  CrashSettings settings;
  settings.canary = CanaryPolicy::kNever;
  settings.origin = OriginPolicy::kIgnore;
  return settings;
}

// Lists the crashes of a request, each as the hash of the replica, the number
// of crashes that were known when the run began, and whether the request was
// proven then.
std::string CrashesText(const CrashQuarantine& quarantine,
                        std::uint64_t fingerprint) {
  std::string text;
  for (const UpstreamCrash& crash : quarantine.CrashesOf(fingerprint)) {
    if (!text.empty()) text += ' ';
    text += std::to_string(crash.replica) + ":" +
            std::to_string(crash.generation) + (crash.proven ? ":proven" : "");
  }
  return text;
}

}  // namespace

CrashGuard::CrashGuard(const Ports& ports, std::string self_id)
    : m_ports(ports),
      m_quarantine(Settings()),
      m_publisher(&m_quarantine, ports.gossip, std::move(self_id)) {}

void CrashGuard::Start() {
  m_ports.gossip->AddItemListener(
      [this](const GossipItem& item) { Merge(item); });
  for (const GossipItem& item : m_ports.gossip->Items(GossipKind::kCrashMark)) {
    Merge(item);
  }
  m_quarantine.SetEntries(EntryMembers(*m_ports.members));
  m_ports.members->AddListener(
      [this] { m_quarantine.SetEntries(EntryMembers(*m_ports.members)); });
}

void CrashGuard::Merge(const GossipItem& item) {
  if (item.kind != GossipKind::kCrashMark) return;
  const auto mark = CrashMarkPublisher::DecodeItem(item);
  if (!mark) return;
  m_has_marks = true;
  const TimePoint now = m_ports.scheduler->Now();
  m_quarantine.Merge(*mark, now);
  // The entry that observed the crashes publishes them.
  m_quarantine.PopChanges();
  // This entry may be the only one that knows that the request was served.
  if (m_served.Contains(mark->key.fingerprint)) {
    m_quarantine.RecordServed(mark->key, now);
  }
  m_publisher.PublishChanges();
}

CrashKey CrashGuard::KeyOf(const OpaqueRequest& request) {
  constexpr std::string_view kSeparator{"\0", 1};
  std::uint64_t hash = HashBytes(request.method);
  hash = HashBytes(kSeparator, hash);
  hash = HashBytes(request.target, hash);
  hash = HashBytes(kSeparator, hash);
  hash = HashBytes(FindHeader(request.headers, kHostHeader), hash);
  hash = HashBytes(kSeparator, hash);
  if (request.body) hash = HashBytes(*request.body, hash);
  return {.fingerprint = MixHash(hash), .workspace = 0, .service = 0};
}

bool CrashGuard::MayRun(const OpaqueRequest& request) {
  if (!m_has_marks) return true;
  const CrashKey key = KeyOf(request);
  const RunVerdict verdict = m_quarantine.Check(key, m_ports.scheduler->Now());
  m_publisher.PublishChanges();
  if (verdict == RunVerdict::kRun) return true;
  m_counters.Add(CrashGuardCounter::kRequestsQuarantined);
  m_ports.log->Write(
      LogLevel::kWarning, "request_quarantined",
      {{"id", request.id}, {"fingerprint", std::to_string(key.fingerprint)}});
  return false;
}

Duration CrashGuard::RetryAfter(const OpaqueRequest& request) const {
  const auto time_to_trial = m_quarantine.TimeToTrial(
      KeyOf(request).fingerprint, m_ports.scheduler->Now());
  if (!time_to_trial) return kRetryAfterQuarantine;
  return std::max(*time_to_trial, kMinRetryAfter);
}

std::optional<CrashGuard::Run> CrashGuard::Begin(const OpaqueRequest& request) {
  Run run;
  run.key = KeyOf(request);
  if (!m_has_marks) return run;
  const auto begun =
      m_quarantine.BeginRequest(run.key, m_ports.scheduler->Now());
  m_publisher.PublishChanges();
  if (begun && begun->trial) {
    m_counters.Add(CrashGuardCounter::kTrials);
    m_ports.log->Write(LogLevel::kWarning, "quarantine_trial",
                       {{"id", request.id},
                        {"fingerprint", std::to_string(run.key.fingerprint)}});
  }
  return begun;
}

void CrashGuard::End(const Run& run, const OpaqueRequest& request,
                     const RunEnd& end) {
  if (end.succeeded) m_served.Record(run.key.fingerprint);
  if (end.survived) return RecordSurvival(run, request);
  if (end.lost_replica) return RecordLoss(run, request, *end.lost_replica);
  if (!run.trial) return;
  m_quarantine.EndRequest(
      run, end.may_have_run ? RunOutcome::kUnknown : RunOutcome::kNotRun, {},
      m_ports.scheduler->Now());
  m_publisher.PublishChanges();
}

bool CrashGuard::IsMarked(const OpaqueRequest& request) const {
  return m_has_marks && m_quarantine.IsMarked(KeyOf(request).fingerprint);
}

void CrashGuard::RecordLoss(const Run& run, const OpaqueRequest& request,
                            const Address& replica) {
  m_has_marks = true;
  const std::uint64_t fingerprint = run.key.fingerprint;
  const TimePoint now = m_ports.scheduler->Now();
  const bool was_quarantined = m_quarantine.IsQuarantined(fingerprint);
  if (m_served.Contains(fingerprint)) m_quarantine.RecordServed(run.key, now);
  m_quarantine.EndRequest(run, RunOutcome::kCrashed, replica, now);
  m_publisher.PublishChanges();
  const bool is_quarantined = m_quarantine.IsQuarantined(fingerprint);
  m_counters.Add(CrashGuardCounter::kRequestsLostWithReplica);
  m_ports.log->Write(LogLevel::kWarning, "request_lost_with_replica",
                     {{"id", request.id},
                      {"fingerprint", std::to_string(fingerprint)},
                      {"replica", replica.host_port},
                      {"quarantined", is_quarantined ? "yes" : "no"}});
  if (!was_quarantined && is_quarantined) RecordQuarantine(fingerprint);
}

void CrashGuard::RecordQuarantine(std::uint64_t fingerprint) {
  const bool served = m_served.Contains(fingerprint);
  m_counters.Add(CrashGuardCounter::kQuarantinesBegun);
  if (served) m_counters.Add(CrashGuardCounter::kServedRequestsQuarantined);
  m_ports.log->Write(LogLevel::kWarning, "quarantine_began",
                     {{"fingerprint", std::to_string(fingerprint)},
                      {"served_before", served ? "yes" : "no"},
                      {"crashes", CrashesText(m_quarantine, fingerprint)}});
}

void CrashGuard::RecordSurvival(const Run& run, const OpaqueRequest& request) {
  if (!m_has_marks) return;
  const std::uint64_t fingerprint = run.key.fingerprint;
  if (!m_quarantine.IsMarked(fingerprint)) return;
  const bool was_quarantined = m_quarantine.IsQuarantined(fingerprint);
  m_quarantine.EndRequest(run, RunOutcome::kSurvived, {},
                          m_ports.scheduler->Now());
  m_publisher.PublishChanges();
  m_counters.Add(CrashGuardCounter::kRequestsCleared);
  if (!was_quarantined) return;
  m_ports.log->Write(
      LogLevel::kWarning, "quarantine_ended",
      {{"id", request.id}, {"fingerprint", std::to_string(fingerprint)}});
}

void CrashGuard::RecordAnswer(const Address& replica, TimePoint sent_at) {
  if (!m_has_marks) return;
  m_quarantine.OnReplicaSurvived(replica, sent_at - kMinReplicaRestartTime);
  m_publisher.PublishChanges();
}

}  // namespace chicoryvale
