#ifndef CHICORYVALE_SRC_PORTS_WALL_CLOCK_H_
#define CHICORYVALE_SRC_PORTS_WALL_CLOCK_H_

#include <cstdint>

namespace chicoryvale {

/// Interface to the machine's wall clock, which may jump. Thread safe.
class WallClock {
 public:
  virtual ~WallClock() = default;

  /// Returns the Unix time in milliseconds.
  [[nodiscard]] std::uint64_t UnixMs() const { return OnUnixMs(); }

 protected:
  [[nodiscard]] virtual std::uint64_t OnUnixMs() const = 0;
};

}  // namespace chicoryvale

#endif  // CHICORYVALE_SRC_PORTS_WALL_CLOCK_H_
