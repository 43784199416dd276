#ifndef CHICORYVALE_SRC_UPSTREAM_CRASH_LOG_H_
#define CHICORYVALE_SRC_UPSTREAM_CRASH_LOG_H_

#include <cstddef>
#include <cstdint>
#include <deque>
#include <vector>

#include "base/time.h"
#include "upstream/crash_mark.h"

namespace chicoryvale {

/// The recent crashes of upstreams, with the requests that they ran. Bounded in
/// number and age. Not thread safe.
class CrashLog {
 public:
  /// Adds the crash of an upstream while it ran a request.
  void Add(const CrashKey& key, const UpstreamCrash& crash, TimePoint now);

  /// Removes the crashes of `replica` added at or after `since`; returns the
  /// fingerprints of the requests that it was running.
  std::vector<std::uint64_t> Retract(std::uint64_t replica, TimePoint since);

  /// Returns the number of upstreams that crashed within `window` before or
  /// after `at` and ran neither the request nor an unproven request of the same
  /// origin.
  [[nodiscard]] std::size_t CountUnrelatedCrashes(const CrashKey& key,
                                                  TimePoint at,
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
