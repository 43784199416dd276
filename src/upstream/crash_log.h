#ifndef CHICORYVALE_SRC_UPSTREAM_CRASH_LOG_H_
#define CHICORYVALE_SRC_UPSTREAM_CRASH_LOG_H_

#include <cstddef>
#include <cstdint>
#include <deque>
#include <vector>

#include "base/time.h"
#include "upstream/crash_mark.h"

namespace chicoryvale {

/// Upstreams that died of late, each with the requests that it ran. Bounded.
/// Not thread safe.
class CrashLog {
 public:
  /// Adds the death of an upstream while it ran a request.
  void Add(const CrashKey& key, const UpstreamCrash& death, TimePoint now);

  /// Removes the deaths of `replica` logged at or after `since`; returns the
  /// fingerprints that it ran.
  std::vector<std::uint64_t> TakeBack(std::uint64_t replica, TimePoint since);

  /// Returns how many upstreams died within `window` before or after `at` that
  /// ran neither the request nor, unproven, another of its origin.
  [[nodiscard]] std::size_t CountOthers(const CrashKey& key, TimePoint at,
                                        Duration window) const;

 private:
  struct Entry {
    TimePoint at{};
    std::uint64_t replica = 0;
    std::uint64_t fingerprint = 0;
    std::uint64_t origin = 0;
    bool proven = false;
  };

  std::deque<Entry> m_entries;
};

}  // namespace chicoryvale

#endif  // CHICORYVALE_SRC_UPSTREAM_CRASH_LOG_H_
