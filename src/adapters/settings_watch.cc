#include "adapters/settings_watch.h"

#include <utility>
#include <vector>

#include "adapters/command_line.h"
#include "adapters/log.h"
#include "adapters/settings_reader.h"

namespace chicoryvale {
namespace {

/// Time between two looks at the file: a change without a signal is adopted
/// within the seconds that a change of the configuration may take.
constexpr Duration kLookPeriod = seconds(2);

}  // namespace

SettingsWatch::SettingsWatch(Scheduler* scheduler, std::string path, Read read,
                             Adopt adopt)
    : m_scheduler(scheduler),
      m_path(std::move(path)),
      m_read(std::move(read)),
      m_adopt(std::move(adopt)) {
  if (!m_path.empty()) ReadFile(m_path, &m_content);
}

SettingsWatch::~SettingsWatch() { m_scheduler->Cancel(m_timer); }

void SettingsWatch::Start() {
  if (m_path.empty()) return;
  m_timer = m_scheduler->Schedule(kLookPeriod, [this] { LookAgain(); });
}

void SettingsWatch::LookAgain() {
  m_timer = m_scheduler->Schedule(kLookPeriod, [this] { LookAgain(); });
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
  const std::vector<SettingsError> faults = reader.Finish();
  if (!faults.empty()) {
    m_counters.Add(SettingsCounter::kRefused);
    Log(LogLevel::kError, "settings_refused",
        {{"file", m_path},
         {"line", std::to_string(faults.front().line)},
         {"reason", faults.front().text},
         {"faults", std::to_string(faults.size())}});
    return;
  }
  m_counters.Add(SettingsCounter::kAdopted);
  m_adopt();
}

}  // namespace chicoryvale
