#include "upstream/crash_mark.h"

#include <algorithm>
#include <cassert>
#include <iterator>
#include <tuple>
#include <utility>

namespace chicoryvale {

namespace {

bool IsSameCrash(const UpstreamCrash& a, const UpstreamCrash& b) {
  return std::tie(a.replica, a.shard, a.generation) ==
         std::tie(b.replica, b.shard, b.generation);
}

/// Keeps one report of each crash, preferably one with `proven` set.
void RemoveDuplicates(std::vector<UpstreamCrash>* crashes) {
  // A report with `proven` set sorts after the same report without it.
  std::reverse(crashes->begin(), crashes->end());
  crashes->erase(std::unique(crashes->begin(), crashes->end(), IsSameCrash),
                 crashes->end());
  std::reverse(crashes->begin(), crashes->end());
}

}  // namespace

std::uint32_t CountCrashes(const CrashMark& mark) {
  std::vector<std::uint32_t> proven_generations;
  std::uint32_t count = 0;
  for (const UpstreamCrash& crash : mark.crashes) {
    if (!crash.proven) {
      ++count;
    } else if (std::ranges::find(proven_generations, crash.generation) ==
               proven_generations.end()) {
      proven_generations.push_back(crash.generation);
      ++count;
    }
  }
  return count;
}

void TrimCrashes(std::size_t max_count, CrashMark* mark) {
  if (mark->crashes.size() <= max_count) return;
  // One crash of each generation counts, and all that are not proven.
  std::vector<UpstreamCrash> counted;
  std::vector<UpstreamCrash> others;
  for (const UpstreamCrash& crash : mark->crashes) {
    const bool counts =
        !crash.proven ||
        std::ranges::none_of(counted, [&crash](const UpstreamCrash& other) {
          return other.proven && other.generation == crash.generation;
        });
    (counts ? counted : others).push_back(crash);
  }
  std::ranges::copy(others, std::back_inserter(counted));
  counted.resize(max_count);
  std::sort(counted.begin(), counted.end());
  mark->crashes = std::move(counted);
}

bool AddCrash(const UpstreamCrash& crash, CrashMark* mark) {
  const CrashMark before = *mark;
  const auto at =
      std::lower_bound(mark->crashes.begin(), mark->crashes.end(), crash);
  mark->crashes.insert(at, crash);
  RemoveDuplicates(&mark->crashes);
  return *mark != before;
}

bool MergeMark(const CrashMark& other, CrashMark* mark) {
  assert(other.key.fingerprint == mark->key.fingerprint);
  if (other.epoch < mark->epoch) return false;
  if (other.epoch > mark->epoch) {
    *mark = other;
    return true;
  }
  CrashMark merged = *mark;
  merged.crash_limit = std::max(mark->crash_limit, other.crash_limit);
  merged.served_before = mark->served_before || other.served_before;
  merged.failed_trials = std::max(mark->failed_trials, other.failed_trials);
  merged.crashes.clear();
  std::set_union(mark->crashes.begin(), mark->crashes.end(),
                 other.crashes.begin(), other.crashes.end(),
                 std::back_inserter(merged.crashes));
  RemoveDuplicates(&merged.crashes);
  const bool changed = merged != *mark;
  *mark = std::move(merged);
  return changed;
}

}  // namespace chicoryvale
