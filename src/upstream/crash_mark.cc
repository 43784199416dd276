#include "upstream/crash_mark.h"

#include <algorithm>
#include <cassert>
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
