#ifndef CHICORYVALE_SRC_ENDPOINT_ERROR_COUNTERS_H_
#define CHICORYVALE_SRC_ENDPOINT_ERROR_COUNTERS_H_

#include <array>
#include <cstddef>
#include <string_view>

#include "base/counters.h"
#include "chicoryvale/error.h"

namespace chicoryvale {

/// Names of the counters of error answers, one for each error kind.
template <>
struct CounterNames<ErrorKind> {
  static constexpr std::size_t kCount =
      static_cast<std::size_t>(ErrorKind::kInternal) + 1;
  static const std::array<std::string_view, kCount> kNames;
};

inline const std::array<std::string_view, CounterNames<ErrorKind>::kCount>
    CounterNames<ErrorKind>::kNames = [] {
      std::array<std::string_view, kCount> names;
      for (std::size_t i = 0; i < kCount; ++i) {
        names[i] = AllErrorProperties()[i].name;
      }
      return names;
    }();

}  // namespace chicoryvale

#endif  // CHICORYVALE_SRC_ENDPOINT_ERROR_COUNTERS_H_
