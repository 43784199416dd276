#ifndef CHICORYVALE_SRC_BASE_COUNTERS_H_
#define CHICORYVALE_SRC_BASE_COUNTERS_H_

#include <array>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <string_view>

namespace chicoryvale {

/// Receives the name and the value of one counter of a set.
using CounterVisitor =
    std::function<void(std::string_view name, std::uint64_t value)>;

/// Names of the counters of an enumeration, in the order of its values.
template <typename Enum>
struct CounterNames;  // Specialised next to each enumeration, with `kNames`.

/// One counter for each value of `Enum`. `CounterNames<Enum>::kNames` is an
/// array of std::string_view with one name for each value, numbered from 0.
/// Not thread safe; used on one event loop only.
template <typename Enum>
class CounterSet {
 public:
  /// Adds `amount` to the counter `id`.
  void Add(Enum id, std::uint64_t amount = 1) {
    m_values[static_cast<std::size_t>(id)] += amount;
  }

  /// Returns the value of the counter `id`.
  [[nodiscard]] std::uint64_t Get(Enum id) const {
    return m_values[static_cast<std::size_t>(id)];
  }

  /// Calls `visitor` for each counter, including those with the value 0.
  void Visit(const CounterVisitor& visitor) const {
    for (std::size_t i = 0; i < m_values.size(); ++i) {
      visitor(CounterNames<Enum>::kNames[i], m_values[i]);
    }
  }

 private:
  std::array<std::uint64_t, CounterNames<Enum>::kNames.size()> m_values{};
};

}  // namespace chicoryvale

#endif  // CHICORYVALE_SRC_BASE_COUNTERS_H_
