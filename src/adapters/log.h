#ifndef CHICORYVALE_SRC_ADAPTERS_LOG_H_
#define CHICORYVALE_SRC_ADAPTERS_LOG_H_

#include <initializer_list>
#include <string_view>

#include "ports/event_log.h"

namespace chicoryvale {

/// Stream to which the log is written.
enum class LogTarget : std::uint8_t { kStandardError, kStandardOutput };

/// Starts the log of the process: one JSON object per line, written to
/// `target`, for events of `level` and above. Each line contains `program`.
/// Lines that exceed the rate limits of LineWriter or don't fit into a full
/// pipe are dropped, and their number is logged before the next line that is
/// written. Ignores SIGPIPE for the whole process. Call this once, before the
/// first Log.
void InitLog(std::string_view program, LogLevel level,
             LogTarget target = LogTarget::kStandardError);

/// Writes one line for a state change. `event` is a stable name, for example
/// "leader_elected". Thread safe.
void Log(LogLevel level, std::string_view event,
         std::initializer_list<LogField> fields = {});

/// EventLog that writes to the log of the process.
class ProcessLog : public EventLog {
 protected:
  void OnWrite(LogLevel level, std::string_view event,
               std::initializer_list<LogField> fields) override {
    Log(level, event, fields);
  }
};

/// Parses "debug", "info", "warning" or "error". Returns false for other text.
bool ParseLogLevel(std::string_view text, LogLevel* level);

}  // namespace chicoryvale

#endif  // CHICORYVALE_SRC_ADAPTERS_LOG_H_
