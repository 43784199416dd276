#ifndef CHICORYVALE_SRC_ROUTING_SERVED_REQUESTS_H_
#define CHICORYVALE_SRC_ROUTING_SERVED_REQUESTS_H_

#include <array>
#include <cstddef>
#include <cstdint>
#include <vector>

namespace chicoryvale {

/// Remembers which requests replicas have answered with success, in a fixed
/// amount of memory: a set-associative cache in which the least recently
/// answered request of a set is forgotten first. A request that many callers
/// send stays remembered. Not thread safe.
class ServedRequests {
 public:
  ServedRequests() : m_sets(kSetCount) {}

  /// Remembers that the request with this fingerprint was answered.
  void Record(std::uint64_t fingerprint);

  /// Returns whether the request is remembered.
  [[nodiscard]] bool Contains(std::uint64_t fingerprint) const;

 private:
  static constexpr std::size_t kSetCount = 4096;
  static constexpr std::size_t kWays = 4;

  /// Fingerprints of one set, the last answered one first; 0 if there is none.
  using Set = std::array<std::uint64_t, kWays>;

  std::vector<Set> m_sets;
};

}  // namespace chicoryvale

#endif  // CHICORYVALE_SRC_ROUTING_SERVED_REQUESTS_H_
