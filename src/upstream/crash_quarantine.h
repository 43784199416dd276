#ifndef CHICORYVALE_SRC_UPSTREAM_CRASH_QUARANTINE_H_
#define CHICORYVALE_SRC_UPSTREAM_CRASH_QUARANTINE_H_

#include <cstddef>
#include <cstdint>
#include <deque>
#include <list>
#include <optional>
#include <unordered_map>
#include <unordered_set>
#include <vector>

#include "base/ids.h"
#include "base/time.h"
#include "ports/replica_gate.h"
#include "upstream/crash_log.h"
#include "upstream/crash_mark.h"

namespace chicoryvale {

/// Which requests run at one upstream before they run at many. Source of the
/// scheme: Dean and Barroso, The Tail at Scale, 2013 ("canary requests").
enum class CanaryPolicy : std::uint8_t {
  /// None.
  kNever,
  /// Those of a workspace and service with a request that is marked.
  kMarkedOrigin,
  /// Each request that no upstream has survived yet.
  kUnproven,
};

/// What the marks of a workspace and service mean for its other requests.
enum class OriginPolicy : std::uint8_t {
  /// Nothing: only the fingerprint counts.
  kIgnore,
  /// Requests that no upstream has survived yet run one at a time.
  kSerialize,
  /// As kSerialize, at growing intervals; others are refused.
  kProbation,
};

/// Settings of a CrashQuarantine.
struct CrashSettings {
  CanaryPolicy canary = CanaryPolicy::kUnproven;
  OriginPolicy origin = OriginPolicy::kProbation;
  /// Upstreams that one request may cost.
  std::uint32_t max_crashes = 2;
  /// Time that a mark or a survived run is remembered.
  Duration memory = seconds(3600);
  /// Upstreams lost within `common_cause_window` without the request's doing
  /// from which its own losses are put down to the same cause.
  std::uint32_t common_cause_min_crashes = 2;
  Duration common_cause_window = seconds(5);
  /// Quarantined fingerprints that make a workspace and service suspicious.
  std::uint32_t suspicious_origin_threshold = 2;
  Duration origin_min_interval = seconds(1);
  Duration origin_max_interval = seconds(60);
  /// Time for marks of other processes to arrive after an upstream was found
  /// gone, before a request that none has survived is tried elsewhere.
  Duration gossip_wait = milliseconds(20);
  /// Fingerprints remembered.
  std::size_t max_records = 65536;
};

/// Whether an attempt may run.
enum class RunVerdict : std::uint8_t {
  kRun,
  /// Ask again when TakeReady names the fingerprint, or at the given time.
  kWait,
  /// Refused for good: the request is quarantined.
  kQuarantined,
  /// Refused for now: its workspace and service are on probation, or its
  /// losses look like a common cause that still lasts.
  kRefusedForNow,
};

/// How a run ended, as far as crashes are concerned.
enum class RunEnd : std::uint8_t {
  /// The upstream answered, well or with an error: it survived.
  kSurvived,
  /// The connection died while the request may have run.
  kDied,
  /// No connection could be made.
  kNotConnected,
  /// The request did not run, or nothing is known.
  kUnknown,
};

/// Keeps requests that crash upstreams from running again. A request is marked
/// with each upstream that died while running it, cleared when an upstream
/// survives it, and quarantined at `max_crashes`. A marked request is never
/// hedged and is the only marked one of its service that runs from here, so
/// that two requests are not lost together twice. Not thread safe.
class CrashQuarantine {
 public:
  /// What is known of one fingerprint. Valid while a run of it is under way.
  struct Record;

  /// A run that was admitted.
  struct Run {
    /// Null if the run takes no part in quarantine.
    Record* record = nullptr;
    ShardId shard = 0;
    /// Deaths that were known when the run began.
    std::uint32_t generation = 0;
    /// The run takes the slot of marked requests of its service.
    bool marked = false;
    /// No upstream had survived the request when the run began.
    bool unproven = false;
  };

  /// The answer to Admit.
  struct Admission {
    RunVerdict verdict = RunVerdict::kRun;
    /// For kRun: to be given to OnEnd once.
    Run run;
    /// For kWait: when to ask again at the latest, if at all.
    std::optional<TimePoint> ask_again;
  };

