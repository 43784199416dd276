#ifndef CHICORYVALE_SRC_UPSTREAM_CRASH_QUARANTINE_H_
#define CHICORYVALE_SRC_UPSTREAM_CRASH_QUARANTINE_H_

#include <cstddef>
#include <cstdint>
#include <deque>
#include <list>
#include <optional>
#include <unordered_map>
#include <unordered_set>
#include <utility>
#include <vector>

#include "base/ids.h"
#include "base/time.h"
#include "ports/replica_gate.h"
#include "upstream/crash_log.h"
#include "upstream/crash_mark.h"
#include "upstream/crash_trials.h"

namespace chicoryvale {

/// Which requests run at one upstream before they run at many. Source of the
/// scheme: Dean and Barroso, The Tail at Scale, 2013 ("canary requests").
enum class CanaryPolicy : std::uint8_t {
  /// No requests.
  kNever,
  /// Requests whose workspace and service have a marked request.
  kMarkedOrigin,
  /// All requests that no upstream has survived yet.
  kUnproven,
};

/// How the marked requests of an origin (a workspace and a service) affect its
/// other requests.
enum class OriginPolicy : std::uint8_t {
  /// Not at all: only requests with the same fingerprint are affected.
  kIgnore,
  /// In a suspicious origin, requests that no upstream has survived yet run one
  /// at a time.
  kSerialize,
  /// As kSerialize, but at growing intervals; requests in between are refused.
  kProbation,
};

/// Settings of a CrashQuarantine.
struct CrashSettings {
  CanaryPolicy canary = CanaryPolicy::kUnproven;
  OriginPolicy origin = OriginPolicy::kProbation;
  /// Number of crashes at which a request is quarantined. Two crashes of the
  /// same upstream count twice. A common cause raises the number by one.
  std::uint32_t max_crashes = 2;
  /// Time for which a mark or a survived run is remembered.
  Duration retention = seconds(3600);
  /// Number of unrelated upstreams that have to crash within
  /// `common_cause_window` of a request's last crash for the request's own
  /// crashes to be attributed to the same cause.
  std::uint32_t common_cause_min_crashes = 2;
  Duration common_cause_window = seconds(5);
  /// Number of quarantined fingerprints after which their workspace and service
  /// are suspicious.
  std::uint32_t suspicious_origin_threshold = 2;
  Duration origin_min_interval = seconds(1);
  Duration origin_max_interval = seconds(60);
  /// Time to wait for marks of other processes after a connection to an
  /// upstream failed, before a request that no upstream has survived is tried
  /// at another one.
  Duration gossip_wait = milliseconds(20);
  /// When a quarantined request is tried once more.
  CrashTrialSettings trials;
  /// Maximum number of fingerprints remembered.
  std::size_t max_records = 65536;
};

/// Whether an attempt may run.
enum class RunVerdict : std::uint8_t {
  kRun,
  /// Ask again when PopReady returns the fingerprint, or at the given time.
  kWait,
  /// Refused permanently: the request is quarantined.
  kQuarantined,
  /// Refused temporarily: its workspace and service are on probation, the
  /// request would be a hedge of a marked request, or its crashes look like a
  /// common cause that may persist.
  kTryLater,
};

/// How a run ended with respect to crashes.
enum class RunOutcome : std::uint8_t {
  /// The upstream answered, with success or an error, so it survived.
  kSurvived,
  /// The connection was lost while the request may have run.
  kCrashed,
  /// No connection could be made.
  kNotConnected,
  /// The request did not run.
  kNotRun,
  /// The request may have run, and its outcome is unknown.
  kUnknown,
};

/// Prevents requests that crash upstreams from running again. A request is
/// marked with each upstream that crashed while running it, cleared when an
/// upstream survives it, and quarantined at `max_crashes` crashes. At a
/// shard where it crashed an upstream, or at any shard if no upstream has
/// survived it, a marked request is not hedged, and only one such run of a
/// service is in flight in this process, so that a harmless request that was
/// lost together with a crashing one is not lost with it again. A quarantined
/// request that was served before gets a limited number of trials, see
/// CrashTrials. Not thread safe.
class CrashQuarantine {
 public:
  /// State of one fingerprint. Valid while a run of it is in flight.
  struct Record;

