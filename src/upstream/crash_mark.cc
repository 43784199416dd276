#include "upstream/crash_mark.h"

#include <algorithm>
#include <cassert>
#include <tuple>
#include <utility>

namespace chicoryvale {

namespace {

bool IsSameDeath(const UpstreamCrash& a, const UpstreamCrash& b) {
  return std::tie(a.replica, a.shard, a.generation) ==
         std::tie(b.replica, b.shard, b.generation);
}

/// Keeps one of the reports of each death, the one that says "proven" if any.
void DropDoubles(std::vector<UpstreamCrash>* deaths) {
  // A report that says "proven" sorts behind one that does not.
  std::reverse(deaths->begin(), deaths->end());
  deaths->erase(std::unique(deaths->begin(), deaths->end(), IsSameDeath),
                deaths->end());
  std::reverse(deaths->begin(), deaths->end());
}

}  // namespace

std::uint32_t CountDeaths(const CrashMark& mark) {
  std::vector<std::uint32_t> proven_generations;
  std::uint32_t count = 0;
  for (const UpstreamCrash& death : mark.deaths) {
    if (!death.proven) {
      ++count;
    } else if (std::ranges::find(proven_generations, death.generation) ==
               proven_generations.end()) {
      proven_generations.push_back(death.generation);
      ++count;
    }
  }
  return count;
}

bool AddDeath(const UpstreamCrash& death, CrashMark* mark) {
  const CrashMark before = *mark;
  const auto at =
      std::lower_bound(mark->deaths.begin(), mark->deaths.end(), death);
  mark->deaths.insert(at, death);
  DropDoubles(&mark->deaths);
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
  merged.allowance = std::max(mark->allowance, other.allowance);
  merged.deaths.clear();
  std::set_union(mark->deaths.begin(), mark->deaths.end(), other.deaths.begin(),
                 other.deaths.end(), std::back_inserter(merged.deaths));
  DropDoubles(&merged.deaths);
  const bool changed = merged != *mark;
  *mark = std::move(merged);
  return changed;
}

}  // namespace chicoryvale
