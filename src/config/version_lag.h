#ifndef CHICORYVALE_SRC_CONFIG_VERSION_LAG_H_
#define CHICORYVALE_SRC_CONFIG_VERSION_LAG_H_

#include <cstdint>
#include <deque>
#include <optional>

#include "base/ids.h"
#include "base/time.h"

namespace chicoryvale {

/// Tracks which newer versions of the configuration a process has heard of but
/// not adopted, and since when. Bounded in size; not thread safe.
class VersionLag {
 public:
  /// A version that was heard of.
  struct HeardVersion {
    std::uint64_t version = 0;
    /// Time at which this version, or a higher one, was first heard of.
    TimePoint heard_at{};
    /// The peer that announced it first.
    Address from;
  };

  /// Records that `from` has announced `version`. Has no effect unless it is
  /// higher than all versions heard of or adopted before.
  void OnHeard(std::uint64_t version, const Address& from, TimePoint now);

  /// Records that `version` is in force.
  void OnAdopted(std::uint64_t version);

  [[nodiscard]] bool IsBehind() const { return !m_missing.empty(); }

  /// Returns the highest version heard of or adopted.
  [[nodiscard]] std::uint64_t HighestVersion() const;

  /// Returns the newest version that is not adopted, or nothing.
  [[nodiscard]] std::optional<HeardVersion> Newest() const;

  /// Returns for how long the process has known of the oldest version that it
  /// has not adopted; zero if it is not behind.
  [[nodiscard]] Duration BehindFor(TimePoint now) const;

 private:
  std::uint64_t m_adopted_version = 0;
  /// Versions that are not adopted, in ascending order.
  std::deque<HeardVersion> m_missing;
};

}  // namespace chicoryvale

#endif  // CHICORYVALE_SRC_CONFIG_VERSION_LAG_H_
