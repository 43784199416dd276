#ifndef CHICORYVALE_SRC_ENDPOINT_METRICS_PAGE_H_
#define CHICORYVALE_SRC_ENDPOINT_METRICS_PAGE_H_

#include <cstdint>
#include <string>
#include <string_view>

#include "base/counters.h"
#include "ports/http.h"

namespace chicoryvale {

/// Builds the text of /metrics: one line "chicoryvale_<group>_<name> <value>"
/// for each counter. Not thread safe.
class MetricsPage {
 public:
  /// Adds every counter of `counters` under `group`.
  template <typename Enum>
  MetricsPage& Add(std::string_view group, const CounterSet<Enum>& counters) {
    counters.Visit([this, group](std::string_view name, std::uint64_t value) {
      AddValue(group, name, value);
    });
    return *this;
  }

  /// Adds the line for one value.
  MetricsPage& AddValue(std::string_view group, std::string_view name,
                        std::uint64_t value);

  /// Returns the HTTP response that contains the page.
  [[nodiscard]] HttpResponse Response() const;

 private:
  std::string m_text;
};

}  // namespace chicoryvale

#endif  // CHICORYVALE_SRC_ENDPOINT_METRICS_PAGE_H_