  explicit CrashQuarantine(const CrashSettings& settings);
  ~CrashQuarantine();
  CrashQuarantine(const CrashQuarantine&) = delete;
  CrashQuarantine& operator=(const CrashQuarantine&) = delete;

  /// Sets the fingerprints that operators quarantined.
  void SetOperatorList(const std::vector<std::uint64_t>& fingerprints);

  /// Asks whether an attempt at `shard` may run. `patience` is the time after
  /// which a first run counts as slow and a second one may start.
  Admission Admit(const CrashKey& key, ShardId shard, AttemptPurpose purpose,
                  Duration patience, TimePoint now);

  /// Reports the end of an admitted run at `replica`.
  void OnEnd(const Run& run, RunEnd end, const Address& replica, TimePoint now);

  /// Takes back the deaths of `replica` reported at or after `since`: an
  /// answer to an older request shows that it lives.
  void OnReplicaSurvived(const Address& replica, TimePoint since);

  /// Returns whether `replica` is one that died while running the request.
  [[nodiscard]] static bool DiedOn(const Record& record,
                                   const Address& replica);

  /// Takes a mark from another process; returns whether it was news.
  bool Merge(const CrashMark& mark, TimePoint now);

  /// Returns all marks with deaths, and cleared ones that are remembered.
  [[nodiscard]] std::vector<CrashMark> Marks() const;

  /// Returns whether TakeChanges has something to return.
  [[nodiscard]] bool HasChanges() const { return !m_changed.empty(); }

  /// Returns the marks that changed since the last call.
  std::vector<CrashMark> TakeChanges();

  /// Returns fingerprints whose verdict may have changed from kWait.
  std::vector<std::uint64_t> TakeReady();

  /// Returns whether requests with this fingerprint are refused for good.
  [[nodiscard]] bool IsQuarantined(std::uint64_t fingerprint) const;

 private:
  struct Origin;

  Record* Touch(const CrashKey& key, TimePoint now);
  void Evict();
  void Expire(Record* record, TimePoint now);
  Admission AdmitMarked(Record* record, ShardId shard, AttemptPurpose purpose,
                        TimePoint now);
  Admission AdmitUnproven(Record* record, ShardId shard, Duration patience,
                          TimePoint now);
  std::optional<Admission> CheckOrigin(Record* record, TimePoint now);
  [[nodiscard]] bool NeedsCanary(const Record& record) const;
  [[nodiscard]] bool IsSuspicious(const Record& record) const;
  [[nodiscard]] static bool IsConvicted(const CrashMark& mark);
  static Admission Start(Record* record, ShardId shard, bool marked);
  static Admission Wait(Record* record, std::optional<TimePoint> ask_again);
  Admission WaitForSlot(Record* record, std::uint64_t slot);
  void ReleaseSlot(std::uint64_t slot);
  void MarkReady(Record* record);
  void OnSurvived(const Run& run);
  void OnDied(const Run& run, const Address& replica, TimePoint now);
  void SetDeaths(Record* record, std::vector<UpstreamCrash> deaths);
  void OnChanged(Record* record);
  void CountInOrigin(Record* record, bool marked, bool convicted);
  /// Lets the next request of a suspicious origin wait twice as long.
  void ExtendProbation(const Record& record, TimePoint now);
  /// Raises the allowance of a request whose deaths look like a common cause;
  /// returns whether it did.
  bool Spare(Record* record, TimePoint now);

  CrashSettings m_settings;
  std::unordered_set<std::uint64_t> m_operator_list;
  /// Most recently used first.
  std::list<Record> m_records;
  std::unordered_map<std::uint64_t, std::list<Record>::iterator> m_by_key;
  std::unordered_map<std::uint64_t, Origin> m_origins;
  /// Slots that are taken, by service or origin, with fingerprints that wait.
  std::unordered_map<std::uint64_t, std::deque<std::uint64_t>> m_slots;
  CrashLog m_crash_log;
  std::unordered_set<std::uint64_t> m_changed;
  std::vector<std::uint64_t> m_ready;
};

}  // namespace chicoryvale

#endif  // CHICORYVALE_SRC_UPSTREAM_CRASH_QUARANTINE_H_
