#ifndef CHICORYVALE_SRC_UPSTREAM_CRASH_TRIALS_H_
#define CHICORYVALE_SRC_UPSTREAM_CRASH_TRIALS_H_

#include <cstdint>
#include <optional>
#include <utility>

#include "base/time.h"
#include "membership/entry_members.h"
#include "upstream/crash_mark.h"

namespace chicoryvale {

/// Settings of CrashTrials.
struct CrashTrialSettings {
  /// Number of trials that may fail before the quarantine is final.
  std::uint32_t max_failed = 3;
  /// Time from the last crash to the first trial, in which other requests that
  /// may be the cause are quarantined and crashed upstreams start again. Each
  /// failed trial multiplies it by `delay_factor`.
  Duration delay = seconds(5);
  std::uint32_t delay_factor = 4;
  /// How long the turn of one entry lasts. It starts trials in the first half
  /// only, because entries learn of a crash at different times.
  Duration turn = seconds(10);
};

/// Decides when a quarantined request is tried once more. Only a request that
/// an upstream served before it crashed one is tried: it may have been lost
/// with upstreams that another request crashed, while one that always crashed
/// its upstreams was never served. The entries take turns, so that one of them
/// tries at a time, and the number of trials is limited, because a request may
/// have become one that crashes upstreams. Not thread safe.
class CrashTrials {
 public:
  explicit CrashTrials(const CrashTrialSettings& settings)
      : m_settings(settings) {}

  /// Sets the entries that take turns. Until then this process is taken for the
  /// only one.
  void SetEntries(EntryMembers entries) { m_entries = std::move(entries); }

  /// Returns whether `mark` allows a trial at some time, at some entry.
  [[nodiscard]] bool IsAllowed(const CrashMark& mark) const {
    return mark.served_before && mark.failed_trials < m_settings.max_failed;
  }

  /// Returns whether this entry may start a trial now. `since_change` is the
  /// time since the last crash or failed trial became known.
  [[nodiscard]] bool IsDue(const CrashMark& mark, Duration since_change) const;

  /// Returns the time until some entry may start a trial, at least zero.
  [[nodiscard]] Duration TimeToFirst(const CrashMark& mark,
                                     Duration since_change) const;

 private:
  [[nodiscard]] Duration DelayOf(const CrashMark& mark) const;
  [[nodiscard]] bool IsOwnTurn(const CrashMark& mark, Duration overdue) const;

  CrashTrialSettings m_settings;
  std::optional<EntryMembers> m_entries;
};

}  // namespace chicoryvale

#endif  // CHICORYVALE_SRC_UPSTREAM_CRASH_TRIALS_H_
