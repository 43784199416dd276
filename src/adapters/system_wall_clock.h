#ifndef CHICORYVALE_SRC_ADAPTERS_SYSTEM_WALL_CLOCK_H_
#define CHICORYVALE_SRC_ADAPTERS_SYSTEM_WALL_CLOCK_H_

#include <chrono>
#include <cstdint>

#include "ports/wall_clock.h"

namespace chicoryvale {

/// WallClock that reads std::chrono::system_clock. Thread safe.
class SystemWallClock : public WallClock {
 protected:
  [[nodiscard]] std::uint64_t OnUnixMs() const override {
    const auto now = std::chrono::system_clock::now().time_since_epoch();
    return static_cast<std::uint64_t>(
        std::chrono::duration_cast<std::chrono::milliseconds>(now).count());
  }
};

}  // namespace chicoryvale

#endif  // CHICORYVALE_SRC_ADAPTERS_SYSTEM_WALL_CLOCK_H_
