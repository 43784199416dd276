#ifndef CHICORYVALE_SRC_ADAPTERS_LOG_H_
#define CHICORYVALE_SRC_ADAPTERS_LOG_H_

#include <initializer_list>
#include <string_view>

#include "ports/event_log.h"

namespace chicoryvale {

/// Where log lines go.
enum class LogTarget : std::uint8_t { kStandardError, kStandardOutput };

/// Sends log lines to `target`, one JSON object a line, from `level` up.
/// `program` is told in each line. Lines beyond the bounds of LineWriter, or
/// for which a full pipe has no room, are left out; the next line tells how
/// many. Call once, before the first Log.
void InitLog(std::string_view program, LogLevel level,
             LogTarget target = LogTarget::kStandardError);

/// Writes one line for a change of state. `event` is a stable name, for
/// example "leader_elected". Thread safe.
void Log(LogLevel level, std::string_view event,
         std::initializer_list<LogField> fields = {});

/// EventLog of the process's log.
class ProcessLog : public EventLog {
 protected:
  void OnWrite(LogLevel level, std::string_view event,
               std::initializer_list<LogField> fields) override {
    Log(level, event, fields);
  }
};

/// Parses "debug", "info", "warning" or "error"; false for other text.
bool ParseLogLevel(std::string_view text, LogLevel* level);

}  // namespace chicoryvale

#endif  // CHICORYVALE_SRC_ADAPTERS_LOG_H_