  /// A run that was admitted.
  struct Run {
    /// Null if the run does not take part in quarantine.
    Record* record = nullptr;
    ShardId shard = 0;
    /// Number of the request's crashes that were known when the run began, and
    /// the epoch of its mark.
    std::uint32_t generation = 0;
    std::uint32_t epoch = 0;
    /// The run is the trial of a quarantined request.
    bool trial = false;
    /// The run occupies the slot for marked requests of its service.
    bool marked = false;
    /// The request was unproven when the run began: no upstream had survived
    /// it.
    bool unproven = false;
  };

  /// A run of a whole request, for callers that report only how whole requests
  /// end.
  struct RequestRun {
    CrashKey key;
    /// As in Run.
    std::uint32_t generation = 0;
    std::uint32_t epoch = 0;
    bool trial = false;
    /// The request was marked when the run began.
    bool marked = false;
  };

  /// Result of Admit.
  struct Admission {
    RunVerdict verdict = RunVerdict::kRun;
    /// For kRun: to be passed to OnRunEnded exactly once.
    Run run;
    /// For kWait: the latest time to ask again, if there is one.
    std::optional<TimePoint> recheck_at;
  };

  explicit CrashQuarantine(const CrashSettings& settings);
  ~CrashQuarantine();
  CrashQuarantine(const CrashQuarantine&) = delete;
  CrashQuarantine& operator=(const CrashQuarantine&) = delete;

  /// Sets the entries that take turns with trials, this one included.
  void SetEntries(EntryMembers entries) {
    m_trials.SetEntries(std::move(entries));
  }

  /// Sets the fingerprints that operators quarantined.
  void SetOperatorList(const std::vector<std::uint64_t>& fingerprints);

  /// Decides whether an attempt at `shard` may run. `slow_run_threshold` is the
  /// time after which a first run counts as slow and a second one may start.
  Admission Admit(const CrashKey& key, ShardId shard, AttemptPurpose purpose,
                  Duration slow_run_threshold, TimePoint now);

  /// Records the end of an admitted run at `replica`.
  void OnRunEnded(const Run& run, RunOutcome outcome, const Address& replica,
                  TimePoint now);

  /// Retracts the crashes of `replica` reported at or after `since`, because an
  /// answer to an older request shows that it did not crash.
  void OnReplicaSurvived(const Address& replica, TimePoint since);

  /// Returns whether `replica` crashed while running the request.
  [[nodiscard]] static bool DidCrash(const Record& record,
                                     const Address& replica);

  /// Merges a mark from another process; returns whether it changed anything.
  bool Merge(const CrashMark& mark, TimePoint now);

  /// Returns all marks with crashes, and the remembered marks that were
  /// cleared.
  [[nodiscard]] std::vector<CrashMark> Marks() const;

  /// Returns whether PopChanges has something to return.
  [[nodiscard]] bool HasChanges() const {
    return !m_changed_fingerprints.empty();
  }

  /// Removes and returns the marks that changed since the last call.
  std::vector<CrashMark> PopChanges();

  /// Removes and returns the fingerprints whose verdict may no longer be kWait.
  std::vector<std::uint64_t> PopReady();

  /// Decides whether the request may run, for callers that report only how
  /// whole requests end. Never returns kWait.
  RunVerdict Check(const CrashKey& key, TimePoint now);

  /// Begins a run of a whole request if Check allows it. A request has at most
  /// one trial at a time, which lasts until EndRequest.
  std::optional<RequestRun> BeginRequest(const CrashKey& key, TimePoint now);

  /// Records how a run of a whole request ended; for kCrashed, `replica` is the
  /// one that crashed. Needed only for kCrashed, and for requests that are
  /// marked.
  void EndRequest(const RequestRun& run, RunOutcome outcome,
                  const Address& replica, TimePoint now);

