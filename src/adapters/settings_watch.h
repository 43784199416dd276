#ifndef CHICORYVALE_SRC_ADAPTERS_SETTINGS_WATCH_H_
#define CHICORYVALE_SRC_ADAPTERS_SETTINGS_WATCH_H_

#include <array>
#include <cstdint>
#include <functional>
#include <string>
#include <string_view>

#include "base/counters.h"
#include "ports/scheduler.h"

namespace chicoryvale {

class SettingsReader;

enum class SettingsCounter : std::uint8_t { kAdopted, kRefused };

template <>
struct CounterNames<SettingsCounter> {
  static constexpr std::array<std::string_view, 2> kNames = {"adopted",
                                                             "refused"};
};

/// Rereads a settings file that changes while the process runs, with a signal
/// or without one. A file with a fault changes nothing; the fault is logged.
/// Not thread safe.
class SettingsWatch {
 public:
  /// Reads every setting; faults go to the reader.
  using Read = std::function<void(SettingsReader& reader)>;
  /// Takes what Read has read without a fault.
  using Adopt = std::function<void()>;

  /// `scheduler` outlives the watch. The file at `path` is the one that the
  /// process was started with; with an empty path nothing is watched.
  SettingsWatch(Scheduler* scheduler, std::string path, Read read, Adopt adopt);
  ~SettingsWatch();
  SettingsWatch(const SettingsWatch&) = delete;
  SettingsWatch& operator=(const SettingsWatch&) = delete;

  /// Looks at the file from now on.
  void Start();

  /// Looks at the file now.
  void CheckNow();

  [[nodiscard]] const CounterSet<SettingsCounter>& Counters() const {
    return m_counters;
  }

 private:
  void LookAgain();

  Scheduler* m_scheduler;
  std::string m_path;
  Read m_read;
  Adopt m_adopt;
  /// Content that was adopted or refused last.
  std::string m_content;
  TimerId m_timer = 0;
  CounterSet<SettingsCounter> m_counters;
};

}  // namespace chicoryvale

#endif  // CHICORYVALE_SRC_ADAPTERS_SETTINGS_WATCH_H_
