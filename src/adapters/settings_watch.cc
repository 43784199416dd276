#include "adapters/settings_watch.h"

#include <utility>
#include <vector>

#include "adapters/command_line.h"
#include "adapters/log.h"
#include "adapters/settings_reader.h"

namespace chicoryvale {
namespace {

/// Interval between checks of the file. It is short enough for a change without
/// a signal to take effect within the few seconds that a configuration change
/// may take.
constexpr Duration kCheckPeriod = seconds(2);

}  // namespace

SettingsWatch::SettingsWatch(Scheduler* scheduler, std::string path,
                             ReadCallback read, AdoptCallback adopt)
    : m_scheduler(scheduler),
      m_path(std::move(path)),
      m_read(std::move(read)),
      m_adopt(std::move(adopt)) {
  if (!m_path.empty()) ReadFile(m_path, &m_content);
}

SettingsWatch::~SettingsWatch() { m_scheduler->Cancel(m_timer); }

void SettingsWatch::Start() {
  if (m_path.empty()) return;
  m_timer =
      m_scheduler->Schedule(kCheckPeriod, [this] { CheckPeriodically(); });
}

void SettingsWatch::CheckPeriodically() {
  m_timer =
      m_scheduler->Schedule(kCheckPeriod, [this] { CheckPeriodically(); });
  CheckNow();
}

void SettingsWatch::CheckNow() {
  std::string content;
  if (m_path.empty()) return;
  if (!ReadFile(m_path, &content)) {
    Log(LogLevel::kWarning, "settings_unreadable", {{"file", m_path}});
    return;
  }
  if (content == m_content) return;
  m_content = content;
  SettingsReader reader(content);
  m_read(reader);
  const std::vector<SettingsError> errors = reader.Finish();
  if (!errors.empty()) {
    m_counters.Add(SettingsCounter::kRefused);
    Log(LogLevel::kError, "settings_refused",
        {{"file", m_path},
         {"line", std::to_string(errors.front().line)},
         {"reason", errors.front().text},
         {"faults", std::to_string(errors.size())}});
    return;
  }
  for (const SettingsNotice& notice : reader.Notices()) {
    Log(LogLevel::kWarning, "settings_adjusted",
        {{"file", m_path},
         {"line", std::to_string(notice.line)},
         {"reason", notice.text}});
  }
  m_counters.Add(SettingsCounter::kAdopted);
  m_adopt();
}

}  // namespace chicoryvale