  /// Records that an upstream served the request before a crash that is in the
  /// mark or about to be recorded. Returns whether this changed the mark.
  bool RecordServed(const CrashKey& key, TimePoint now);

  /// Adds to the mark of the request that an upstream served it before, if this
  /// process knows that and the mark doesn't say so. Returns whether this
  /// changed the mark. To be called for marks of other processes.
  bool AddOwnEvidence(std::uint64_t fingerprint);

  /// Returns the time until a quarantined request may be tried once more, or
  /// nothing if it may not.
  [[nodiscard]] std::optional<Duration> TimeToTrial(std::uint64_t fingerprint,
                                                    TimePoint now) const;

  /// Returns whether the request has crashed an upstream since one survived it.
  [[nodiscard]] bool IsMarked(std::uint64_t fingerprint) const;

  /// Returns whether requests with this fingerprint are refused permanently.
  [[nodiscard]] bool IsQuarantined(std::uint64_t fingerprint) const;

  /// Returns the crashes that the request is marked with.
  [[nodiscard]] std::vector<UpstreamCrash> CrashesOf(
      std::uint64_t fingerprint) const;

 private:
  struct Origin;

  Record* FindOrCreateRecord(const CrashKey& key, TimePoint now);
  void EvictOldest();
  void Expire(Record* record, TimePoint now);
  Admission AdmitMarked(Record* record, ShardId shard, AttemptPurpose purpose,
                        TimePoint now);
  Admission AdmitUnproven(Record* record, ShardId shard,
                          Duration slow_run_threshold, TimePoint now);
  Admission AdmitTrial(Record* record, ShardId shard, AttemptPurpose purpose,
                       Duration slow_run_threshold, TimePoint now);
  [[nodiscard]] bool IsTrialDue(const Record& record, TimePoint now) const;
  void OnTrialEnded(Record* record, RunOutcome outcome, TimePoint now);
  std::optional<Admission> CheckOrigin(Record* record, TimePoint now);
  [[nodiscard]] bool NeedsCanary(const Record& record) const;
  [[nodiscard]] bool IsSuspicious(const Record& record) const;
  [[nodiscard]] static bool IsAtCrashLimit(const CrashMark& mark);
  static Admission StartRun(Record* record, ShardId shard, bool marked);
  static Admission DeferRun(Record* record,
                            std::optional<TimePoint> recheck_at);
  Admission WaitForSlot(Record* record, std::uint64_t slot);
  void ReleaseSlot(std::uint64_t slot);
  void AddReady(Record* record);
  void OnSurvived(const Run& run);
  void OnCrashed(const Run& run, const Address& replica, TimePoint now);
  void SetCrashes(Record* record, std::vector<UpstreamCrash> crashes);
  void OnChanged(Record* record);
  void UpdateOriginCounts(Record* record, bool marked, bool quarantined);
  /// Doubles the interval at which unproven requests of a suspicious origin
  /// run.
  void ExtendProbation(const Record& record, TimePoint now);
  /// Raises the crash limit of a request whose crashes look like a common
  /// cause; returns whether it was raised.
  bool RaiseCrashLimitIfCommonCause(Record* record, TimePoint now);

  CrashSettings m_settings;
  CrashTrials m_trials;
  std::unordered_set<std::uint64_t> m_operator_list;
  /// Most recently used first.
  std::list<Record> m_records;
  std::unordered_map<std::uint64_t, std::list<Record>::iterator>
      m_by_fingerprint;
  std::unordered_map<std::uint64_t, Origin> m_origins;
  /// Occupied slots, by service or origin; each with the fingerprints that wait
  /// for it.
  std::unordered_map<std::uint64_t, std::deque<std::uint64_t>> m_slot_waiters;
  CrashLog m_crash_log;
  std::unordered_set<std::uint64_t> m_changed_fingerprints;
  std::vector<std::uint64_t> m_ready_fingerprints;
};

}  // namespace chicoryvale

#endif  // CHICORYVALE_SRC_UPSTREAM_CRASH_QUARANTINE_H_
