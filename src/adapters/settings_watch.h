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

/// Rereads a settings file when its content changes while the process runs. The
/// file is checked periodically and on request, for example after a signal. A
/// file with errors is logged and otherwise ignored. Not thread safe.
class SettingsWatch {
 public:
  /// Reads every setting and adds errors to the reader.
  using ReadCallback = std::function<void(SettingsReader& reader)>;
  /// Puts the settings into effect that ReadCallback has read without errors.
  using AdoptCallback = std::function<void()>;

  /// `scheduler` must outlive this object. `path` is the settings file that the
  /// process was started with; if it is empty, no file is watched.
  SettingsWatch(Scheduler* scheduler, std::string path, ReadCallback read,
                AdoptCallback adopt);
  ~SettingsWatch();
  SettingsWatch(const SettingsWatch&) = delete;
  SettingsWatch& operator=(const SettingsWatch&) = delete;

  /// Starts the periodic checks.
  void Start();

  /// Checks the file immediately.
  void CheckNow();

  [[nodiscard]] const CounterSet<SettingsCounter>& Counters() const {
    return m_counters;
  }

 private:
  void CheckPeriodically();

  Scheduler* m_scheduler;
  std::string m_path;
  ReadCallback m_read;
  AdoptCallback m_adopt;
  /// Content of the file that was last adopted or refused.
  std::string m_content;
  TimerId m_timer = 0;
  CounterSet<SettingsCounter> m_counters;
};

}  // namespace chicoryvale

#endif  // CHICORYVALE_SRC_ADAPTERS_SETTINGS_WATCH_H_
